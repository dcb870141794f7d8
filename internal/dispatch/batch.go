package dispatch

import (
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Batch is the commands that are sent straight to one worker in one call.
type Batch struct {
	Machine      ids.Machine
	Address      string
	Incarnation  ids.Incarnation
	FencingToken ids.Generation
	Commands     []worker.Command
}

// addStart adds the start of an assignment, and records it as outstanding on its machine.
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

// starts reports whether the batch starts a task under an attempt.
func (b *Batch) starts(task string, attempt ids.Attempt) bool {
	return slices.ContainsFunc(b.Commands, func(command worker.Command) bool {
		return command.Verb == worker.VerbStart && command.Task == task && command.Attempt == attempt
	})
}

// Permission is what starts may be sent under.
type Permission struct {
	// FencingToken is the leader's generation.
	FencingToken ids.Generation
	// Starts tells whether starts may be sent at all.
	Starts bool
	// RecordsRead is the time of the last complete read of the records: another controller may have
	// confirmed since, unknown to this one, that a job is cancelled.
	RecordsRead time.Time
}

// MayStart reports whether starts of a job may be sent.
func (p *Permission) MayStart(job *workload.Job) bool {
	return p.Starts && !p.RecordsRead.Before(job.ReadRequiredAfter)
}
