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
	// Paused is the state of a rollout that an operator paused; its machines stay cordoned.
	Paused State = "paused"
	// Halted is the state of a rollout that stopped after a failure. Its machines that are not empty are
	// back in service until an operator resumes or aborts the rollout.
	Halted State = "halted"
	// Aborting is the state of a rollout that an operator aborted; it ends once its empty machines are
	// returned.
	Aborting State = "aborting"
	Ended    State = "ended"
)

// stateTransitions maps each state of a rollout to the states that may follow.
var stateTransitions = map[State][]State{
	Running:  {Paused, Halted, Aborting, Ended},
	Paused:   {Running, Aborting},
	Halted:   {Running, Aborting},
	Aborting: {Ended},
}

// MachineState is the state of one machine in a rollout.
type MachineState string

// The states of a machine.
const (
	// Waiting machines are in service and will be part of a later wave.
	Waiting MachineState = "waiting"
	// Cordoned machines get no new tasks.
	Cordoned MachineState = "cordoned"
	// Draining machines get no new tasks, and their tasks are evicted within the teams' disruption budgets.
	Draining MachineState = "draining"
	// Empty machines have no tasks left and are returned to the cloud.
	Empty MachineState = "empty"
	// Returned machines no longer exist.
	Returned MachineState = "returned"
	// Replaced machines no longer exist, and their replacements are ready.
	Replaced MachineState = "replaced"
	// Verified machines have replacements that were observed for the time Spec.Observe.
	Verified MachineState = "verified"
)

var (
	// cordonedStates are the states in which a machine still exists and gets no new tasks.
	cordonedStates = []MachineState{Cordoned, Draining, Empty}
	// waveStates are the possible states of the machines of a wave, in order.
	waveStates = []MachineState{Cordoned, Draining, Empty, Returned, Replaced, Verified}
)

// machineTransitions maps each state of a machine to the states that may follow. A machine may be lost in
// any state, and then counts as returned.
var machineTransitions = map[MachineState][]MachineState{
	Waiting:  {Cordoned, Returned},
	Cordoned: {Draining, Waiting, Returned},
	Draining: {Empty, Waiting, Returned},
	Empty:    {Returned},
	Returned: {Replaced},
	Replaced: {Verified},
}

// ErrInvalidTransition reports that a state transition is not allowed.
var ErrInvalidTransition = errors.New("invalid state transition")

// canBecome reports whether a rollout in this state may change to another state.
func (s State) canBecome(to State) bool { return slices.Contains(stateTransitions[s], to) }

// canBecome reports whether a machine in this state may change to another state.
func (s MachineState) canBecome(to MachineState) bool {
	return slices.Contains(machineTransitions[s], to)
}

// transition moves the rollout to another state, or returns ErrInvalidTransition.
func (r *Record) transition(to State, reason string) error {
	if !r.State.canBecome(to) {
		return fmt.Errorf("%w: rollout %s is in state %s and cannot change to %s", ErrInvalidTransition, r.Spec.Name, r.State, to)
	}
	r.State, r.Reason = to, reason
	return nil
}

// isFinal reports whether a rollout never leaves this state.
func (s State) isFinal() bool { return s == Ended }
