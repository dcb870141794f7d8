package rehearsal

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// DrainFindings are what a rehearsal of a drain came to, by the workers' own record.
type DrainFindings struct {
	Seed   uint64
	Teams  []drainTeam
	Took   time.Duration
	Events []Event
	// Down is how many of a team's replicas were down from a moment on, by team.
	Down     map[string][]DownSample
	Breaches []string
	Doubled  []string
	// Moves are the tasks that the rollout moved, and where to.
	Moves []Move
	Fates fates
	// Drain is from the rollout's start to its end, Least the least that the same budgets
	// allow for the same moves; 0 if it did not end.
	Drain, Least time.Duration
	// Repeated is the core-seconds of work that was thrown away by moves.
	Repeated float64
	Halts    []string
	Asked    map[string]int // permits given and refused
	Left     int            // machines left cordoned; -1 if not known
	Changes  uint64
	Midway   string // why the run ended before its time; empty: it did not
}

// DownSample is what a team has down from a moment on.
type DownSample struct {
	At time.Duration
	// Down are the replicas that do not run, ByDrains those of them that a drain stopped.
	Down, ByDrains int
}

// Move is a task that a rollout stopped, and its next start.
type Move struct {
	Task, From, To string
	At             time.Duration
	// Takes is from the stop to the start; 0 if it did not start again.
	Takes time.Duration
	Why   string
}

// Failed tells whether anything went wrong that must not.
func (f *DrainFindings) Failed() bool {
	return len(f.Breaches) > 0 || len(f.Doubled) > 0 || f.Fates.unfinished() > 0 || f.Left != 0 || f.Midway != "" || len(f.Moves) == 0 || len(f.Halts) == 0
}

// Print tells the outcome in a few lines.
func (f *DrainFindings) Print(out io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%d tasks moved in %v of %v; least under the same budgets %v; %.0f core-seconds repeated; permits %v; %d changes of the state service\n",
		len(f.Moves), f.Drain.Round(time.Second), f.Took.Round(time.Second), f.Least.Round(time.Second), f.Repeated, f.Asked, f.Changes)
	fmt.Fprintf(&text, "breaches of a budget: %d; tasks doubled: %d; machines left cordoned: %d; halts: %d\n", len(f.Breaches), len(f.Doubled), f.Left, len(f.Halts))
	fmt.Fprintf(&text, "low jobs: %d accepted, %d done, %d running, %d waiting, %d moved\n", f.Fates.Accepted, f.Fates.Done, f.Fates.Running, f.Fates.Waiting, f.Fates.Moved)
	for _, breach := range f.Breaches {
		fmt.Fprintln(&text, breach)
	}
	if f.Midway != "" {
		fmt.Fprintln(&text, "ended before its time:", f.Midway)
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// leave writes the record and the report.
func (f *DrainFindings) leave(folder string) error {
	stored := WriteRecord(filepath.Join(folder, "record.jsonl.zst"), f.Events)
	page, err := f.Report()
	if err != nil {
		return errors.Join(stored, err)
	}
	return errors.Join(stored, os.WriteFile(filepath.Join(folder, "report.html"), page, 0o600))
}

// knownWithin is how long after a machine stopped by itself its replicas may not be known to be
// down: until its reports are missed, and a permit given before that was carried out.
const knownWithin = 6 * time.Second

// taskFate is where a task stands.
type taskFate struct {
	team    string
	service bool
	running bool
	began   bool
	where   string
	cores   float64
	startAt time.Duration
	downAt  time.Duration
	drained bool
	move    int // index of the move under way; -1: none
}

// count works out from the record what there is to find.
func (f *DrainFindings) count() {
	f.Doubled = Doubled(f.Events)
	f.Fates = jobFates(f.Events)
	f.Down = map[string][]DownSample{}
	budgets := map[string]drainTeam{}
	for _, team := range f.Teams {
		budgets[team.Name] = team
	}
	tasks := map[string]*taskFate{}
	evicted := map[string]string{}
	for _, event := range ordered(f.Events) {
		switch event.Kind {
		case Evicted:
			evicted[event.Task] = event.Why
		case Halt:
			f.Halts = append(f.Halts, event.Why)
		case TaskStarted, TaskEnded:
			task := tasks[event.Task]
			if task == nil {
				task = &taskFate{team: event.Team, service: isService(event.Job), cores: event.Cores, move: -1}
				tasks[event.Task] = task
			}
			if event.Kind == TaskStarted {
				f.started(task, event)
			} else {
				f.ended(task, event, evicted[event.Task])
			}
			f.sample(tasks, event, budgets[event.Team], event.Kind == TaskEnded && task.drained)
		}
	}
	f.measureDrain()
}

// ordered is the record in the order of time.
func ordered(events []Event) []Event {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(x, y Event) int { return cmp.Compare(x.At, y.At) })
	return sorted
}

// isService tells a rehearsal's services from its other jobs by the ids.
func isService(job string) bool {
	return !strings.HasPrefix(job, "job-1") || len(job) < len("job-1000000")
}

