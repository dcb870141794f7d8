// Package claim owns the jobs' records, the claim on the machine pool, and what
// the pool's owner does with both: claiming jobs, marking batches before their
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
	OwnerKey      = "pool/owner"
	GenerationKey = "pool/generation"
	PoolPrefix    = "pool/"
	TypesKey      = "pool/types"
	HirePrefix    = "pool/hire/"
	JobPrefix     = "job/"
	EndPrefix     = "end/"
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

// placeRec is the places whose starts carry one token. Each is written as
// "machine/session/attempt:tasks": spelled out as JSON objects, the places of a
// large array would not fit into a value, and it would run in many small
// batches.
type placeRec struct {
	Token ids.Generation `json:"g"`
	On    []string       `json:"on"`
}

func (s spot) write(tasks *ids.Ranges) string {
	return fmt.Sprintf("%s/%d/%d:%s", s.machine, s.session, s.attempt, tasks)
}

func readSpot(text string) (s spot, tasks ids.Ranges, err error) {
	head, list, ok := strings.Cut(text, ":")
	parts := strings.Split(head, "/")
	if !ok || len(parts) != 3 {
		return s, tasks, fmt.Errorf("not a place: %.80q", text)
	}
	session, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return s, tasks, err
	}
	attempt, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return s, tasks, err
	}
	s = spot{machine: ids.Machine(parts[0]), session: ids.Session(session), attempt: ids.Attempt(attempt)}
	return s, tasks, tasks.UnmarshalText([]byte(list))
}

// eachPlace calls f for every task that may be on a machine.
func (r *Record) eachPlace(f func(task int, at spot)) {
	for _, pr := range r.Places {
		for _, text := range pr.On {
			s, tasks, err := readSpot(text)
			if err != nil {
				slog.Error("unreadable place", "job", r.Spec.ID, "err", err)
				continue
			}
			s.token = pr.Token
			tasks.Each(func(i int) { f(i, s) })
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
	Spec      Spec           `json:"spec"`
	Status    Status         `json:"status"`
	Submitted ids.Wall       `json:"submitted"`
	Attempt   ids.Attempt    `json:"attempt"`
	Gen       ids.Generation `json:"generation"`
	Finished  ids.Ranges     `json:"finished"`
	Places    []placeRec     `json:"places,omitempty"`
	Trail     []Event        `json:"trail,omitempty"`
	// FailedOn is on how many machines its tasks failed with none completed, so
	// that a new owner need not find out again.
	FailedOn int `json:"failedOn,omitempty"`
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

// Encode writes a record into at most limit bytes, giving up the oldest trail
// first; ok is false when even that does not fit.
func (r *Record) Encode(limit int) (raw json.RawMessage, ok bool) {
	for {
		raw, err := json.Marshal(r)
		if err != nil {
			return nil, false
		}
		if len(raw) <= limit {
			return raw, true
		}
		if len(r.Trail) == 0 {
			return nil, false
		}
		r.Trail = r.Trail[1:]
	}
}

// Open counts the tasks that may be on machines.
func (r *Record) Open() int {
	n := 0
	r.eachPlace(func(int, spot) { n++ })
	return n
}

// packPlaces groups places so that a large job's record stays small.
func packPlaces(places map[int]*Place) []placeRec {
	groups := map[spot]*ids.Ranges{}
	var order []spot
	for _, i := range sortedTasks(places) {
		p := places[i]
		k := spot{p.Machine, p.Session, p.Attempt, p.Token}
		if groups[k] == nil {
			groups[k] = &ids.Ranges{}
			order = append(order, k)
		}
		groups[k].Add(i)
	}
	var out []placeRec
	at := map[ids.Generation]int{}
	for _, k := range order {
		n, ok := at[k.token]
		if !ok {
			n = len(out)
			at[k.token] = n
			out = append(out, placeRec{Token: k.token})
		}
		out[n].On = append(out[n].On, k.write(groups[k]))
	}
	return out
}

// placesSize is about how many bytes of a record its places take.
func placesSize(prs []placeRec) (n int) {
	for _, pr := range prs {
		n += 20
		for _, text := range pr.On {
			n += len(text) + 3
		}
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
