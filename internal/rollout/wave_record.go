package rollout

import (
	"fmt"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// InstanceClass is the instance class of a machine. Its replacement has the same class.
type InstanceClass struct {
	Type string `json:"type"`
	Zone string `json:"zone"`
	Spot bool   `json:"spot,omitempty"`
}

func (c InstanceClass) String() string {
	if c.Spot {
		return c.Type + " in " + c.Zone + " (spot)"
	}
	return c.Type + " in " + c.Zone
}

// ClassCount is a number of machines of one instance class.
type ClassCount struct {
	Class InstanceClass `json:"kind"`
	Count int           `json:"count"`
}

// ReplacementRequest is a request to the cloud for replacements. Its name is stored before it is sent and
// never reused, which makes the request idempotent: any later leader may send it again.
type ReplacementRequest struct {
	Name ids.ProvisioningRequest `json:"name"`
	ClassCount
	RequestedAt ids.Timestamp `json:"asked"`
	// Answered reports whether the cloud has answered; Machines are the machines that it provisioned.
	Answered bool       `json:"answered,omitempty"`
	Machines MachineSet `json:"machines"`
	// Ready are the machines of the request that have become ready.
	Ready MachineSet `json:"up"`
}

// Wave is the stored state of the current wave of a rollout: a group of machines drained together.
type Wave struct {
	Number    int                         `json:"number"`
	StartedAt ids.Timestamp               `json:"began"`
	Machines  map[MachineState]MachineSet `json:"machines"`
	// DrainingSince is the time at which the current step of draining began; zero before.
	DrainingSince ids.Timestamp `json:"drainingSince,omitempty"`
	// Needed is the number of replacements of each class that the wave needs.
	Needed []ClassCount `json:"wanted,omitempty"`
	// ReplacementRequests are the wave's requests for replacements, without those given up.
	ReplacementRequests []ReplacementRequest `json:"hires,omitempty"`
	// RequestCount is the number of requests that the wave has made, including those given up.
	RequestCount int `json:"hireCount,omitempty"`
	// ObservingSince is the time since which all replacements have been ready and are observed; zero before.
	ObservingSince ids.Timestamp `json:"observedSince,omitempty"`
}

// clone returns a copy that shares no mutable data with the wave.
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

// transition moves a machine of the wave to another state. It returns ErrInvalidTransition if the
// transition is not allowed or the machine is not in state from.
func (w *Wave) transition(name ids.Machine, from, to MachineState) error {
	if set := w.Machines[from]; !from.canBecome(to) || !set.Has(name) {
		return fmt.Errorf("%w: machine %s cannot change from state %s to %s", ErrInvalidTransition, name, from, to)
	}
	w.remove(name, from)
	if to != Waiting { // waiting machines are stored outside the record
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

// count returns the number of the wave's machines in the given states.
func (w *Wave) count(states ...MachineState) (n int) {
	for _, state := range states {
		set := w.Machines[state]
		n += set.Len()
	}
	return n
}
