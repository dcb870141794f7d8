package dispatch

import (
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Batch contains the commands that are sent directly to one worker in one call.
type Batch struct {
	Machine      ids.Machine
	Address      string
	Incarnation  ids.Incarnation
	FencingToken ids.Generation
	Generation   ids.Generation // the leader's, which the stored markers of the starts contain
	Commands     []worker.Command
}

// addStart adds the start of an assignment and records it as unconfirmed on its machine.
func (b *Batch) addStart(assignment *workload.Assignment, machine *worker.Machine) {
	assignment.StartSent = true
	machine.UnconfirmedStarts = append(machine.UnconfirmedStarts, worker.UnconfirmedStart{
		Task:         assignment.Task().String(),
		Attempt:      assignment.Attempt,
		FencingToken: b.FencingToken,
		Incarnation:  b.Incarnation,
	})
	b.Commands = append(b.Commands, worker.StartCommand(assignment.Task(), assignment.Attempt))
}

// starts reports whether the batch contains the start of an attempt of a task.
func (b *Batch) starts(task string, attempt ids.Attempt) bool {
	return slices.ContainsFunc(b.Commands, func(command worker.Command) bool {
		return command.Verb == worker.VerbStart && command.Task == task && command.Attempt == attempt
	})
}

// Permission contains the conditions under which starts may be sent.
type Permission struct {
	// Tokens are the fencing tokens of the leader; the last one is its current generation.
	Tokens ids.TokenRange
	// Starts is true if starts may be sent at all.
	Starts bool
	// RecordsRead is the time of the last complete read of the records. Another controller may have
	// confirmed the cancellation of a job since then, unknown to this one.
	RecordsRead time.Time
}

// MayStart reports whether starts of a job may be sent.
func (p *Permission) MayStart(job *workload.Job) bool {
	return p.Starts && !p.RecordsRead.Before(job.ReadRequiredAfter)
}
