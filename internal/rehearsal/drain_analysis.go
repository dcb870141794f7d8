package rehearsal

import (
	"fmt"
	"strings"
	"time"
)

// detectionDelay is the time after a machine's failure from which its replicas count against the
// budget. It covers the time until controllers notice missing heartbeats, plus the time until a permit
// granted before that has been used.
const detectionDelay = 6 * time.Second

// Causes with which workers report the end of a task.
const (
	causeDone    = "done"
	causeStopped = "stopped"
)

// noMove is the value of taskState.move for a task that is not being moved.
const noMove = -1

// taskState is the state of a task at a point in the record.
type taskState struct {
	team        string
	service     bool
	running     bool
	everStarted bool
	cores       float64
	startedAt   time.Duration
	downAt      time.Duration
	// drained is set while the task is down because a drain stopped it.
	drained bool
	// move is the index in DrainFindings.Moves of the task's unfinished move, or noMove.
	move int
}

// analyze derives the findings from the recorded events.
func (f *DrainFindings) analyze() {
	f.OnTwoMachines = tasksOnTwoMachines(f.Events)
	f.LowJobs = countJobs(f.Events)
	f.Down = map[string][]DownSample{}
	budgets := map[string]drainTeam{}
	for _, team := range f.Teams {
		budgets[team.Name] = team
	}
	tasks := map[string]*taskState{}
	evictionReasons := map[string]string{}
	for _, event := range sortedByTime(f.Events) {
		switch event.Kind {
		case EvictionStored:
			evictionReasons[event.Task] = event.Why
		case RolloutHalted:
			f.Halts = append(f.Halts, event.Why)
		case TaskStarted, TaskEnded:
			task := taskStateOf(tasks, event)
			if event.Kind == TaskStarted {
				f.taskStarted(task, event)
			} else {
				f.taskEnded(task, event, evictionReasons[event.Task])
			}
			stoppedByDrain := event.Kind == TaskEnded && task.drained
			f.sampleTeam(tasks, event, budgets[event.Team], stoppedByDrain)
		}
	}
	f.measureRollout()
}

// taskStateOf returns the state of an event's task, and creates it at the first event of the task.
func taskStateOf(tasks map[string]*taskState, event Event) *taskState {
	task := tasks[event.Task]
	if task == nil {
		task = &taskState{team: event.Team, service: isService(event.Job), cores: event.Cores, move: noMove}
		tasks[event.Task] = task
	}
	return task
}

// isService reports whether a job of the drain rehearsal is a service, judging by its ID.
func isService(job string) bool {
	return !strings.HasPrefix(job, "job-1") || len(job) < len("job-1000000")
}

// taskStarted processes the start of a task, which completes the task's move if there is one.
func (f *DrainFindings) taskStarted(task *taskState, event Event) {
	task.running, task.everStarted, task.drained, task.startedAt = true, true, false, event.At
	if task.move != noMove {
		move := &f.Moves[task.move]
		move.To, move.Downtime = event.Where, event.At-move.At
		task.move = noMove
	}
}

// taskEnded processes the end of a task. Only drains stop tasks in this rehearsal.
func (f *DrainFindings) taskEnded(task *taskState, event Event, why string) {
	task.running, task.downAt = false, event.At
	task.drained = event.Why == causeStopped
	if !task.drained {
		return
	}
	if !task.service {
		f.RepeatedCoreSeconds += (event.At - task.startedAt).Seconds() * task.cores
	}
	task.move = len(f.Moves)
	f.Moves = append(f.Moves, Relocation{Task: event.Task, From: event.Where, At: event.At, Why: why})
	if why == "" {
		f.Breaches = append(f.Breaches, fmt.Sprintf("at %v %s was stopped on %s, and no permit was stored for that", event.At.Round(time.Millisecond), event.Task, event.Where))
	}
}

// downCounts counts the tasks of a team that are down at a point in time.
type downCounts struct {
	// replicas counts the replicas that do not run, byDrains those that drains stopped, and
	// countedReplicas those that count against the budget because the controllers know that they are
	// down.
	replicas, byDrains, countedReplicas int
	// interrupted counts the tasks of other jobs that drains stopped.
	interrupted int
}

// countDownTasks counts the tasks of a team that are down at a point in time.
func countDownTasks(tasks map[string]*taskState, team string, at time.Duration) (counts downCounts) {
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
			counts.countedReplicas++
		}
	}
	return counts
}

// sampleTeam samples the replicas of a team that are down after one of its tasks started or ended.
// If a drain stopped the task, it also checks the team's budget.
func (f *DrainFindings) sampleTeam(tasks map[string]*taskState, event Event, team drainTeam, stoppedByDrain bool) {
	down := countDownTasks(tasks, event.Team, event.At)
	if isService(event.Job) {
		f.Down[event.Team] = append(f.Down[event.Team], DownSample{event.At, down.replicas, down.byDrains})
	}
	if !stoppedByDrain {
		return
	}
	if down.byDrains > team.ReplicasDown || down.countedReplicas > team.ReplicasDown || down.interrupted > team.TasksInterrupted {
		f.Breaches = append(f.Breaches, fmt.Sprintf("at %v the stop of %s on %s left team %s with %d replicas down (%d stopped by drains) of at most %d, and %d other tasks interrupted of at most %d",
			event.At.Round(time.Millisecond), event.Task, event.Where, team.Name, down.countedReplicas, down.byDrains, team.ReplicasDown, down.interrupted, team.TasksInterrupted))
	}
}

// measureRollout computes the duration of the rollout and the lower bound for its moves.
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

// shortestDuration returns a lower bound for the duration of the rollout's moves. It assumes that
// each team always moves as many replicas at once as its budget allows, and that every move takes
// as long as the fastest one plus the time until the replica counts as up.
func (f *DrainFindings) shortestDuration() (shortest time.Duration) {
	fastest := time.Hour
	moves := map[string]int{}
	for _, move := range f.Moves {
		job := jobOfTask(move.Task)
		if !isService(job) || move.Downtime == 0 {
			continue
		}
		fastest = min(fastest, move.Downtime)
		moves[f.teamOfJob(job)]++
	}
	for _, team := range f.Teams {
		rounds := (moves[team.Name] + team.ReplicasDown - 1) / team.ReplicasDown
		shortest = max(shortest, time.Duration(rounds)*(fastest+readyTime))
	}
	return shortest
}

// jobOfTask returns the ID of the job that a task belongs to.
func jobOfTask(task string) string {
	job, _, _ := strings.Cut(task, "/")
	return job
}

// teamOfJob returns the team that owns a job, or an empty string if no event names it.
func (f *DrainFindings) teamOfJob(job string) string {
	for _, event := range f.Events {
		if event.Job == job && event.Team != "" {
			return event.Team
		}
	}
	return ""
}
