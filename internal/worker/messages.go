// Package worker speaks with the machines' workers: their reports and leases, and
// the commands to them.
package worker

import (
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Piece is a task as a worker reports it.
type Piece struct {
	Task    string      `json:"piece"`
	Attempt ids.Attempt `json:"try"`
	Status  string      `json:"status"`
	Cause   string      `json:"cause,omitempty"`
	Saved   bool        `json:"saved,omitempty"`
}

// What a piece's status and cause can be.
const (
	Pulling  = "pulling"
	Waiting  = "waiting"
	Running  = "running"
	Flushing = "flushing"
	Ended    = "ended"

	CauseDone       = "done"
	CauseStopped    = "stopped"
	CausePeers      = "peers"
	CauseIncomplete = "incomplete"
	CauseError      = "error"
	CauseNoRoom     = "no_room"
	CauseBusy       = "busy"
	CauseNoSuch     = "no_such"
)

// Report is what a worker says of itself, in a heartbeat or in answer to commands.
type Report struct {
	Machine ids.Machine    `json:"host"`
	Addr    string         `json:"endpoint"`
	Type    string         `json:"build"`
	Zone    string         `json:"yard"`
	Spot    bool           `json:"loaners"`
	Session ids.Session    `json:"stint"`
	Tick    ids.Tick       `json:"tick"`
	Token   ids.Generation `json:"baton"`
	Warning *ids.Seconds   `json:"warningS"`
	Pieces  []Piece        `json:"pieces"`
}

// Order is a command to a worker.
type Order struct {
	Verb    string       `json:"verb"`
	Task    string       `json:"piece"`
	Attempt ids.Attempt  `json:"try"`
	Leeway  *ids.Seconds `json:"leewayS,omitempty"`
}

// Start begins an attempt of a task.
func Start(t ids.Task, a ids.Attempt) Order {
	return Order{Verb: "start", Task: t.String(), Attempt: a}
}

// Stop ends a task; a leeway of at least its saving time lets it save.
func Stop(task string, a ids.Attempt, leeway ids.Seconds) Order {
	return Order{Verb: "stop", Task: task, Attempt: a, Leeway: &leeway}
}

// Clear takes an exited task out of the reports.
func Clear(task string, a ids.Attempt) Order { return Order{Verb: "clear", Task: task, Attempt: a} }

// Reply answers a heartbeat, or is the body of direct commands.
type Reply struct {
	Token   ids.Generation `json:"baton"`
	Session ids.Session    `json:"stint,omitempty"`
	Orders  []Order        `json:"orders"`
}

// Redirect is the body of a 421.
type Redirect struct {
	AnswerTo ids.Node `json:"answerTo,omitempty"`
}
