package scenarios

import (
	"fmt"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// The rules, by the names that the protocol gives them.
const (
	ruleRanTwice     = "ran_twice"     // a task starts while it is on a machine
	ruleRanCancelled = "ran_cancelled" // a task starts or goes on too long after its cancellation was confirmed
	ruleTooEarly     = "too_early"     // a task starts before the jobs that its job depends on are done
	ruleQuota        = "quota"         // a team uses more than its quota
	ruleWrongPlace   = "wrong_place"   // a task starts where its job does not allow it
	ruleInvented     = "invented"      // something runs or is reported that nobody submitted
	ruleForgotten    = "forgotten"     // an accepted job is unknown, rejected or unanswered
	ruleNotDone      = "not_done"      // a job is reported as done before its tasks have completed
	ruleWentBack     = "went_back"     // a job's reported status contradicts an earlier one
	ruleOrphaned     = "orphaned"      // a dependent of a cancelled job is reported as pending or running for too long
	ruleDisruption   = "disruption"    // a drain takes more of a team down than its budget, or evicts without a permit
)

// rules checks every task event on a worker and every response to a user against the protocol's
// rules (PROTOCOL, "Rules"). A response may not contradict an earlier one if its request was sent
// after the earlier one had arrived, in the order in which the checker observed both.
type rules struct {
	report   func(rule, what string)
	settings *config.Settings
	mu       sync.Mutex // guards the fields below
	jobs     map[string]*observedJob
	running  map[string][]fake.Event // starts of the tasks that are on machines now, by task
	reported map[string]bool         // violations, by rule and job
	sequence int                     // count of requests and responses so far
	// firstStarts is when a task was first on a machine.
	firstStarts map[string]time.Time
	// polls are those of the last pollWindow, to tell unanswered jobs from an outage.
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

// observedJob is what the rules know of a job. Zero moments and times are never.
type observedJob struct {
	jobDescription
	submitted       bool // a submission of it was sent that was not rejected
	accepted        moment
	done            moment
	cancelled       moment
	cancelRequested moment // when its user first asked to cancel
	completed       map[int]bool
	unansweredSince time.Time // when the first of its failing polls was sent
}

// newRules returns a checker that calls report for each violation.
func newRules(settings *config.Settings, report func(rule, what string)) *rules {
	return &rules{
		report:      report,
		settings:    settings,
		jobs:        map[string]*observedJob{},
		running:     map[string][]fake.Event{},
		reported:    map[string]bool{},
		firstStarts: map[string]time.Time{},
	}
}

// violated reports that a job breaks a rule, once for each rule and job. The caller holds mu.
func (r *rules) violated(rule, job, format string, args ...any) {
	if key := rule + " " + job; !r.reported[key] {
		r.reported[key] = true
		r.report(rule, fmt.Sprintf(format, args...))
	}
}

// job returns what is known of a job, which may be nothing yet. The caller holds mu.
func (r *rules) job(id string) *observedJob {
	job := r.jobs[id]
	if job == nil {
		job = &observedJob{completed: map[int]bool{}}
		r.jobs[id] = job
	}
	return job
}

// FirstStart returns when a task was first on a machine: zero if it never was.
func (r *rules) FirstStart(task string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstStarts[task]
}

// cancelLimit is how long a task may run on after its cancellation was confirmed.
func (r *rules) cancelLimit() time.Duration {
	return time.Duration(float64(r.settings.Params.Workers.CancelS) * float64(time.Second))
}

// isComplete tells whether all of a job's tasks have completed.
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
