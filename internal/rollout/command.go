package rollout

import (
	"fmt"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Command changes the state of a rollout.
type Command string

// The commands.
const (
	CommandPause  Command = "pause"
	CommandResume Command = "resume"
	CommandAbort  Command = "abort"
)

// apply changes a rollout's state; changed is false if it has that state already. A transition that
// is not allowed and an unknown command are errors.
func (r *Record) apply(command Command, now ids.Timestamp) (changed bool, err error) {
	switch command {
	case CommandPause:
		if r.State == Paused {
			return false, nil
		}
		return true, r.transition(Paused, "paused by an operator")
	case CommandResume:
		if r.State == Running {
			return false, nil
		}
		return true, r.resume(now)
	case CommandAbort:
		if r.State == Aborting || r.State == Ended {
			return false, nil
		}
		return true, r.transition(Aborting, "aborted by an operator")
	}
	return false, fmt.Errorf("%w: unknown command %q", ErrInvalidSpec, command)
}

// resume lets a paused or halted rollout go on. After a halt the leader looks at the wave first.
func (r *Record) resume(now ids.Timestamp) error {
	r.Resumed = r.State == Halted && r.Wave != nil
	if r.State == Paused && r.Wave != nil {
		r.Wave.restartDeadlines(now)
	}
	return r.transition(Running, "")
}
