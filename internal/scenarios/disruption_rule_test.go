package scenarios

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// disruptionRule watches, by the workers' own record, that no drain takes more of a team down than
// its budget. In its scenarios nothing but drains, cancellations and spot notices stops tasks, so
// every other stop is a drain's doing.
type disruptionRule struct {
	report  func(rule, what string)
	rules   *rules
	budgets map[string]teamBudget

	// evictionStored tells whether the eviction of a task's attempt is in the store.
	evictionStored func(task string, attempt uint64) bool
	// detectionDelay is how long after a failure the leader may not know of it.
	detectionDelay time.Duration

	mu    sync.Mutex
	tasks map[string]*observedTask
	// evictions counts the drains' stops, by task.
	evictions map[string]int
	// reclaimed are machines with a spot notice: what is stopped there is the cloud's doing.
	reclaimed map[string]bool
	// completedGangs are gangs of which a task is done.
	completedGangs map[string]bool
}

// teamBudget is what the rule allows a team to have down at a time.
type teamBudget struct{ replicas, interrupted int }

// observedTask is where a task stands, as its workers saw it.
type observedTask struct {
	started bool
	up      bool
	downAt  time.Time
	drained bool // it was last stopped by a drain
}

// defaultDetectionDelay is two and a half report intervals, until silence counts, and the time of a
// permit that was stored just before.
const defaultDetectionDelay = 12 * time.Second

func newDisruptionRule(r *rules, say func(rule, what string), budget map[string]teamBudget) *disruptionRule {
	return &disruptionRule{report: say, rules: r, budgets: budget, tasks: map[string]*observedTask{}, evictions: map[string]int{}, detectionDelay: defaultDetectionDelay,
		reclaimed: map[string]bool{}, completedGangs: map[string]bool{}}
}

// Event takes what a worker did to a task.
func (d *disruptionRule) Event(e fake.Event) {
	d.rules.TaskEvent(e)
	job, _, _ := strings.Cut(e.Task, "/")
	d.rules.mu.Lock()
	wanted, cancelled := d.rules.job(job).jobDescription, !d.rules.job(job).cancelRequested.isZero()
	d.rules.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	task := d.tasks[e.Task]
	if task == nil {
		task = &observedTask{}
		d.tasks[e.Task] = task
	}
	if e.Start {
		task.started, task.up, task.drained = true, true, false
		return
	}
	if e.Cause == "busy" {
		return
	}
	task.up, task.downAt = false, e.At
	if e.Cause == "done" && wanted.Shape == "gang" {
		d.completedGangs[job] = true // it is done as a whole, and the others are stopped for that
	}
	task.drained = e.Cause == "stopped" && !cancelled && !d.reclaimed[e.Worker.Name] && !d.completedGangs[job]
	if e.Cause == "done" || cancelled {
		delete(d.tasks, e.Task)
	}
	if task.drained {
		if !d.evictionStored(e.Task, e.Attempt) {
			d.report("disruption", fmt.Sprintf("%s (attempt %d) is stopped, and no permit for that is stored", e.Task, e.Attempt))
		}
		d.evictions[e.Task]++
		d.check(e, wanted.Team)
	}
}

// check looks at a team right after a drain stopped one of its tasks.
func (d *disruptionRule) check(e fake.Event, team string) {
	byDrains, known, interrupted := 0, 0, 0
	for name, task := range d.tasks {
		job, _, _ := strings.Cut(name, "/")
		d.rules.mu.Lock()
		wanted := d.rules.job(job).jobDescription
		d.rules.mu.Unlock()
		if wanted.Team != team || !task.started || task.up {
			continue
		}
		if wanted.Shape != "standing" {
			if task.drained {
				interrupted++
			}
			continue
		}
		if task.drained {
			byDrains++
		}
		if task.drained || e.At.Sub(task.downAt) > d.detectionDelay {
			known++
		}
	}
	allowed := d.budgets[team]
	if byDrains > allowed.replicas || known > allowed.replicas {
		d.report("disruption", fmt.Sprintf("the stop of %s on %s makes %d replicas of %s down, %d of them by drains, of at most %d",
			e.Task, e.Worker.Name, known, team, byDrains, allowed.replicas))
	}
	if interrupted > allowed.interrupted {
		d.report("disruption", fmt.Sprintf("the stop of %s on %s makes %d tasks of %s interrupted, of at most %d",
			e.Task, e.Worker.Name, interrupted, team, allowed.interrupted))
	}
}

// noteSpotReclaim notes a machine that the cloud takes back.
func (d *disruptionRule) noteSpotReclaim(machine string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reclaimed[machine] = true
}

// evictionsOf counts the drains' stops of a job's tasks.
func (d *disruptionRule) evictionsOf(job string) (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for task, stops := range d.evictions {
		if strings.HasPrefix(task, job+"/") {
			n += stops
		}
	}
	return n
}
