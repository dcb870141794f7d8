package scenarios

import (
	"fmt"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// rules watches the workers and every answer to users for the protocol's rules
// (PROTOCOL, "Rules"). An answer is older than another only if its request was
// sent after the other had arrived; that goes by the order in which the checker
// learned of both, since much may happen at one instant.
type rules struct {
	report   func(rule, what string)
	settings *config.Settings
	mu       sync.Mutex
	jobs     map[string]*observedJob
	running  map[string][]fake.Event // starts of what is on machines now, by task
	reported map[string]bool
	sequence int // requests and answers, so far
	// firstStarts is when a task was first on a machine.
	firstStarts map[string]time.Time
	// polls are those of the last 90 s, for jobs about which nobody answers.
	polls []pollResult
}

// jobDescription is what a submission says of where its tasks may be.
type jobDescription struct {
	UID          string   `json:"uid"`
	Team         string   `json:"owner"`
	Shape        string   `json:"shape"`
	Tasks        int      `json:"pieces"`
	Cores        float64  `json:"cores"`
	Accels       float64  `json:"accelerators"`
	Types        []string `json:"builds"`
	Zone         string   `json:"yard"`
	Together     bool     `json:"together"`
	Spread       bool     `json:"spread"`
	Spot         bool     `json:"loaners"`
	Dependencies []string `json:"awaits"`
}

// observedJob is what is known of a job: the zero time is never.
type observedJob struct {
	jobDescription
	submitted       bool // some submission of it was sent that was not refused for good
	accepted        moment
	done            moment
	cancelled       moment
	cancelRequested moment // when its user first asked to cancel
	completed       map[int]bool
	unansweredSince time.Time // since when no poll for it succeeded
}

func newRules(settings *config.Settings, report func(rule, what string)) *rules {
	return &rules{report: report, settings: settings, jobs: map[string]*observedJob{}, running: map[string][]fake.Event{}, reported: map[string]bool{}, firstStarts: map[string]time.Time{}}
}

func (r *rules) violated(rule, job, format string, args ...any) {
	if key := rule + " " + job; !r.reported[key] {
		r.reported[key] = true
		r.report(rule, fmt.Sprintf(format, args...))
	}
}

func (r *rules) job(id string) *observedJob {
	job := r.jobs[id]
	if job == nil {
		job = &observedJob{completed: map[int]bool{}}
		r.jobs[id] = job
	}
	return job
}

// FirstStart is when a task was first on a machine: zero if it never was.
func (r *rules) FirstStart(task string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstStarts[task]
}

func (r *rules) cancelLimit() time.Duration {
	return time.Duration(float64(r.settings.Params.Workers.CancelS) * float64(time.Second))
}

// isComplete tells whether all of a job's tasks have completed.
func (job *observedJob) isComplete() bool {
	if !job.submitted {
		return false
	}
	for index := range job.Tasks {
		if !job.completed[index] && !(job.Shape == "gang" && len(job.completed) > 0) {
			return false
		}
	}
	return true
}
