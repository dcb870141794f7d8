// Package worker keeps what the leader knows of the machines' workers by their reports, and sends
// commands to them.
package worker

import (
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// The JSON names in this file are the workers' protocol; the Go names are the terms for them.

// TaskStatus is the status of a task as a worker reports it.
type TaskStatus struct {
	Task    string      `json:"piece"`
	Attempt ids.Attempt `json:"try"`
	State   string      `json:"status"`
	// Cause is why the task ended; empty while it has not.
	Cause string `json:"cause,omitempty"`
	// Checkpointed tells that the task wrote a checkpoint before it ended.
	Checkpointed bool `json:"saved,omitempty"`
}

// What a task's status can be.
const (
	StatePulling       = "pulling"  // its image is being pulled
	StateWaiting       = "waiting"  // for the other tasks of its gang
	StateRunning       = "running"  // it makes progress
	StateCheckpointing = "flushing" // it was told to stop and writes a checkpoint
	StateExited        = "ended"    // see its cause; it stays in the reports until it is cleared
)

// What the cause of a task's end can be.
const (
	CauseDone       = "done"       // it succeeded
	CauseStopped    = "stopped"    // as it was told
	CausePeers      = "peers"      // another task of its gang is gone
	CauseIncomplete = "incomplete" // its gang was not complete in time
	CauseError      = "error"      // it failed
	CauseNoRoom     = "no_room"    // the machine has too little left for it
	CauseBusy       = "busy"       // another attempt of it is on the machine
	CauseNoSuch     = "no_such"    // no such task was submitted
)

// Report is what a worker says of itself and its tasks, in a heartbeat or in answer to commands.
type Report struct {
	Machine ids.Machine `json:"host"`
	Addr    string      `json:"endpoint"`
	Type    string      `json:"build"`
	Zone    string      `json:"yard"`
	Spot    bool        `json:"loaners"`
	// Incarnation is the worker's incarnation: it rises whenever the worker's lease expires.
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

// Command is a command to a worker.
type Command struct {
	Verb    string      `json:"verb"`
	Task    string      `json:"piece"`
	Attempt ids.Attempt `json:"try"`
	// GracePeriod is the grace period of a stop; nil for other commands.
	GracePeriod *ids.Seconds `json:"leewayS,omitempty"`
}

// StartCommand begins an attempt of a task.
func StartCommand(task ids.Task, attempt ids.Attempt) Command {
	return Command{Verb: VerbStart, Task: task.String(), Attempt: attempt}
}

// StopCommand ends a task; a grace period of at least its checkpoint time lets it write a checkpoint.
func StopCommand(task string, attempt ids.Attempt, grace ids.Seconds) Command {
	return Command{Verb: VerbStop, Task: task, Attempt: attempt, GracePeriod: &grace}
}

// ClearCommand takes a task that has ended out of the reports.
func ClearCommand(task string, attempt ids.Attempt) Command {
	return Command{Verb: VerbClear, Task: task, Attempt: attempt}
}

// CommandBatch answers a heartbeat, or is the body of direct commands. A worker drops one whose fencing
// token is lower than the highest that it has seen.
type CommandBatch struct {
	FencingToken ids.Generation  `json:"baton"`
	Incarnation  ids.Incarnation `json:"stint,omitempty"`
	Commands     []Command       `json:"orders"`
}

// Redirect is the body of an answer with status 421: the worker is to report to another controller.
type Redirect struct {
	// Node is that controller; empty if this one does not know it.
	Node ids.Node `json:"answerTo,omitempty"`
}
