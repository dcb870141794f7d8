// Package worker keeps what the leader knows of the machines' workers by their reports, and sends
// commands to them.
package worker

import (
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// The JSON names in this file are the workers' protocol; the Go names are the terms for them.

// Piece is the status of a task as a worker reports it.
type Piece struct {
	Task    string      `json:"piece"`
	Attempt ids.Attempt `json:"try"`
	Status  string      `json:"status"`
	// Cause is why the task ended; empty while it has not.
	Cause string `json:"cause,omitempty"`
	// Saved tells that the task wrote a checkpoint before it ended.
	Saved bool `json:"saved,omitempty"`
}

// What a task's status can be.
const (
	Pulling  = "pulling"  // its image is being fetched
	Waiting  = "waiting"  // for the other tasks of its gang
	Running  = "running"  // it makes progress
	Flushing = "flushing" // it was told to stop and writes a checkpoint
	Ended    = "ended"    // see its cause; it stays in the reports until it is cleared
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
	// Session is the worker's incarnation: it rises whenever the worker's lease expires.
	Session ids.Incarnation `json:"stint"`
	// Tick is the report's sequence number.
	Tick ids.SequenceNumber `json:"tick"`
	// Token is the highest fencing token that the worker has seen.
	Token ids.Generation `json:"baton"`
	// Warning is the time left until a spot machine is terminated; nil without a notice.
	Warning *ids.Seconds `json:"warningS"`
	// Pieces are the statuses of all tasks on the machine.
	Pieces []Piece `json:"pieces"`
}

// The verbs of commands.
const (
	verbStart = "start"
	verbStop  = "stop"
	verbClear = "clear"
)

// Order is a command to a worker.
type Order struct {
	Verb    string      `json:"verb"`
	Task    string      `json:"piece"`
	Attempt ids.Attempt `json:"try"`
	// Leeway is the grace period of a stop; nil for other commands.
	Leeway *ids.Seconds `json:"leewayS,omitempty"`
}

// Start begins an attempt of a task.
func Start(task ids.Task, attempt ids.Attempt) Order {
	return Order{Verb: verbStart, Task: task.String(), Attempt: attempt}
}

// Stop ends a task; a grace period of at least its checkpoint time lets it write a checkpoint.
func Stop(task string, attempt ids.Attempt, grace ids.Seconds) Order {
	return Order{Verb: verbStop, Task: task, Attempt: attempt, Leeway: &grace}
}

// Clear takes a task that has ended out of the reports.
func Clear(task string, attempt ids.Attempt) Order {
	return Order{Verb: verbClear, Task: task, Attempt: attempt}
}

// Reply answers a heartbeat, or is the body of direct commands. A worker drops one whose fencing
// token is lower than the highest that it has seen.
type Reply struct {
	Token   ids.Generation  `json:"baton"`
	Session ids.Incarnation `json:"stint,omitempty"`
	Orders  []Order         `json:"orders"`
}

// Redirect is the body of an answer with status 421: the worker is to report to another controller.
type Redirect struct {
	// AnswerTo is that controller; empty if this one does not know it.
	AnswerTo ids.Node `json:"answerTo,omitempty"`
}
