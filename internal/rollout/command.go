package rollout

import (
	"fmt"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Command is an operator command that changes the state of a rollout.
type Command string

// The operator commands.
const (
	CommandPause  Command = "pause"
	CommandResume Command = "resume"
	CommandAbort  Command = "abort"
)

// apply executes a command on the record; changed is false if the rollout already has the resulting state.
// It returns an error for an invalid transition or an unknown command.
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

// resume continues a paused or halted rollout. After a halt it sets Resumed, so that the leader first
// discards the failed replacements of the wave.
func (r *Record) resume(now ids.Timestamp) error {
	r.Resumed = r.State == Halted && r.Wave != nil
	if r.State == Paused && r.Wave != nil {
		r.Wave.restartDeadlines(now)
	}
	return r.transition(Running, "")
}
