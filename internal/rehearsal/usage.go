package rehearsal

import (
	"fmt"
	"time"
)

// Team is a team with its guaranteed and maximum resources.
type Team struct {
	Name                                     string
	Guarantee, Limit                         float64 // cores
	GuaranteeAccelerators, LimitAccelerators float64
}

// UsageSample is the resource usage of a team's tasks from a point in time on.
type UsageSample struct {
	At                  time.Duration
	Cores, Accelerators float64
}

// Breach is a sample at which a team used more than its limit.
type Breach struct {
	Team Team
	UsageSample
	Task string // the task whose start exceeded the limit
}

// String describes the breach in one line.
func (b Breach) String() string {
	return fmt.Sprintf("at %v team %s used %g cores and %g accelerators, with limits of %g and %g, after the start of %s",
		b.At.Round(time.Millisecond), b.Team.Name, b.Cores, b.Accelerators, b.Team.Limit, b.Team.LimitAccelerators, b.Task)
}

// usageOverTime returns the resource usage of each team, sampled at each task start and end that
// workers reported, and every breach of a limit.
func usageOverTime(events []Event, teams []Team) (samples map[string][]UsageSample, breaches []Breach) {
	samples = map[string][]UsageSample{}
	byName := map[string]Team{}
	for _, team := range teams {
		byName[team.Name] = team
	}
	current := map[string]UsageSample{}
	for _, event := range sortedByTime(events) {
		sign := map[EventKind]float64{TaskStarted: 1, TaskEnded: -1}[event.Kind]
		if sign == 0 {
			continue
		}
		sample := current[event.Team]
		sample.At = event.At
		sample.Cores += sign * event.Cores
		sample.Accelerators += sign * event.Accelerators
		current[event.Team] = sample
		samples[event.Team] = append(samples[event.Team], sample)
		if team := byName[event.Team]; sign > 0 && exceedsLimit(sample, team) {
			breaches = append(breaches, Breach{Team: team, UsageSample: sample, Task: event.Task})
		}
	}
	return samples, breaches
}

// roundingTolerance is the error that sums of rounded decimal numbers may have.
const roundingTolerance = 1e-6

// exceedsLimit reports whether a team's usage is above one of its limits; a limit of zero means no limit.
func exceedsLimit(s UsageSample, t Team) bool {
	return t.Limit > 0 && s.Cores > t.Limit+roundingTolerance || t.LimitAccelerators > 0 && s.Accelerators > t.LimitAccelerators+roundingTolerance
}

// tasksOnTwoMachines returns the tasks that were started on one machine while they ran on another.
func tasksOnTwoMachines(events []Event) (tasks []string) {
	running := map[string]string{}
	for _, event := range events {
		switch event.Kind {
		case TaskStarted:
			if where, there := running[event.Task]; there && where != event.Where {
				tasks = append(tasks, event.Task)
			}
			running[event.Task] = event.Where
		case TaskEnded:
			if running[event.Task] == event.Where {
				delete(running, event.Task)
			}
		}
	}
	return tasks
}
