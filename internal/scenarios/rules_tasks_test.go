package scenarios

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// ObserveTaskEvent checks and records the start or end of a task on a worker.
func (r *rules) ObserveTaskEvent(event fake.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	jobID, number, _ := strings.Cut(event.Task, "/")
	index, _ := strconv.Atoi(number)
	if event.Start {
		r.observeStart(event, jobID, index)
	} else {
		r.observeEnd(event, jobID, index)
	}
}

// observeEnd checks and records the end of a task.
func (r *rules) observeEnd(event fake.Event, jobID string, index int) {
	job := r.job(jobID)
	var remaining []fake.Event
	for _, start := range r.running[event.Task] {
		if start.Worker != event.Worker || start.Attempt != event.Attempt {
			remaining = append(remaining, start)
		}
	}
	r.running[event.Task] = remaining
	if event.Cause == "done" {
		job.completed[index] = true
	}
	if event.Cause != "busy" && r.isOverdue(job, event.At) {
		r.reportViolation(ruleRanAfterCancellation, jobID, "%s was on %s until %v after its cancellation was confirmed",
			event.Task, event.Worker.Name, event.At.Sub(job.cancelled.at))
	}
}

// observeStart checks and records the start of a task.
func (r *rules) observeStart(event fake.Event, jobID string, index int) {
	job, machine := r.job(jobID), event.Worker
	for _, start := range r.running[event.Task] {
		r.reportViolation(ruleConcurrentRuns, event.Task, "%s starts on %s (attempt %d) while it is on %s (attempt %d)",
			event.Task, machine.Name, event.Attempt, start.Worker.Name, start.Attempt)
	}
	r.running[event.Task] = append(r.running[event.Task], event)
	if r.firstStarts[event.Task].IsZero() {
		r.firstStarts[event.Task] = event.At
	}
	if !job.submitted {
		r.reportViolation(ruleNeverSubmitted, jobID, "%s starts, but nobody submitted it", event.Task)
		return
	}
	if index >= job.Tasks {
		r.reportViolation(ruleNeverSubmitted, jobID, "%s starts; its job has %d tasks", event.Task, job.Tasks)
	}
	if afterMoment(event.SentAt, job.cancelled) {
		r.reportViolation(ruleRanAfterCancellation, jobID, "%s starts on %s by a command sent %v after its cancellation was confirmed",
			event.Task, machine.Name, event.SentAt.Sub(job.cancelled.at))
	}
	if r.isOverdue(job, event.At) {
		r.reportViolation(ruleRanAfterCancellation, jobID, "%s starts on %s %v after its cancellation was confirmed",
			event.Task, machine.Name, event.At.Sub(job.cancelled.at))
	}
	for _, dependency := range job.Dependencies {
		if !r.job(dependency).isComplete() {
			r.reportViolation(ruleStartedTooEarly, jobID, "%s starts on %s, but %s, which it depends on, is not done", event.Task, machine.Name, dependency)
		}
	}
	r.checkQuota(job.Team)
	r.checkPlacement(job, event)
}

// isOverdue reports whether a time is later than the limit after a job's cancellation was confirmed.
func (r *rules) isOverdue(job *observedJob, now time.Time) bool {
	return afterMoment(now, job.cancelled) && now.Sub(job.cancelled.at) > r.cancelLimit()
}

// CheckCancelled reports tasks that still run after the limit for the stop of cancelled tasks.
func (r *rules) CheckCancelled() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for task, starts := range r.running {
		jobID, _, _ := strings.Cut(task, "/")
		if job := r.jobs[jobID]; len(starts) > 0 && r.isOverdue(job, now) {
			r.reportViolation(ruleRanAfterCancellation, jobID, "%s is still on %s %v after its cancellation was confirmed", task, starts[0].Worker.Name, now.Sub(job.cancelled.at))
		}
	}
}

// checkQuota reports a team that uses more than its quota.
func (r *rules) checkQuota(team string) {
	var cores, accelerators float64
	for _, starts := range r.running {
		for _, start := range starts {
			jobID, _, _ := strings.Cut(start.Task, "/")
			if job := r.jobs[jobID]; job.Team == team {
				cores += job.Cores
				accelerators += job.Accels
			}
		}
	}
	for _, limits := range r.settings.Params.Teams {
		if limits.Name == team && (limits.CPUsMax > 0 && cores > limits.CPUsMax || limits.GPUsMax > 0 && accelerators > limits.GPUsMax) {
			r.reportViolation(ruleQuota, team, "team %s uses %v cores and %v accelerators", team, cores, accelerators)
		}
	}
}

// checkPlacement reports a task that starts on a machine or in a zone that its job does not allow.
// A job that is spread may have at most half of its tasks, rounded up, in a zone.
func (r *rules) checkPlacement(job *observedJob, event fake.Event) {
	machine, allowed := event.Worker, job.Types == nil
	for _, machineType := range job.Types {
		allowed = allowed || machineType == machine.Type
	}
	if !allowed {
		r.reportViolation(ruleWrongPlacement, job.UID, "%s starts on type %s, its job allows %v", event.Task, machine.Type, job.Types)
	}
	if job.Zone != "" && job.Zone != machine.Zone {
		r.reportViolation(ruleWrongPlacement, job.UID, "%s starts in %s, its job allows %s", event.Task, machine.Zone, job.Zone)
	}
	if machine.Spot && !job.Spot {
		r.reportViolation(ruleWrongPlacement, job.UID, "%s starts on a spot machine", event.Task)
	}
	inZone := 0
	for index := range job.Tasks {
		for _, start := range r.running[fmt.Sprintf("%s/%d", job.UID, index)] {
			if start.Worker.Zone == machine.Zone {
				inZone++
			} else if job.Together {
				r.reportViolation(ruleWrongPlacement, job.UID, "%s starts in %s while %s is in %s", event.Task, machine.Zone, start.Task, start.Worker.Zone)
			}
		}
	}
	if job.Spread && inZone > (job.Tasks+1)/2 {
		r.reportViolation(ruleWrongPlacement, job.UID, "%s starts as number %d of %d in %s", event.Task, inZone, job.Tasks, machine.Zone)
	}
}
