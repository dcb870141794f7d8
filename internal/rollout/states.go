package rollout

import (
	"errors"
	"fmt"
	"slices"
)

// State is the state of a rollout.
type State string

// The states of a rollout.
const (
	Running State = "running"
	// Paused rollouts were paused by an operator; their machines stay cordoned.
	Paused State = "paused"
	// Halted rollouts met a failure; their machines are back in service until an operator
	// resumes or aborts.
	Halted State = "halted"
	// Aborting rollouts end once their empty machines are returned.
	Aborting State = "aborting"
	Ended    State = "ended"
)

// stateTransitions are all transitions of a rollout.
var stateTransitions = map[State][]State{
	Running:  {Paused, Halted, Aborting, Ended},
	Paused:   {Running, Aborting},
	Halted:   {Running, Aborting},
	Aborting: {Ended},
}

// MachineState is the state of one machine of a rollout.
type MachineState string

// The states of a machine.
const (
	// Waiting machines are in service and have their turn in a later wave.
	Waiting MachineState = "waiting"
	// Cordoned machines get no new work.
	Cordoned MachineState = "cordoned"
	// Draining machines have their tasks evicted within the teams' disruption budgets.
	Draining MachineState = "draining"
	// Empty machines have nothing on them any more and are returned to the cloud.
	Empty MachineState = "empty"
	// Returned machines are gone.
	Returned MachineState = "returned"
	// Replaced machines are gone and their replacements are ready.
	Replaced MachineState = "replaced"
	// Verified machines have replacements that were observed for long enough.
	Verified MachineState = "verified"
)

var (
	// cordonedStates are those in which a machine gets no new work.
	cordonedStates = []MachineState{Cordoned, Draining, Empty}
	// waveStates are those of the machines of a wave, in order.
	waveStates = []MachineState{Cordoned, Draining, Empty, Returned, Replaced, Verified}
)

// machineTransitions are all transitions of a machine. A machine may be lost in any state, and
// then counts as returned.
var machineTransitions = map[MachineState][]MachineState{
	Waiting:  {Cordoned, Returned},
	Cordoned: {Draining, Waiting, Returned},
	Draining: {Empty, Waiting, Returned},
	Empty:    {Returned},
	Returned: {Replaced},
	Replaced: {Verified},
}

// ErrInvalidTransition tells that a transition is not allowed.
var ErrInvalidTransition = errors.New("not an allowed move")

// canBecome reports whether a rollout may go from this state to another.
func (s State) canBecome(to State) bool { return slices.Contains(stateTransitions[s], to) }

// canBecome reports whether a machine may go from this state to another.
func (s MachineState) canBecome(to MachineState) bool {
	return slices.Contains(machineTransitions[s], to)
}

// transition takes the rollout to another state, unless that is not allowed.
func (r *Record) transition(to State, why string) error {
	if !r.State.canBecome(to) {
		return fmt.Errorf("%w: rollout %s is %s and can't be %s", ErrInvalidTransition, r.Spec.Name, r.State, to)
	}
	r.State, r.Reason = to, why
	return nil
}

// isFinal reports whether nothing more happens in this state.
func (s State) isFinal() bool { return s == Ended }
