// Package claim owns the jobs' records, the claim on the machine pool, and what
// the leader does with both: claiming jobs, marking batches before their
// starts, and settling outcomes from reports.
package claim

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"sort"
	"strconv"
	"strings"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
)

// Where things are kept in the state service.
const (
	PoolPrefix = "pool/"
	TypesKey   = "pool/types"
	JobPrefix  = "job/"
	EndPrefix  = "end/"
	WaitPrefix = "job/wait/"
)

// JobKey and EndKey are a job's live record and, once it is over, its last.
func JobKey(j ids.Job) string { return JobPrefix + string(j) }

// EndKey names the final record.
func EndKey(j ids.Job) string { return EndPrefix + string(j) }

// Shape is how a job's tasks belong together.
type Shape string

// The three shapes.
const (
	Array   Shape = "array"
	Gang    Shape = "gang"
	Service Shape = "service"
)

// Priority orders jobs; higher goes first.
type Priority int

// The four priorities.
const (
	Low Priority = iota
	Normal
	High
	Critical
)

var priorityNames = [...]string{"low", "normal", "high", "critical"}

func (p Priority) String() string { return priorityNames[p] }

// Spec is a job as its user described it.
type Spec struct {
	ID         ids.Job        `json:"id"`
	Class      string         `json:"class,omitempty"`
	Team       string         `json:"team"`
	Shape      Shape          `json:"shape"`
	Priority   Priority       `json:"priority"`
	Tasks      int            `json:"tasks"`
	Need       placement.Room `json:"need"`
	Image      string         `json:"image,omitempty"`
	ImageGB    float64        `json:"imageGb,omitempty"`
	Types      []string       `json:"types,omitempty"`
	Zone       string         `json:"zone,omitempty"`
	OneZone    bool           `json:"oneZone,omitempty"`
	Spread     bool           `json:"spread,omitempty"`
	Spot       bool           `json:"spot,omitempty"`
	Estimate   ids.Seconds    `json:"estimate,omitempty"`
	Checkpoint ids.Seconds    `json:"checkpoint,omitempty"`
	Save       ids.Seconds    `json:"save,omitempty"`
	Due        ids.Seconds    `json:"due,omitempty"`
	// Awaits are the jobs that must be done before any task starts.
	Awaits []ids.Job `json:"awaits,omitempty"`
}

// Ask is what placement needs to know of one of its tasks.
func (s *Spec) Ask() placement.Ask {
	return placement.Ask{Need: s.Need, Types: s.Types, Zone: s.Zone, Spot: s.Spot, Image: s.Image, ImageGB: s.ImageGB, Long: s.Shape == Service}
}

// Status is where a job stands.
type Status string

// The statuses. Queued and claimed differ only in whether any task may be on a
// machine; cancelling is told to users as cancelled.
const (
	Queued     Status = "queued"
	Claimed    Status = "claimed"
	Cancelling Status = "cancelling"
	Cancelled  Status = "cancelled"
	Done       Status = "done"
)

// moves is the whole transition table: what is not here cannot happen.
var moves = map[Status][]Status{
	Queued:     {Claimed, Cancelling, Cancelled, Done},
	Claimed:    {Queued, Cancelling, Done},
	Cancelling: {Cancelled},
}

// May tells whether a job may go from one status to another.
func (s Status) May(to Status) bool {
	for _, t := range moves[s] {
		if t == to {
			return true
		}
	}
	return false
}

// Over tells whether nothing more happens to the job.
func (s Status) Over() bool { return s == Cancelled || s == Done }

// spot is a machine, in one session, on which tasks of one attempt may be.
type spot struct {
	machine ids.Machine
	session ids.Session
	attempt ids.Attempt
	token   ids.Generation
}

