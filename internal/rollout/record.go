package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Where rollouts are kept in the state service.
const (
	// Prefix is what all their keys begin with.
	Prefix     = "rollout/"
	indexKey   = Prefix + "index"
	runPrefix  = Prefix + "run/"
	leftPrefix = Prefix + "left/"
)

// runKey is the key of a rollout's record, leftKey that of one part of its waiting machines.
func runKey(name Name) string            { return runPrefix + string(name) }
func leftKey(name Name, part int) string { return leftPrefix + string(name) + "/" + strconv.Itoa(part) }

// leftOf tells which part of which rollout's waiting machines a key is.
func leftOf(key string) (name Name, part int, ok bool) {
	rest, ok := strings.CutPrefix(key, leftPrefix)
	if !ok {
		return "", 0, false
	}
	text, number, ok := strings.Cut(rest, "/")
	if !ok {
		return "", 0, false
	}
	part, err := strconv.Atoi(number)
	return Name(text), part, err == nil && part >= 0
}

// storedVersion is the version of the stored form that this program writes and reads.
const storedVersion = 1

// Kind is what a machine and its replacement have in common.
type Kind struct {
	Type string `json:"type"`
	Zone string `json:"zone"`
	Spot bool   `json:"spot,omitempty"`
}

func (k Kind) String() string {
	if k.Spot {
		return k.Type + " in " + k.Zone + " (spot)"
	}
	return k.Type + " in " + k.Zone
}

// KindCount is how many machines of a kind.
type KindCount struct {
	Kind  Kind `json:"kind"`
	Count int  `json:"count"`
}

// Hire is a rental of replacements. Its name is stored before it is sent and never used for
// another one, so it may be sent again by whoever leads and rents nothing twice.
type Hire struct {
	Name ids.Hire `json:"name"`
	KindCount
	Asked    ids.Wall   `json:"asked"`
	Answered bool       `json:"answered,omitempty"`
	Machines MachineSet `json:"machines"`
	// Up are those of the machines that have come up.
	Up MachineSet `json:"up"`
}

// Wave is the machines that a rollout works on now.
type Wave struct {
	Number   int                         `json:"number"`
	Began    ids.Wall                    `json:"began"`
	Machines map[MachineState]MachineSet `json:"machines"`
	// DrainingSince is when the present step of emptying began; zero before.
	DrainingSince ids.Wall `json:"drainingSince,omitempty"`
	// Wanted are the replacements that the wave needs, Hires those asked for so far.
	Wanted []KindCount `json:"wanted,omitempty"`
	Hires  []Hire      `json:"hires,omitempty"`
	// HireCount numbers the wave's hires, also those that were given up.
	HireCount int `json:"hireCount,omitempty"`
	// ObservedSince is since when all replacements are up and observed; zero before.
	ObservedSince ids.Wall `json:"observedSince,omitempty"`
}

// Record is a rollout as the state service keeps it. What is done follows from it alone.
type Record struct {
	Version int `json:"version"`
	// ID tells it from every other rollout, also an earlier one of the same name.
	ID      string   `json:"id"`
	Spec    Spec     `json:"spec"`
	State   State    `json:"state"`
	Why     string   `json:"why,omitempty"`
	Started ids.Wall `json:"started"`
	// Total is how many machines were selected, Done how many of them are through.
	Total int `json:"total"`
	Done  int `json:"done"`
	// Parts is in how many parts the machines that wait are kept.
	Parts int `json:"parts"`
	// Waves counts the waves begun; the next one begins at NextWave at the earliest.
	Waves    int      `json:"waves"`
	NextWave ids.Wall `json:"nextWave,omitempty"`
	Wave     *Wave    `json:"wave,omitempty"`
	// Resumed tells that an operator has resumed it after a halt and the leader has not gone on
	// yet.
	Resumed bool `json:"resumed,omitempty"`
	// Writer and Seq tell a writer that lost an answer whether what it finds is its own.
	Writer string `json:"writer"`
	Seq    uint64 `json:"seq"`
}

// ErrNewerVersion tells that a newer version of the program stored a rollout.
var ErrNewerVersion = errors.New("stored by a newer version")

// decodeRecord reads a stored rollout.
func decodeRecord(raw json.RawMessage) (*Record, error) {
	var version struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal(raw, &version); err != nil {
		return nil, err
	}
	if version.Version > storedVersion {
		return nil, fmt.Errorf("%w: %d, this one reads %d", ErrNewerVersion, version.Version, storedVersion)
	}
	r := &Record{}
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, err
	}
	if _, known := stateMoves[r.State]; !known && r.State != Ended {
		return nil, fmt.Errorf("unknown state %q", r.State)
	}
	return r, nil
}

// clone is a copy that shares nothing that changes.
func (r *Record) clone() *Record {
	copied := *r
	if r.Wave == nil {
		return &copied
	}
	wave := *r.Wave
	wave.Machines = map[MachineState]MachineSet{}
	for state, set := range r.Wave.Machines {
		wave.Machines[state] = set.Clone()
	}
	wave.Wanted = append([]KindCount(nil), r.Wave.Wanted...)
	wave.Hires = append([]Hire(nil), r.Wave.Hires...)
	for i := range wave.Hires {
		wave.Hires[i].Machines = wave.Hires[i].Machines.Clone()
		wave.Hires[i].Up = wave.Hires[i].Up.Clone()
	}
	copied.Wave = &wave
	return &copied
}

// in lists the wave's machines in a state; none without a wave.
func (r *Record) in(state MachineState) *MachineSet {
	if r.Wave == nil {
		return &MachineSet{}
	}
	set := r.Wave.Machines[state]
	return &set
}

// moveMachine takes a machine of the wave to another state.
func (w *Wave) moveMachine(name ids.Machine, from, to MachineState) error {
	set := w.Machines[from]
	if !from.May(to) || !set.Has(name) {
		return fmt.Errorf("%w: machine %s from %s to %s", ErrBadMove, name, from, to)
	}
	set.Remove(name)
	w.Machines[from] = set
	if set.Len() == 0 {
		delete(w.Machines, from)
	}
	if to == Waiting {
		return nil // it goes back to the parts
	}
	target := w.Machines[to]
	target.Add(name)
	w.Machines[to] = target
	return nil
}

// count is how many of the wave's machines are in the states named.
func (w *Wave) count(states ...MachineState) (n int) {
	for _, state := range states {
		set := w.Machines[state]
		n += set.Len()
	}
	return n
}
