// Package intake is the interface for users: it accepts jobs, answers questions
// about them and cancels them. Every controller does it alike, straight on the state service.
package intake

import (
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// submission is the body of POST /v2/runs. Pointers tell a missing field from
// a zero.
type submission struct {
	UID          *string   `json:"uid"`
	JobKind      *string   `json:"jobkind"`
	Owner        *string   `json:"owner"`
	Shape        *string   `json:"shape"`
	Urgency      *string   `json:"urgency"`
	Pieces       *float64  `json:"pieces"`
	Cores        *float64  `json:"cores"`
	Accelerators *float64  `json:"accelerators"`
	RAMGb        *float64  `json:"ramGb"`
	Bundle       *string   `json:"bundle"`
	PullGb       *float64  `json:"pullGb"`
	Builds       *[]string `json:"builds"`
	Yard         *string   `json:"yard"`
	Together     *bool     `json:"together"`
	Spread       *bool     `json:"spread"`
	Loaners      *bool     `json:"loaners"`
	GuessS       *float64  `json:"guessS"`
	BookmarkS    *float64  `json:"bookmarkS"`
	StashS       *float64  `json:"stashS"`
	DueS         *float64  `json:"dueS"`
	Awaits       *[]string `json:"awaits"`
}

// answer is what users are told of a job.
type answer struct {
	UID     ids.Job `json:"uid"`
	Status  string  `json:"status"`
	Done    int     `json:"done"`
	Running int     `json:"running"`

	tasks   int     // of the whole job
	service bool    // it is never done
	cause   ids.Job // the cancelled job that ended it; none if its user did
}

// tell words a record for its user.
func tell(r *record.Record) answer {
	a := answer{UID: r.Spec.ID, Done: r.Finished.Len(), Running: r.Open(), tasks: r.Spec.Tasks, service: r.Spec.Shape == record.Service, cause: r.CancelledBy}
	switch r.Status {
	case record.Done:
		a.Status, a.Running = "done", 0
	case record.Cancelled, record.Cancelling:
		a.Status = "cancelled"
	case record.Claimed:
		a.Status = "running"
	default:
		a.Status = "pending"
	}
	return a
}
