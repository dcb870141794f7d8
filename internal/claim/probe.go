package claim

import (
	"context"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// probe asks machines whose reports are overdue: one that hangs, is cut off or
// dead says nothing, while one that only lost its way here answers. After a
// takeover it asks all that are known, instead of waiting until their workers
// have found the new leader, and shows them its token.
func (d *Dispatcher) probe(ctx context.Context) {
	for _, pr := range d.Cluster.toProbe(time.Now(), cap(d.slots)) {
		go func() {
			var rep *worker.Report
			if pr.session > 0 {
				// No orders: only so that what older leaders sent is turned
				// away from here on, and the answer tells what is there.
				ctx, cancel := context.WithTimeout(ctx, probeTimeout)
				_, rep = d.Commander.Send(ctx, pr.addr, pr.token, pr.session, nil)
				cancel()
			} else {
				rep = d.Commander.Show(ctx, pr.addr, probeTimeout)
			}
			if rep != nil && rep.Machine != pr.machine {
				rep = nil
			}
			if rep != nil && rep.Token < pr.token {
				if _, fenced := d.Commander.Send(ctx, pr.addr, pr.token, rep.Session, nil); fenced != nil && fenced.Machine == pr.machine {
					rep = fenced
				}
			}
			d.Cluster.probed(pr.machine, rep != nil)
			if rep != nil {
				d.Cluster.Observe(rep, false, false)
			}
		}()
	}
}

const probeTimeout = 800 * time.Millisecond

type probe struct {
	machine ids.Machine
	addr    string
	token   ids.Generation
	session ids.Session // believed, of a machine not heard yet
}

// toProbe picks whom to ask now, at most most at a time.
func (b *ClusterState) toProbe(now time.Time, most int) (out []probe) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.probedAt) < 100*time.Millisecond {
		return nil
	}
	b.early = min(earlyAsks, b.early+earlyAsks*now.Sub(b.probedAt).Seconds())
	b.probedAt = now
	report := b.set.Params.Workers.ReportS.Duration()
	var ask []*worker.Machine
	early := longestSilent{limit: int(b.early)}
	for _, m := range b.roster.Machines {
		if m.Deleting || m.Probing || m.Addr == "" {
			continue
		}
		overdue := b.askAfter(m)
		again := overdue / 2
		if !m.Heard {
			again = time.Second
		}
		if m.Probes >= keenProbes {
			// Whoever left so many questions unanswered is judged already; its
			// worker reports by itself once it is back.
			again = max(again, b.set.Params.Workers.ReportS.Duration()/2)
		}
		if now.Sub(m.Asked) > again && (m.Heard && (m.Silent(now) > overdue || !m.Unreached.IsZero()) || !m.Heard && !m.Booting) {
			if m.Heard && m.Probes == 0 && m.Unreached.IsZero() && m.Silent(now) < report*5/4 && !b.stays(m) {
				early.add(m)
			} else {
				ask = append(ask, m)
			}
		}
	}
	b.early -= float64(len(early.machines))
	ask = append(ask, early.machines...)
	// Those with replicas first, then whoever waits longest: hundreds that are
	// silent take turns.
	slices.SortFunc(ask, func(x, y *worker.Machine) int {
		if sx, sy := b.stays(x), b.stays(y); sx != sy {
			if sx {
				return -1
			}
			return 1
		}
		return x.Asked.Compare(y.Asked)
	})
	for _, m := range ask[:max(0, min(len(ask), most-b.probing))] {
		m.Probing, m.Asked = true, now
		b.probing++
		if m.Probes == 0 {
			m.Doubted = now
		}
		pr := probe{machine: m.Name, addr: m.Addr, token: b.gen}
		if !m.Heard {
			pr.session = m.Hinted
		}
		out = append(out, pr)
	}
	return out
}

// earlyAsks is how many machines without replicas are asked in a second before their
// reports, which come up to a quarter later than their interval, are overdue: in a
// large fleet half of all machines are that silent at any time, and to ask each of
// them costs its leader as much as their reports do.
const earlyAsks = 30.0

// longestSilent keeps the few machines that have been silent for longest of the many, in a
// large fleet, whose reports are not overdue yet.
type longestSilent struct {
	limit    int
	machines []*worker.Machine // longest silent first
}

func (l *longestSilent) add(m *worker.Machine) {
	at, _ := slices.BinarySearchFunc(l.machines, m, func(x, y *worker.Machine) int { return x.Seen.Compare(y.Seen) })
	if at >= l.limit {
		return
	}
	l.machines = slices.Insert(l.machines, at, m)
	l.machines = l.machines[:min(len(l.machines), l.limit)]
}

// keenProbes is how many questions in a row are asked closely after another.
const keenProbes = 4

// stays tells whether replicas run on a machine.
func (b *ClusterState) stays(m *worker.Machine) bool {
	h := b.hosts[m.Name]
	return h != nil && h.stay > 0
}

// askAfter is the silence after which a machine is asked how it is. Where
// replicas run, nobody waits long for a report: while a machine hangs, they are
// down, and reports may be far apart.
func (b *ClusterState) askAfter(m *worker.Machine) time.Duration {
	after := b.set.Params.Workers.ReportS.Duration() / 2
	if b.stays(m) {
		after = min(after, believed*5/8)
	}
	return after
}

// reached takes in whether a machine answered a call. One that did gets what it
// is owed; one that did not loses what was only marked for it: no start of that
// went out, so it may go elsewhere at once.
func (b *ClusterState) reached(m *worker.Machine, answered bool) {
	doubted := m.Doubtful()
	m.Reached(answered, time.Now())
	h := b.hosts[m.Name]
	if h == nil {
		return
	}
	if answered {
		if doubted {
			b.due[h] = true
		}
		return
	}
	for p := range h.places {
		if !p.sent && !p.stopping {
			b.dropPlace(p)
			b.touch(p.Job)
		}
	}
}

func (b *ClusterState) probed(name ids.Machine, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing--
	if m := b.roster.Machines[name]; m != nil {
		m.Probing = false
		if !answered {
			m.Probes++
		}
		b.reached(m, answered)
	}
}