// placeRec is the places whose starts carry one token. They are written as
// "machine:tasks machine/attempt:tasks machine/attempt/session:tasks", less what the
// machines' names begin with alike, the attempt and session that most have, and
// counted from the lowest task: spelled out as JSON objects, the places of a large
// array would not fit into a value, and it would run in many small batches.
type placeRec struct {
	Token   ids.Generation `json:"g"`
	Session ids.Session    `json:"s"`
	Attempt ids.Attempt    `json:"a"`
	Prefix  string         `json:"p,omitempty"`
	Base    int            `json:"b,omitempty"`
	On      string         `json:"on"`
}

// each calls f for every place, in the order written.
func (pr *placeRec) each(f func(task int, at spot)) error {
	for _, text := range strings.Fields(pr.On) {
		at := spot{session: pr.Session, attempt: pr.Attempt, token: pr.Token}
		head, list, ok := strings.Cut(text, ":")
		parts := strings.Split(head, "/")
		if !ok || len(parts) > 3 {
			return fmt.Errorf("not a place: %.80q", text)
		}
		at.machine = ids.Machine(pr.Prefix + parts[0])
		for k, part := range parts[1:] {
			n, err := strconv.ParseUint(part, 10, 64)
			if err != nil {
				return err
			}
			if k == 0 {
				at.attempt = ids.Attempt(n)
			} else {
				at.session = ids.Session(n)
			}
		}
		var tasks ids.Ranges
		if err := tasks.UnmarshalText([]byte(list)); err != nil {
			return err
		}
		tasks.Each(func(i int) { f(pr.Base+i, at) })
	}
	return nil
}

// write appends one machine's tasks of one attempt.
func (pr *placeRec) write(to *strings.Builder, at spot, tasks *ids.Ranges) {
	if to.Len() > 0 {
		to.WriteByte(' ')
	}
	to.WriteString(string(at.machine)[len(pr.Prefix):])
	if at.attempt != pr.Attempt || at.session != pr.Session {
		fmt.Fprintf(to, "/%d", at.attempt)
	}
	if at.session != pr.Session {
		fmt.Fprintf(to, "/%d", at.session)
	}
	to.WriteByte(':')
	to.WriteString(tasks.String())
}

// eachPlace calls f for every task that may be on a machine.
func (r *Record) eachPlace(f func(task int, at spot)) {
	for k := range r.Places {
		if err := r.Places[k].each(f); err != nil {
			slog.Error("unreadable place", "job", r.Spec.ID, "err", err)
		}
	}
}

// Event is one line of a job's trail.
type Event struct {
	At   ids.Wall `json:"at"`
	What string   `json:"what"`
}

// Record is a job as the state service keeps it.
type Record struct {
	Spec      Spec     `json:"spec"`
	Status    Status   `json:"status"`
	Submitted ids.Wall `json:"submitted"`
	// Ready is when the last job that it awaited was done; zero without any.
	Ready    ids.Wall       `json:"ready,omitempty"`
	Attempt  ids.Attempt    `json:"attempt"`
	Gen      ids.Generation `json:"generation"`
	Finished ids.Ranges     `json:"finished"`
	Places   []placeRec     `json:"places,omitempty"`
	Trail    []Event        `json:"trail,omitempty"`
	// FailedOn is on how many machines its tasks failed with none completed, so
	// that a new leader need not find out again.
	FailedOn int `json:"failedOn,omitempty"`
	// CancelledBy is the job whose cancellation ended this one, which needs it.
	CancelledBy ids.Job `json:"cancelledBy,omitempty"`
	// Writer and Seq tell a writer that lost an answer whether what it finds
	// is its own.
	Writer string `json:"writer"`
	Seq    uint64 `json:"seq"`
}

// NewRecord is how every job begins.
func NewRecord(s Spec, now ids.Wall, writer string) *Record {
	return &Record{Spec: s, Status: Queued, Submitted: now, Writer: writer,
		Trail: []Event{{now, "accepted"}}}
}

// Decode reads a record.
func Decode(raw json.RawMessage) (*Record, error) {
	r := &Record{}
	return r, json.Unmarshal(raw, r)
}

