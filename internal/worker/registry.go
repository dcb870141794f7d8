package worker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// LateStart is a start sent straight to a worker that got no answer: it may yet be
// carried out, minutes later, while session and token still match.
type LateStart struct {
	Task    string
	Attempt ids.Attempt
	Token   ids.Generation
	Session ids.Session
}

// Machine is what is known of one machine. It is guarded by the lock of the
// cluster state it belongs to: places, quotas and machines need one view.
type Machine struct {
	Name ids.Machine
	Addr string
	Type string
	Zone string
	Spot bool

	Heard       bool // has reported to this leader
	Session     ids.Session
	Tick        ids.Tick
	Token       ids.Generation
	Seen        time.Time // when the newest report came in
	HeartbeatAt time.Time // when a heartbeat of its was last answered
	LapseAt     time.Time // from here on its worker has surely ended every task
	TakenAt     time.Time // zero without a spot notice
	Pieces      []Piece

	Born      time.Time // when this leader first knew of it
	ListedAt  time.Time // when the cloud's list last named it
	HeldSince time.Time // rental, as far as known
	Booting   bool      // hired, not heard yet
	Draining  string    // why nothing new goes there; empty: in use
	Cordoned  bool      // by a rollout: nothing new goes there
	Failed    bool      // the cloud says it stopped by itself
	Deleting  bool
	ReturnWhy string // why it is being deleted
	IdleSince time.Time
	NeededAt  time.Time // when it was last needed, or came
	Going     bool      // to be returned once empty
	Probes    int       // questions without an answer since it fell silent
	Probing   bool      // one is under way
	Sending   bool      // commands are under way
	Doubted   time.Time // when the first of those questions was asked
	Asked     time.Time
	// Unreached is since when commands and questions to it go unanswered;
	// zero while they are answered. Its reports may arrive all the same, when
	// only the way to it is cut: they do not end this.
	Unreached  time.Time
	Failures   int // unanswered ones since then
	Faults     int // tasks of good jobs that failed there since one last completed
	LateStarts []LateStart
	Images     Images
	Hinted     ids.Session // as an earlier leader knew it
	HintSeq    uint64      // when what the other controllers should know last changed
}

// Registry is all machines by name.
type Registry struct {
	// Machines is added to by Ensure and taken from by Remove alone.
	Machines map[ids.Machine]*Machine
	lease    ids.Seconds
	sorted   []*Machine // by name; nil when machines have come or gone since
}

// NewRegistry makes an empty roster for workers with the given lease.
func NewRegistry(lease ids.Seconds) *Registry {
	return &Registry{Machines: map[ids.Machine]*Machine{}, lease: lease}
}

// Ensure finds or adds a machine. notBefore is the earliest time at which an
// unheard machine's lease can be trusted to have lapsed: a predecessor may
// still have been answering it.
func (r *Registry) Ensure(name ids.Machine, now, notBefore time.Time) *Machine {
	m := r.Machines[name]
	if m == nil {
		m = &Machine{Name: name, Born: now, IdleSince: now, NeededAt: now, LapseAt: notBefore, HeldSince: now, Seen: now}
		r.Machines[name] = m
		r.sorted = nil
	}
	return m
}

// Remove forgets a machine.
func (r *Registry) Remove(name ids.Machine) {
	delete(r.Machines, name)
	r.sorted = nil
}

// Sorted lists the machines by name, so that decisions do not hang on the order
// of a map. Callers must not change the list.
func (r *Registry) Sorted() []*Machine {
	if r.sorted == nil {
		r.sorted = slices.SortedFunc(maps.Values(r.Machines), func(x, y *Machine) int { return cmp.Compare(x.Name, y.Name) })
	}
	return r.sorted
}

// Verdict is what a report means beside its list of tasks.
type Verdict struct {
	Fresh bool // newer than all before; only then its list counts
	Moved bool // the session rose: everything of earlier ones is gone
}

