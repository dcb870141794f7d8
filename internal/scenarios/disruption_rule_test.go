package scenarios

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// disruptionRule checks from the task events on the workers that no drain exceeds a team's disruption
// budget. In its scenarios only drains, cancellations, spot reclaims and the completion of a gang stop
// tasks. It therefore treats each stop for none of the other three reasons as an eviction by a drain.
type disruptionRule struct {
	report  func(rule, detail string)
	rules   *rules
	budgets map[string]teamBudget

	// evictionStored reports whether the state service holds the permit to evict a task's attempt.
	evictionStored func(task string, attempt uint64) bool
	// detectionDelay is the time for which a failure may stay unknown to the leader.
	detectionDelay time.Duration

	mu    sync.Mutex // guards the fields below; rules.mu may be taken under it
	tasks map[string]*observedTask
	// evictions holds the number of evictions of each task.
	evictions map[string]int
	// reclaimed holds the machines with a spot reclaim notice: the cloud stops their tasks.
	reclaimed map[string]bool
	// completedGangs holds the gangs of which one task is done. Their other tasks are stopped then.
	completedGangs map[string]bool
}

// teamBudget is the number of replicas that may be down and of other tasks that may be interrupted
// by drains at a time in one team.
type teamBudget struct{ replicas, interrupted int }

// observedTask is the state of a task according to its events.
type observedTask struct {
	started bool
	up      bool
	downAt  time.Time
	drained bool // whether a drain stopped its last attempt
}

// defaultDetectionDelay covers two and a half heartbeat intervals, after which a worker counts as
// silent, plus the time to use a permit that was stored just before.
const defaultDetectionDelay = 12 * time.Second

// newDisruptionRule returns a checker of the budgets. It passes each event on to the rules.
func newDisruptionRule(r *rules, report func(rule, detail string), budgets map[string]teamBudget) *disruptionRule {
	return &disruptionRule{
		report:         report,
		rules:          r,
		budgets:        budgets,
		detectionDelay: defaultDetectionDelay,
		tasks:          map[string]*observedTask{},
		evictions:      map[string]int{},
		reclaimed:      map[string]bool{},
		completedGangs: map[string]bool{},
	}
}

// Event records the start or end of a task on a worker. It checks the budget if a drain
// stopped the task.
func (d *disruptionRule) Event(event fake.Event) {
	d.rules.ObserveTaskEvent(event)
	job, _, _ := strings.Cut(event.Task, "/")
	d.rules.mu.Lock()
	description, cancelled := d.rules.job(job).jobDescription, !d.rules.job(job).cancelRequested.isZero()
	d.rules.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	task := d.tasks[event.Task]
	if task == nil {
		task = &observedTask{}
		d.tasks[event.Task] = task
	}
	if event.Start {
		task.started, task.up, task.drained = true, true, false
		return
	}
	if event.Cause == "busy" {
		return
	}
	task.up, task.downAt = false, event.At
	if event.Cause == "done" && description.Shape == "gang" {
		d.completedGangs[job] = true
	}
	task.drained = event.Cause == "stopped" && !cancelled && !d.reclaimed[event.Worker.Name] && !d.completedGangs[job]
	if event.Cause == "done" || cancelled {
		delete(d.tasks, event.Task)
	}
	if task.drained {
		d.checkEviction(event, description.Team)
	}
}

// checkEviction reports an eviction without a stored permit or over the team's budget. The caller
// holds mu.
func (d *disruptionRule) checkEviction(event fake.Event, team string) {
	if !d.evictionStored(event.Task, event.Attempt) {
		d.report(ruleDisruption, fmt.Sprintf("%s (attempt %d) is stopped, and no permit for that is stored", event.Task, event.Attempt))
	}
	d.evictions[event.Task]++
	d.checkBudget(event, team)
}

// checkBudget reports a team that exceeds its budget right after a drain stopped one of its tasks.
func (d *disruptionRule) checkBudget(event fake.Event, team string) {
	evicted, knownDown, interrupted := 0, 0, 0
	for name, task := range d.tasks {
		job, _, _ := strings.Cut(name, "/")
		d.rules.mu.Lock()
		description := d.rules.job(job).jobDescription
		d.rules.mu.Unlock()
		if description.Team != team || !task.started || task.up {
			continue
		}
		if description.Shape != "standing" {
			if task.drained {
				interrupted++
			}
			continue
		}
		if task.drained {
			evicted++
		}
		if task.drained || event.At.Sub(task.downAt) > d.detectionDelay {
			knownDown++
		}
	}
	allowed := d.budgets[team]
	if evicted > allowed.replicas || knownDown > allowed.replicas {
		d.report(ruleDisruption, fmt.Sprintf("the stop of %s on %s makes %d replicas of %s down, %d of them by drains, of at most %d",
			event.Task, event.Worker.Name, knownDown, team, evicted, allowed.replicas))
	}
	if interrupted > allowed.interrupted {
		d.report(ruleDisruption, fmt.Sprintf("the stop of %s on %s makes %d tasks of %s interrupted, of at most %d",
			event.Task, event.Worker.Name, interrupted, team, allowed.interrupted))
	}
}

// recordSpotReclaim records that the cloud reclaims a machine.
func (d *disruptionRule) recordSpotReclaim(machine string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reclaimed[machine] = true
}

// evictionCount returns the number of evictions of a job's tasks so far.
func (d *disruptionRule) evictionCount(job string) (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for task, stops := range d.evictions {
		if strings.HasPrefix(task, job+"/") {
			n += stops
		}
	}
	return n
}
