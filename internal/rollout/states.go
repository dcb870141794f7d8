package rollout

import (
	"errors"
	"fmt"
	"slices"
)

// State is where a rollout stands.
type State string

// The states of a rollout.
const (
	Running  State = "running"
	Paused   State = "paused"
	Halted   State = "halted"
	Aborting State = "aborting"
	Ended    State = "ended"
)

// stateMoves is the whole table of a rollout's moves: what is not here cannot happen.
var stateMoves = map[State][]State{
	Running:  {Paused, Halted, Aborting, Ended},
	Paused:   {Running, Aborting},
	Halted:   {Running, Aborting},
	Aborting: {Ended},
}

// MachineState is where one of a rollout's machines stands.
type MachineState string

// The states of a machine.
const (
	// Waiting machines are in service and have their turn in a later wave.
	Waiting MachineState = "waiting"
	// Cordoned machines get no new work.
	Cordoned MachineState = "cordoned"
	// Draining machines are emptied within the teams' budgets.
	Draining MachineState = "draining"
	// Empty machines have nothing on them any more and are returned to the cloud.
	Empty MachineState = "empty"
	// Returned machines are gone.
	Returned MachineState = "returned"
	// Replaced machines are gone and one is up in their place.
	Replaced MachineState = "replaced"
	// Verified machines are replaced by one that was observed for long enough.
	Verified MachineState = "verified"
)

// heldStates are those in which a rollout keeps a machine closed to new work, waveStates all that
// the machines of a wave may have, in order.
var (
	heldStates = []MachineState{Cordoned, Draining, Empty}
	waveStates = []MachineState{Cordoned, Draining, Empty, Returned, Replaced, Verified}
)

// machineMoves is the whole table of a machine's moves. A machine may be lost in any state, and
// then counts as returned.
var machineMoves = map[MachineState][]MachineState{
	Waiting:  {Cordoned, Returned},
	Cordoned: {Draining, Waiting, Returned},
	Draining: {Empty, Waiting, Returned},
	Empty:    {Returned},
	Returned: {Replaced},
	Replaced: {Verified},
}

// ErrBadMove tells that a move is in neither table.
var ErrBadMove = errors.New("not an allowed move")

// May tells whether a rollout may go from one state to another.
func (s State) May(to State) bool { return slices.Contains(stateMoves[s], to) }

// May tells whether a machine may go from one state to another.
func (s MachineState) May(to MachineState) bool { return slices.Contains(machineMoves[s], to) }

// move takes a rollout to another state.
func (r *Record) move(to State, why string) error {
	if !r.State.May(to) {
		return fmt.Errorf("%w: rollout %s is %s and can't be %s", ErrBadMove, r.Spec.Name, r.State, to)
	}
	r.State, r.Why = to, why
	return nil
}

// Over tells whether nothing more happens in this state.
func (s State) Over() bool { return s == Ended }
