package rollout

import (
	"fmt"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// InstanceClass is the instance class of a machine, which its replacement shares.
type InstanceClass struct {
	Type string `json:"type"`
	Zone string `json:"zone"`
	Spot bool   `json:"spot,omitempty"`
}

func (k InstanceClass) String() string {
	if k.Spot {
		return k.Type + " in " + k.Zone + " (spot)"
	}
	return k.Type + " in " + k.Zone
}

// ClassCount is a number of machines of one instance class.
type ClassCount struct {
	Class InstanceClass `json:"kind"`
	Count int           `json:"count"`
}

// ReplacementRequest provisions replacements. Its name is stored before it is sent and never used
// for another one, so that it is idempotent: whoever leads may send it again.
type ReplacementRequest struct {
	Name ids.ProvisioningRequest `json:"name"`
	ClassCount
	RequestedAt ids.Timestamp `json:"asked"`
	// Answered tells that the cloud has answered; Machines are those that it provisioned.
	Answered bool       `json:"answered,omitempty"`
	Machines MachineSet `json:"machines"`
	// Ready are those of the machines that have become ready.
	Ready MachineSet `json:"up"`
}

// Wave is the machines that a rollout works on now.
type Wave struct {
	Number    int                         `json:"number"`
	StartedAt ids.Timestamp               `json:"began"`
	Machines  map[MachineState]MachineSet `json:"machines"`
	// DrainingSince is when the present step of draining began; zero before.
	DrainingSince ids.Timestamp `json:"drainingSince,omitempty"`
	// Needed are the replacements that the wave needs.
	Needed []ClassCount `json:"wanted,omitempty"`
	// ReplacementRequests are the requests for replacements so far.
	ReplacementRequests []ReplacementRequest `json:"hires,omitempty"`
	// RequestCount numbers the wave's requests, also those that were given up.
	RequestCount int `json:"hireCount,omitempty"`
	// ObservingSince is since when all replacements are ready and observed; zero before.
	ObservingSince ids.Timestamp `json:"observedSince,omitempty"`
}

// clone is a copy that shares nothing that changes.
func (w *Wave) clone() *Wave {
	copied := *w
	copied.Machines = map[MachineState]MachineSet{}
	for state, set := range w.Machines {
		copied.Machines[state] = set.Clone()
	}
	copied.Needed = append([]ClassCount(nil), w.Needed...)
	copied.ReplacementRequests = append([]ReplacementRequest(nil), w.ReplacementRequests...)
	for i := range copied.ReplacementRequests {
		request := &copied.ReplacementRequests[i]
		request.Machines = request.Machines.Clone()
		request.Ready = request.Ready.Clone()
	}
	return &copied
}

// transition takes a machine of the wave to another state.
func (w *Wave) transition(name ids.Machine, from, to MachineState) error {
	if set := w.Machines[from]; !from.canBecome(to) || !set.Has(name) {
		return fmt.Errorf("%w: machine %s from %s to %s", ErrInvalidTransition, name, from, to)
	}
	w.remove(name, from)
	if to != Waiting { // waiting machines are stored beside the record
		w.add(name, to)
	}
	return nil
}

func (w *Wave) remove(name ids.Machine, state MachineState) {
	set := w.Machines[state]
	set.Remove(name)
	if set.Len() == 0 {
		delete(w.Machines, state)
	} else {
		w.Machines[state] = set
	}
}

func (w *Wave) add(name ids.Machine, state MachineState) {
	set := w.Machines[state]
	set.Add(name)
	w.Machines[state] = set
}

// count is how many of the wave's machines are in the states named.
func (w *Wave) count(states ...MachineState) (n int) {
	for _, state := range states {
		set := w.Machines[state]
		n += set.Len()
	}
	return n
}
