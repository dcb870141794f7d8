package intake

import (
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// submission is the body of POST /v2/runs. Its fields are pointers to distinguish missing fields from zero
// values. Do not rename this type: decoding errors, which users see, contain its name.
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

// jobResponse is the response body that describes a job to its user.
type jobResponse struct {
	ID      ids.Job    `json:"uid"`
	Status  userStatus `json:"status"`
	Done    int        `json:"done"`
	Running int        `json:"running"`
}

// userStatus is the status of a job as reported to users.
type userStatus string

// The statuses reported to users.
const (
	statusPending   userStatus = "pending"
	statusRunning   userStatus = "running"
	statusDone      userStatus = "done"
	statusCancelled userStatus = "cancelled"
)

// jobSummary is the part of a job's record needed to respond to the job's user and to evaluate the jobs that
// depend on it.
type jobSummary struct {
	id      ids.Job
	status  userStatus
	done    int // number of tasks that are done
	running int // number of tasks that are running
	tasks   int // total number of tasks
	service bool
	// cancelledBy is the dependency whose cancellation ended the job; empty if the job was not cancelled, or
	// was cancelled by its own user.
	cancelledBy ids.Job
}

// isFinal reports whether the job's status is final.
func (s *jobSummary) isFinal() bool { return s.status == statusDone || s.status == statusCancelled }

// response converts the summary to the response body for users.
func (s *jobSummary) response() jobResponse {
	return jobResponse{ID: s.id, Status: s.status, Done: s.done, Running: s.running}
}

// summarize returns the summary of a job's record.
func summarize(rec *record.Record) jobSummary {
	summary := jobSummary{
		id:          rec.Spec.ID,
		status:      statusPending,
		done:        rec.Finished.Len(),
		running:     rec.AssignedTasks(),
		tasks:       rec.Spec.Tasks,
		service:     rec.Spec.JobType == record.Service,
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
