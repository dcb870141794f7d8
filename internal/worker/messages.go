// Package worker keeps the leader's state of the machines, which it derives from the reports of their
// workers, and sends commands to the workers.
package worker

import (
	"fmt"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// The JSON names in this file are fixed by the workers' protocol.

// TaskStatus is the status of a task as a worker reports it.
type TaskStatus struct {
	Task    string      `json:"piece"`
	Attempt ids.Attempt `json:"try"`
	State   string      `json:"status"`
	// Cause is the reason why the task ended; empty before that.
	Cause string `json:"cause,omitempty"`
	// Checkpointed is true if the task wrote a checkpoint before it ended.
	Checkpointed bool `json:"saved,omitempty"`
}

// The states of a task in a report.
const (
	StatePulling       = "pulling"  // its image is being pulled
	StateWaiting       = "waiting"  // it waits for the other tasks of its gang
	StateRunning       = "running"  // it makes progress
	StateCheckpointing = "flushing" // it is being stopped and writes a checkpoint
	StateExited        = "ended"    // it ended for its Cause; it is reported until it is cleared
)

// The causes of a task's end.
const (
	CauseDone       = "done"       // it succeeded
	CauseStopped    = "stopped"    // it was stopped by a command
	CausePeers      = "peers"      // another task of its gang is gone
	CauseIncomplete = "incomplete" // its gang was not complete in time
	CauseError      = "error"      // it failed
	CauseNoRoom     = "no_room"    // the machine has not enough free resources for it
	CauseBusy       = "busy"       // another attempt of it is on the machine
	CauseNoSuch     = "no_such"    // no task of this name was submitted
)

// Report is a worker's report on itself and its tasks, in a heartbeat or in the response to commands.
type Report struct {
	Machine ids.Machine `json:"host"`
	Addr    string      `json:"endpoint"`
	Type    string      `json:"build"`
	Zone    string      `json:"yard"`
	Spot    bool        `json:"loaners"`
	// Incarnation is the worker's incarnation. It increases each time the worker's lease expires.
	Incarnation ids.Incarnation `json:"stint"`
	// Sequence is the report's sequence number.
	Sequence ids.SequenceNumber `json:"tick"`
	// FencingToken is the highest fencing token that the worker has seen.
	FencingToken ids.Generation `json:"baton"`
	// SpotTerminationIn is the time left until a spot machine is terminated; nil without a notice.
	SpotTerminationIn *ids.Seconds `json:"warningS"`
	// Tasks are the statuses of all tasks on the machine.
	Tasks []TaskStatus `json:"pieces"`
}

// The verbs of commands.
const (
	VerbStart = "start"
	VerbStop  = "stop"
	VerbClear = "clear"
)

// Command is a command to a worker about one attempt of a task.
type Command struct {
	Verb    string      `json:"verb"`
	Task    string      `json:"piece"`
	Attempt ids.Attempt `json:"try"`
	// GracePeriod is the grace period of a stop; nil for other commands.
	GracePeriod *ids.Seconds `json:"leewayS,omitempty"`
}

// String returns the command for log lines, such as "start job-1/0@2".
func (c Command) String() string { return fmt.Sprintf("%s %s@%d", c.Verb, c.Task, c.Attempt) }

// StartCommand returns a command that starts an attempt of a task.
func StartCommand(task ids.Task, attempt ids.Attempt) Command {
	return Command{Verb: VerbStart, Task: task.String(), Attempt: attempt}
}

// StopCommand returns a command that stops a task. The task can write a checkpoint if the grace period is
// at least its checkpoint duration.
func StopCommand(task string, attempt ids.Attempt, grace ids.Seconds) Command {
	return Command{Verb: VerbStop, Task: task, Attempt: attempt, GracePeriod: &grace}
}

// ClearCommand returns a command that removes an ended task from the worker's reports.
func ClearCommand(task string, attempt ids.Attempt) Command {
	return Command{Verb: VerbClear, Task: task, Attempt: attempt}
}

// CommandBatch is the response to a heartbeat, or the body of a request with direct commands. A worker
// rejects a batch whose fencing token is lower than the highest one that it has seen.
type CommandBatch struct {
	FencingToken ids.Generation  `json:"baton"`
	Incarnation  ids.Incarnation `json:"stint,omitempty"`
	Commands     []Command       `json:"orders"`
}

// Redirect is the body of a response with status 421, which redirects the worker to another controller.
type Redirect struct {
	// Node is the controller to report to; empty if the responding controller does not know it.
	Node ids.Node `json:"answerTo,omitempty"`
}