// Encode writes the record of a job that does not wait into at most limit bytes. What
// it awaited no longer matters and is given up first, then the oldest trail; ok is
// false when even that does not fit.
func (r *Record) Encode(limit int) (raw json.RawMessage, ok bool) {
	for {
		raw, err := json.Marshal(r)
		if err != nil {
			return nil, false
		}
		if len(raw) <= limit {
			return raw, true
		}
		switch {
		case len(r.Spec.Awaits) > 0:
			r.Spec.Awaits = nil
		case len(r.Trail) > 0:
			r.Trail = r.Trail[1:]
		default:
			return nil, false
		}
	}
}

// EncodeFinal writes the record of a job that is over into at most limit bytes. Its last
// event, which tells how it ended, stays as long as anything else can be given up: older
// events first, then the names of what it awaited and which of its tasks were done, of
// which only the number is of use any more.
func (r *Record) EncodeFinal(limit int) (raw json.RawMessage, ok bool) {
	small := *r
	for {
		raw, err := json.Marshal(&small)
		if err != nil {
			return nil, false
		}
		if len(raw) <= limit {
			return raw, true
		}
		if len(small.Trail) < 2 {
			break
		}
		small.Trail = small.Trail[1:]
	}
	small.Spec.Awaits = nil
	small.Finished = ids.FirstOf(small.Finished.Len())
	return small.Encode(limit)
}

// Open counts the tasks that may be on machines.
func (r *Record) Open() int {
	n := 0
	r.eachPlace(func(int, spot) { n++ })
	return n
}

// packPlaces groups places so that a large job's record stays small.
func packPlaces(places map[int]*Place) []placeRec {
	type group struct {
		rec      placeRec
		on       map[spot]*ids.Ranges
		list     []spot
		attempts map[ids.Attempt]int
		sessions map[ids.Session]int
	}
	groups := map[ids.Generation]*group{}
	var order []*group
	for _, i := range sortedTasks(places) {
		p := places[i]
		g := groups[p.Token]
		if g == nil {
			g = &group{on: map[spot]*ids.Ranges{}, attempts: map[ids.Attempt]int{}, sessions: map[ids.Session]int{}}
			g.rec = placeRec{Token: p.Token, Base: i, Prefix: string(p.Machine)}
			groups[p.Token], order = g, append(order, g)
		}
		at := spot{p.Machine, p.Session, p.Attempt, p.Token}
		if g.on[at] == nil {
			g.on[at] = &ids.Ranges{}
			g.list = append(g.list, at)
			g.rec.Prefix = alike(g.rec.Prefix, string(p.Machine))
			g.attempts[p.Attempt]++
			g.sessions[p.Session]++
		}
		g.on[at].Add(i - g.rec.Base)
	}
	out := make([]placeRec, 0, len(order))
	for _, g := range order {
		g.rec.Attempt, g.rec.Session = most(g.attempts), most(g.sessions)
		var on strings.Builder
		for _, at := range g.list {
			g.rec.write(&on, at, g.on[at])
		}
		g.rec.On = on.String()
		out = append(out, g.rec)
	}
	return out
}

// most is the number counted most often, the lowest of equals.
func most[N ids.Attempt | ids.Session](count map[N]int) (best N) {
	for n, k := range count {
		if k > count[best] || k == count[best] && n < best {
			best = n
		}
	}
	return best
}

// alike is what two names begin with alike.
func alike(a, z string) string {
	n := 0
	for n < min(len(a), len(z)) && a[n] == z[n] {
		n++
	}
	return a[:n]
}

// placesSize is about how many bytes of a record its places take.
func placesSize(prs []placeRec) (n int) {
	for i := range prs {
		n += 50 + len(prs[i].On) + len(prs[i].Prefix)
	}
	return n
}

func sortedTasks(places map[int]*Place) []int {
	keys := make([]int, 0, len(places))
	for i := range places {
		keys = append(keys, i)
	}
	sort.Ints(keys)
	return keys
}
