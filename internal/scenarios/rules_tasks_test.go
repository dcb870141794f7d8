package scenarios

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// TaskEvent takes what a worker did to a task.
func (r *rules) TaskEvent(event fake.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	jobID, number, _ := strings.Cut(event.Task, "/")
	index, _ := strconv.Atoi(number)
	job := r.job(jobID)
	if !event.Start {
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
		if afterMoment(event.At, job.cancelled) && event.At.Sub(job.cancelled.at) > r.cancelLimit() && event.Cause != "busy" {
			r.violated("ran_cancelled", jobID, "%s was on %s until %v after its user was told", event.Task, event.Worker.Name, event.At.Sub(job.cancelled.at))
		}
		return
	}
	machine := event.Worker
	for _, start := range r.running[event.Task] {
		r.violated("ran_twice", event.Task, "%s starts on %s (attempt %d) while it is on %s (attempt %d)", event.Task, machine.Name, event.Attempt, start.Worker.Name, start.Attempt)
	}
	r.running[event.Task] = append(r.running[event.Task], event)
	if r.firstStarts[event.Task].IsZero() {
		r.firstStarts[event.Task] = event.At
	}
	if !job.submitted {
		r.violated("invented", jobID, "%s starts, but nobody submitted it", event.Task)
		return
	}
	if index >= job.Tasks {
		r.violated("invented", jobID, "%s starts; its job has %d tasks", event.Task, job.Tasks)
	}
	if afterMoment(event.SentAt, job.cancelled) {
		r.violated("ran_cancelled", jobID, "%s starts on %s by a command sent %v after its user was told", event.Task, machine.Name, event.SentAt.Sub(job.cancelled.at))
	}
	if afterMoment(event.At, job.cancelled) && event.At.Sub(job.cancelled.at) > r.cancelLimit() {
		r.violated("ran_cancelled", jobID, "%s starts on %s %v after its user was told", event.Task, machine.Name, event.At.Sub(job.cancelled.at))
	}
	for _, need := range job.Dependencies {
		if !r.job(need).isComplete() {
			r.violated("too_early", jobID, "%s starts on %s, but %s, which it awaits, is not done", event.Task, machine.Name, need)
		}
	}
	r.checkQuota(job.Team)
	r.checkPlacement(job, event)
}

// CheckCancelled looks for cancelled tasks that are still on machines.
func (r *rules) CheckCancelled() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for task, starts := range r.running {
		jobID, _, _ := strings.Cut(task, "/")
		if job := r.jobs[jobID]; len(starts) > 0 && !job.cancelled.isZero() && now.Sub(job.cancelled.at) > r.cancelLimit() {
			r.violated("ran_cancelled", jobID, "%s is still on %s %v after its user was told", task, starts[0].Worker.Name, now.Sub(job.cancelled.at))
		}
	}
}

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
	for _, t := range r.settings.Params.Teams {
		if t.Name == team && (t.CPUsMax > 0 && cores > t.CPUsMax || t.GPUsMax > 0 && accelerators > t.GPUsMax) {
			r.violated("quota", team, "team %s uses %v cores and %v accelerators", team, cores, accelerators)
		}
	}
}

func (r *rules) checkPlacement(job *observedJob, event fake.Event) {
	machine, allowed := event.Worker, job.Types == nil
	for _, machineType := range job.Types {
		allowed = allowed || machineType == machine.Type
	}
	if !allowed {
		r.violated("wrong_place", job.UID, "%s starts on type %s, its job allows %v", event.Task, machine.Type, job.Types)
	}
	if job.Zone != "" && job.Zone != machine.Zone {
		r.violated("wrong_place", job.UID, "%s starts in %s, its job allows %s", event.Task, machine.Zone, job.Zone)
	}
	if machine.Spot && !job.Spot {
		r.violated("wrong_place", job.UID, "%s starts on a spot machine", event.Task)
	}
	inZone := 0
	for n := range job.Tasks {
		for _, start := range r.running[fmt.Sprintf("%s/%d", job.UID, n)] {
			if start.Worker.Zone == machine.Zone {
				inZone++
			} else if job.Together {
				r.violated("wrong_place", job.UID, "%s starts in %s while %s is in %s", event.Task, machine.Zone, start.Task, start.Worker.Zone)
			}
		}
	}
	if job.Spread && inZone > (job.Tasks+1)/2 {
		r.violated("wrong_place", job.UID, "%s starts as number %d of %d in %s", event.Task, inZone, job.Tasks, machine.Zone)
	}
}
