package rehearsal

import (
	"fmt"
	"strings"
	"time"
)

// detectionDelay is how long after a machine stopped by itself its replicas may not be known to be
// down: until its reports are missed, and a permit given before that was carried out.
const detectionDelay = 6 * time.Second

// Why a task ended, as workers report it.
const (
	causeDone    = "done"
	causeStopped = "stopped"
)

// noMove stands for no move under way.
const noMove = -1

// taskTimeline is where a task stands at a moment of the record.
type taskTimeline struct {
	team        string
	service     bool
	running     bool
	everStarted bool
	cores       float64
	startedAt   time.Duration
	downAt      time.Duration
	// drained tells that a drain stopped it and it has not started again.
	drained bool
	// move is the index of the move under way, or noMove.
	move int
}

// analyze works out from the record what there is to find.
func (f *DrainFindings) analyze() {
	f.OnTwoMachines = tasksOnTwoMachines(f.Events)
	f.LowJobs = countJobs(f.Events)
	f.Down = map[string][]DownSample{}
	budgets := map[string]drainTeam{}
	for _, team := range f.Teams {
		budgets[team.Name] = team
	}
	tasks := map[string]*taskTimeline{}
	evicted := map[string]string{}
	for _, event := range ordered(f.Events) {
		switch event.Kind {
		case EvictionStored:
			evicted[event.Task] = event.Why
		case RolloutHalted:
			f.Halts = append(f.Halts, event.Why)
		case TaskStarted, TaskEnded:
			task := timelineOf(tasks, event)
			if event.Kind == TaskStarted {
				f.taskStarted(task, event)
			} else {
				f.taskEnded(task, event, evicted[event.Task])
			}
			stoppedByDrain := event.Kind == TaskEnded && task.drained
			f.sampleTeam(tasks, event, budgets[event.Team], stoppedByDrain)
		}
	}
	f.measureRollout()
}

// timelineOf is the timeline of an event's task, a new one at its first event.
func timelineOf(tasks map[string]*taskTimeline, event Event) *taskTimeline {
	task := tasks[event.Task]
	if task == nil {
		task = &taskTimeline{team: event.Team, service: isService(event.Job), cores: event.Cores, move: noMove}
		tasks[event.Task] = task
	}
	return task
}

// isService tells a rehearsal's services from its other jobs by their ids.
func isService(job string) bool {
	return !strings.HasPrefix(job, "job-1") || len(job) < len("job-1000000")
}

// taskStarted takes in a task's start, which completes its move if it was moved.
func (f *DrainFindings) taskStarted(task *taskTimeline, event Event) {
	task.running, task.everStarted, task.drained, task.startedAt = true, true, false, event.At
	if task.move != noMove {
		move := &f.Moves[task.move]
		move.To, move.Downtime = event.Where, event.At-move.At
		task.move = noMove
	}
}

// taskEnded takes in a task's end. Nothing but drains stops tasks in this rehearsal.
func (f *DrainFindings) taskEnded(task *taskTimeline, event Event, why string) {
	task.running, task.downAt = false, event.At
	task.drained = event.Why == causeStopped
	if !task.drained {
		return
	}
	if !task.service {
		f.RepeatedCoreSeconds += (event.At - task.startedAt).Seconds() * task.cores
	}
	task.move = len(f.Moves)
	f.Moves = append(f.Moves, Move{Task: event.Task, From: event.Where, At: event.At, Why: why})
	if why == "" {
		f.Breaches = append(f.Breaches, fmt.Sprintf("at %v %s was stopped on %s, and no permit was stored for that", event.At.Round(time.Millisecond), event.Task, event.Where))
	}
}

// downCounts are what a team has down at a moment.
type downCounts struct {
	// replicas do not run; byDrains of them were stopped by drains, and known of them count
	// against the budget, since the controllers know that they are down.
	replicas, byDrains, known int
	// interrupted are other tasks that drains stopped.
	interrupted int
}

// countDown counts what a team has down at a moment.
func countDown(tasks map[string]*taskTimeline, team string, at time.Duration) (counts downCounts) {
	for _, task := range tasks {
		if task.team != team || !task.everStarted || task.running {
			continue
		}
		if !task.service {
			if task.drained {
				counts.interrupted++
			}
			continue
		}
		counts.replicas++
		if task.drained {
			counts.byDrains++
		}
		if task.drained || at-task.downAt > detectionDelay {
			counts.known++
		}
	}
	return counts
}

// sampleTeam looks at a team after one of its tasks started or ended, and checks its budget if a
// drain stopped the task.
func (f *DrainFindings) sampleTeam(tasks map[string]*taskTimeline, event Event, team drainTeam, stoppedByDrain bool) {
	down := countDown(tasks, event.Team, event.At)
	if isService(event.Job) {
		f.Down[event.Team] = append(f.Down[event.Team], DownSample{event.At, down.replicas, down.byDrains})
	}
	if !stoppedByDrain {
		return
	}
	if down.byDrains > team.ReplicasDown || down.known > team.ReplicasDown || down.interrupted > team.TasksInterrupted {
		f.Breaches = append(f.Breaches, fmt.Sprintf("at %v the stop of %s on %s left team %s with %d replicas down (%d stopped by drains) of at most %d, and %d other tasks interrupted of at most %d",
			event.At.Round(time.Millisecond), event.Task, event.Where, team.Name, down.known, down.byDrains, team.ReplicasDown, down.interrupted, team.TasksInterrupted))
	}
}

// measureRollout works out how long the rollout took, and the least that its moves take.
func (f *DrainFindings) measureRollout() {
	var started, ended time.Duration
	for _, event := range f.Events {
		switch {
		case event.Kind == RolloutStored && started == 0:
			started = event.At
		case event.Kind == RolloutStored && strings.HasPrefix(event.Why, "ended"):
			ended = event.At
		}
	}
	if ended > 0 {
		f.RolloutDuration = ended - started
	}
	f.ShortestDuration = f.shortestDuration()
}

// shortestDuration is the least that the rollout's moves take: each team moves as many replicas at
// a time as its budget allows, each as fast as the fastest and then until it counts as up.
func (f *DrainFindings) shortestDuration() (shortest time.Duration) {
	fastest := time.Hour
	moves := map[string]int{}
	for _, move := range f.Moves {
		job := jobOf(move.Task)
		if !isService(job) || move.Downtime == 0 {
			continue
		}
		fastest = min(fastest, move.Downtime)
		moves[f.teamOf(job)]++
	}
	for _, team := range f.Teams {
		rounds := (moves[team.Name] + team.ReplicasDown - 1) / team.ReplicasDown
		shortest = max(shortest, time.Duration(rounds)*(fastest+readyTime))
	}
	return shortest
}

// jobOf is the job that a task belongs to.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, "/")
	return job
}

// teamOf is whose a job is.
func (f *DrainFindings) teamOf(job string) string {
	for _, event := range f.Events {
		if event.Job == job && event.Team != "" {
			return event.Team
		}
	}
	return ""
}
