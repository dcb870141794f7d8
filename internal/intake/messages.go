package intake

import (
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// submission is the body of POST /v2/runs. Pointers tell a missing field from a zero one. Users
// read this type's name in the text of a decoding error, so it stays.
type submission struct {
	ID                *string   `json:"uid"`
	Class             *string   `json:"jobkind"`
	Team              *string   `json:"owner"`
	Shape             *string   `json:"shape"`
	Priority          *string   `json:"urgency"`
	Tasks             *float64  `json:"pieces"`
	Cores             *float64  `json:"cores"`
	Accelerators      *float64  `json:"accelerators"`
	MemoryGB          *float64  `json:"ramGb"`
	Image             *string   `json:"bundle"`
	ImageGB           *float64  `json:"pullGb"`
	MachineTypes      *[]string `json:"builds"`
	Zone              *string   `json:"yard"`
	OneZone           *bool     `json:"together"`
	Spread            *bool     `json:"spread"`
	Spot              *bool     `json:"loaners"`
	EstimateSeconds   *float64  `json:"guessS"`
	CheckpointSeconds *float64  `json:"bookmarkS"`
	SaveSeconds       *float64  `json:"stashS"`
	DeadlineSeconds   *float64  `json:"dueS"`
	Dependencies      *[]string `json:"awaits"`
}

// jobAnswer is what users are told of a job.
type jobAnswer struct {
	ID      ids.Job    `json:"uid"`
	Status  userStatus `json:"status"`
	Done    int        `json:"done"`
	Running int        `json:"running"`
}

// userStatus is a job's status in the users' protocol.
type userStatus string

// The statuses that users are told.
const (
	statusPending   userStatus = "pending"
	statusRunning   userStatus = "running"
	statusDone      userStatus = "done"
	statusCancelled userStatus = "cancelled"
)

// jobSummary is what a controller keeps of a job's record to answer its user and to decide on the
// jobs that depend on it.
type jobSummary struct {
	id      ids.Job
	status  userStatus
	done    int // tasks
	running int // tasks
	tasks   int // of the whole job
	service bool
	// cancelledBy is the dependency whose cancellation ended the job; none if its user did.
	cancelledBy ids.Job
}

// over reports that the job's status is final.
func (s *jobSummary) over() bool { return s.status == statusDone || s.status == statusCancelled }

// answer is the summary in the users' protocol.
func (s *jobSummary) answer() jobAnswer {
	return jobAnswer{ID: s.id, Status: s.status, Done: s.done, Running: s.running}
}

// summarize reduces a record to its summary.
func summarize(rec *record.Record) jobSummary {
	summary := jobSummary{
		id:          rec.Spec.ID,
		status:      statusPending,
		done:        rec.Finished.Len(),
		running:     rec.AssignedTasks(),
		tasks:       rec.Spec.Tasks,
		service:     rec.Spec.Shape == record.Service,
		cancelledBy: rec.CancelledBy,
	}
	switch rec.Status {
	case record.Done:
		summary.status, summary.running = statusDone, 0
	case record.Cancelled, record.Cancelling:
		summary.status = statusCancelled
	case record.Claimed:
		summary.status = statusRunning
	}
	return summary
}
