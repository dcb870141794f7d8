package scenarios

import (
	"fmt"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// The names of the rules in the protocol.
const (
	ruleConcurrentRuns        = "ran_twice"     // a task starts while it already runs on a machine
	ruleRanAfterCancellation  = "ran_cancelled" // a task starts or runs after the limit for cancelled tasks
	ruleStartedTooEarly       = "too_early"     // a task starts before its job's dependencies are done
	ruleQuota                 = "quota"         // a team uses more than its quota
	ruleWrongPlacement        = "wrong_place"   // a task starts where its job does not allow it
	ruleNeverSubmitted        = "invented"      // a job that no user submitted runs or is reported
	ruleAcceptedJobLost       = "forgotten"     // an accepted job is unknown, rejected or unanswered
	ruleDoneTooEarly          = "not_done"      // a job is reported as done before its tasks have completed
	ruleStatusContradiction   = "went_back"     // a job's reported status contradicts an earlier one
	ruleDependentNotCancelled = "orphaned"      // a dependent of a cancelled job stays uncancelled too long
	ruleDisruption            = "disruption"    // a drain exceeds a disruption budget or evicts without a permit
)

// rules checks every task event on a worker and every response to a user against the rules of the
// protocol. A response must not contradict an earlier response if its request was sent after that
// response had arrived, in the order in which the checker observed them.
type rules struct {
	report   func(rule, detail string)
	settings *config.Settings
	mu       sync.Mutex // guards the fields below
	jobs     map[string]*observedJob
	running  map[string][]fake.Event // starts of the tasks that are on machines now, by task
	reported map[string]bool         // violations, by rule and job
	sequence int                     // number of requests and responses so far
	// firstStarts holds the time of each task's first start.
	firstStarts map[string]time.Time
	// polls holds the polls of the last pollWindow, to distinguish an unanswered job from an outage.
	polls []pollResult
}

// jobDescription is the part of a submission that the rules depend on.
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

// observedJob is the state of a job according to its requests, responses and task events. Zero
// moments and times stand for events that have not happened.
type observedJob struct {
	jobDescription
	submitted       bool // whether a submission was sent and not rejected
	accepted        moment
	done            moment
	cancelled       moment
	cancelRequested moment // when its user first asked to cancel
	completed       map[int]bool
	unansweredSince time.Time // when the first unanswered poll since its last answered one was sent
}

// newRules returns a checker that calls report for each violation.
func newRules(settings *config.Settings, report func(rule, detail string)) *rules {
	return &rules{
		report:      report,
		settings:    settings,
		jobs:        map[string]*observedJob{},
		running:     map[string][]fake.Event{},
		reported:    map[string]bool{},
		firstStarts: map[string]time.Time{},
	}
}

// reportViolation reports that a job breaks a rule, at most once for each rule and job. The caller
// holds mu.
func (r *rules) reportViolation(rule, job, format string, args ...any) {
	if key := rule + " " + job; !r.reported[key] {
		r.reported[key] = true
		r.report(rule, fmt.Sprintf(format, args...))
	}
}

// job returns the observed state of a job, and creates it for a job not seen before. The caller
// holds mu.
func (r *rules) job(id string) *observedJob {
	job := r.jobs[id]
	if job == nil {
		job = &observedJob{completed: map[int]bool{}}
		r.jobs[id] = job
	}
	return job
}

// FirstStart returns the time of a task's first start: zero if the task never started.
func (r *rules) FirstStart(task string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstStarts[task]
}

// cancelLimit returns the time that a task may still run after its cancellation was confirmed.
func (r *rules) cancelLimit() time.Duration {
	return time.Duration(float64(r.settings.Params.Workers.CancelS) * float64(time.Second))
}

// isComplete reports whether all tasks of a job have completed or, if the job is a gang, at least one.
func (j *observedJob) isComplete() bool {
	if !j.submitted {
		return false
	}
	for index := range j.Tasks {
		if !j.completed[index] && !(j.Shape == "gang" && len(j.completed) > 0) {
			return false
		}
	}
	return true
}
