package record

import "slices"

// Status is the stage of a job's life cycle.
type Status string

// The statuses. Queued and Claimed differ only in whether any task may be assigned to a
// machine; Cancelling is reported to users as cancelled.
const (
	Queued     Status = "queued"
	Claimed    Status = "claimed"
	Cancelling Status = "cancelling"
	Cancelled  Status = "cancelled"
	Done       Status = "done"
)

// transitions lists every allowed transition.
var transitions = map[Status][]Status{
	Queued:     {Claimed, Cancelling, Cancelled, Done},
	Claimed:    {Queued, Cancelling, Done},
	Cancelling: {Cancelled},
}

// CanBecome reports whether the transition from one status to another is allowed.
func (s Status) CanBecome(to Status) bool { return slices.Contains(transitions[s], to) }

// IsTerminal reports whether the status is terminal.
func (s Status) IsTerminal() bool { return s == Cancelled || s == Done }