func (f *DrainFindings) started(task *taskFate, event Event) {
	task.running, task.began, task.drained, task.where, task.startAt = true, true, false, event.Where, event.At
	if task.move >= 0 {
		move := &f.Moves[task.move]
		move.To, move.Takes = event.Where, event.At-move.At
		task.move = -1
	}
}

// ended takes in a task's end. Nothing but drains stops tasks in this rehearsal.
func (f *DrainFindings) ended(task *taskFate, event Event, why string) {
	task.running, task.downAt = false, event.At
	task.drained = event.Why == "stopped"
	if !task.drained {
		return
	}
	if !task.service {
		f.Repeated += (event.At - task.startAt).Seconds() * task.cores
	}
	task.move = len(f.Moves)
	f.Moves = append(f.Moves, Move{Task: event.Task, From: event.Where, At: event.At, Why: why})
	if why == "" {
		f.Breaches = append(f.Breaches, fmt.Sprintf("at %v %s was stopped on %s, and no permit was stored for that", event.At.Round(time.Millisecond), event.Task, event.Where))
	}
}

// sample looks at a team after one of its tasks started or ended.
func (f *DrainFindings) sample(tasks map[string]*taskFate, event Event, team drainTeam, stopped bool) {
	down, byDrains, known, interrupted := 0, 0, 0, 0
	for _, task := range tasks {
		if task.team != event.Team || !task.began || task.running {
			continue
		}
		if !task.service {
			if task.drained {
				interrupted++
			}
			continue
		}
		down++
		if task.drained {
			byDrains++
		}
		if task.drained || event.At-task.downAt > knownWithin {
			known++
		}
	}
	if isService(event.Job) {
		f.Down[event.Team] = append(f.Down[event.Team], DownSample{event.At, down, byDrains})
	}
	if !stopped {
		return
	}
	if byDrains > team.Budget || known > team.Budget || interrupted > team.Interrupted {
		f.Breaches = append(f.Breaches, fmt.Sprintf("at %v the stop of %s on %s left team %s with %d replicas down (%d stopped by drains) of at most %d, and %d other tasks interrupted of at most %d",
			event.At.Round(time.Millisecond), event.Task, event.Where, team.Name, known, byDrains, team.Budget, interrupted, team.Interrupted))
	}
}

// measureDrain compares the rollout's time with the least that its moves take: each team moves
// as many replicas at a time as its budget allows, each as fast as the fastest and then until it
// counts as up.
func (f *DrainFindings) measureDrain() {
	var began, ended time.Duration
	for _, event := range f.Events {
		switch {
		case event.Kind == RolloutStored && began == 0:
			began = event.At
		case event.Kind == RolloutStored && strings.HasPrefix(event.Why, "ended"):
			ended = event.At
		}
	}
	if ended > 0 {
		f.Drain = ended - began
	}
	fastest := time.Hour
	moves := map[string]int{}
	for _, move := range f.Moves {
		job := jobOf(move.Task)
		if !isService(job) || move.Takes == 0 {
			continue
		}
		fastest = min(fastest, move.Takes)
		moves[f.teamOf(job)]++
	}
	for _, team := range f.Teams {
		rounds := (moves[team.Name] + team.Budget - 1) / team.Budget
		f.Least = max(f.Least, time.Duration(rounds)*(fastest+time.Duration(drainReadyS*float64(time.Second))))
	}
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

// replicasUp counts the replicas that run.
func replicasUp(events []Event) (up int) {
	for _, event := range events {
		if !isService(event.Job) {
			continue
		}
		switch event.Kind {
		case TaskStarted:
			up++
		case TaskEnded:
			up--
		}
	}
	return up
}

// fates are what became of the low jobs.
type fates struct{ Accepted, Done, Running, Waiting, Moved int }

// unfinished counts the jobs that are not done.
func (f fates) unfinished() int { return f.Running + f.Waiting }

// jobFates accounts for every low job that was accepted: done, running, or waiting. A job is done
// here once as many of its tasks are as ever started, which is all that the workers' record shows.
func jobFates(events []Event) (f fates) {
	accepted := map[string]bool{}
	state := map[string]map[string]string{} // task's last event, by job
	moved := map[string]bool{}
	for _, event := range ordered(events) {
		if isService(event.Job) || event.Job == "" {
			continue
		}
		switch event.Kind {
		case Accepted:
			accepted[event.Job] = true
		case TaskStarted, TaskEnded:
			if state[event.Job] == nil {
				state[event.Job] = map[string]string{}
			}
			state[event.Job][event.Task] = event.Why
			if event.Kind == TaskStarted {
				state[event.Job][event.Task] = "running"
			}
			moved[event.Job] = moved[event.Job] || event.Why == "stopped"
		}
	}
	for job := range accepted {
		f.Accepted++
		if moved[job] {
			f.Moved++
		}
		counts := map[string]int{}
		for _, last := range state[job] {
			counts[last]++
		}
		switch {
		case counts["done"] > 0 && counts["done"] == len(state[job]):
			f.Done++
		case counts["running"] > 0:
			f.Running++
		default:
			f.Waiting++
		}
	}
	return f
}