// Note takes in a report. answered tells that the worker gets a 200 for it,
// which gives its lease full time from when it was sent, so at most from now.
// fenced is the present leader's token: a worker that has seen it drops the
// answers of every earlier leader, so that only ours renew its lease.
func (r *Registry) Note(m *Machine, rep *Report, now time.Time, answered bool, fenced ids.Generation) Verdict {
	// A held-back report of an earlier life or list says nothing new.
	if m.Heard && (rep.Session < m.Session || rep.Session == m.Session && rep.Tick <= m.Tick) {
		if answered && rep.Session == m.Session {
			m.LapseAt = Later(m.LapseAt, now.Add(r.lease.Drifted()))
		}
		return Verdict{}
	}
	v := Verdict{Fresh: true, Moved: m.Heard && rep.Session > m.Session}
	if !m.Heard || v.Moved {
		// The session may have begun just now, and lasts a lease from then on
		// even if none of its heartbeats is ever answered.
		m.LapseAt = Later(m.LapseAt, now.Add(r.lease.Drifted()))
	}
	m.Heard, m.Booting = true, false
	m.Addr, m.Type, m.Zone, m.Spot = rep.Addr, rep.Type, rep.Zone, rep.Spot
	m.Session, m.Tick, m.Seen, m.Probes = rep.Session, rep.Tick, now, 0
	if rep.Token > m.Token {
		m.Token = rep.Token
	}
	m.Pieces = rep.Pieces
	m.TakenAt = time.Time{}
	if rep.Warning != nil {
		m.TakenAt = now.Add(rep.Warning.Duration())
	}
	if answered {
		lapse := now.Add(r.lease.Drifted())
		if rep.Token < fenced {
			lapse = Later(m.LapseAt, lapse)
		}
		m.LapseAt, m.HeartbeatAt = lapse, now
	}
	kept := m.LateStarts[:0]
	for _, l := range m.LateStarts {
		// A moved session or a higher token turns the late start away.
		if l.Session == m.Session && l.Token >= m.Token {
			kept = append(kept, l)
		}
	}
	m.LateStarts = kept
	return v
}

// Later is the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// MayRevive tells whether clearing this attempt could let a late start begin
// it anew.
func (m *Machine) MayRevive(task string, a ids.Attempt) bool {
	for _, l := range m.LateStarts {
		if l.Task == task && l.Attempt == a {
			return true
		}
	}
	return false
}

// Reached notes whether the machine answered when it was called.
func (m *Machine) Reached(answered bool, now time.Time) {
	switch {
	case answered:
		m.Unreached, m.Failures = time.Time{}, 0
	case m.Unreached.IsZero():
		m.Unreached, m.Failures = now, 1
	default:
		m.Failures++
	}
}

// Doubtful tells that it leaves calls unanswered: nothing more is sent to it
// until it answers or reports again.
func (m *Machine) Doubtful() bool { return m.Probes > 0 || !m.Unreached.IsZero() }

// Silent is how long nothing has come from the machine.
func (m *Machine) Silent(now time.Time) time.Duration { return now.Sub(m.Seen) }

// Usable tells whether new tasks may go there.
func (m *Machine) Usable(now time.Time, report ids.Seconds) bool {
	// Answers to questions renew no lease: a machine whose heartbeats do not come
	// through soon loses whatever is put there.
	last := m.HeartbeatAt
	if last.IsZero() {
		last = m.Born
	}
	if now.Sub(last) > 4*report.Duration()+2*time.Second {
		return false
	}
	return m.Heard && m.Unreached.IsZero() && m.Draining == "" && !m.Cordoned && !m.Failed && !m.Deleting && m.TakenAt.IsZero() &&
		m.Silent(now) < 2*report.Duration()+time.Second
}

// Images guesses which images a machine still holds: the most recently used
// that fit its cache. Workers do not report them.
type Images struct {
	Names []string
	Sizes []float64
}

// Copy is a copy that shares nothing.
func (im *Images) Copy() Images {
	return Images{append([]string(nil), im.Names...), append([]float64(nil), im.Sizes...)}
}

// Use moves an image to the front and drops what no longer fits.
func (im *Images) Use(name string, gb, cache float64) {
	names, sizes := []string{name}, []float64{gb}
	sum := gb
	for i, n := range im.Names {
		if n == name {
			continue
		}
		if sum += im.Sizes[i]; sum > cache {
			break
		}
		names, sizes = append(names, n), append(sizes, im.Sizes[i])
	}
	im.Names, im.Sizes = names, sizes
}

// Has tells whether the image is likely there.
func (im *Images) Has(name string) bool {
	for _, n := range im.Names {
		if n == name {
			return true
		}
	}
	return false
}
