package record

import "slices"

// Status is the stage of a job's life cycle.
type Status string

// The statuses. Tasks may be assigned to machines in status Claimed but not in status Queued; there is no
// other difference between the two. Users see Cancelling as cancelled.
const (
	Queued     Status = "queued"
	Claimed    Status = "claimed"
	Cancelling Status = "cancelling"
	Cancelled  Status = "cancelled"
	Done       Status = "done"
)

// transitions lists the allowed transitions of each status.
var transitions = map[Status][]Status{
	Queued:     {Claimed, Cancelling, Cancelled, Done},
	Claimed:    {Queued, Cancelling, Done},
	Cancelling: {Cancelled},
}

// CanBecome reports whether the transition from one status to another is allowed.
func (s Status) CanBecome(to Status) bool { return slices.Contains(transitions[s], to) }

// IsTerminal reports whether the status is terminal.
func (s Status) IsTerminal() bool { return s == Cancelled || s == Done }
