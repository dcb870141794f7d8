package rehearsal

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Team is one of the teams of a rehearsal.
type Team struct {
	Name                                     string
	Guarantee, Limit                         float64 // cores
	GuaranteeAccelerators, LimitAccelerators float64
}

// Sample is what a team's tasks use from a moment on.
type Sample struct {
	At                  time.Duration
	Cores, Accelerators float64
}

// Breach is a moment at which a team used more than its limit.
type Breach struct {
	Team Team
	Sample
	Task string // the task whose start made it so
}

// String names the breach in one line.
func (b Breach) String() string {
	return fmt.Sprintf("at %v team %s used %g cores and %g accelerators, with limits of %g and %g, after the start of %s",
		b.At.Round(time.Millisecond), b.Team.Name, b.Cores, b.Accelerators, b.Team.Limit, b.Team.LimitAccelerators, b.Task)
}

// Usage is what each team used over time, by the workers' own record, sampled at each start
// and end, and every breach of a limit.
func Usage(events []Event, teams []Team) (samples map[string][]Sample, breaches []Breach) {
	samples = map[string][]Sample{}
	byName := map[string]Team{}
	for _, team := range teams {
		byName[team.Name] = team
	}
	ordered := slices.Clone(events)
	slices.SortStableFunc(ordered, func(x, y Event) int { return cmp.Compare(x.At, y.At) })
	now := map[string]Sample{}
	for _, event := range ordered {
		sign := map[Kind]float64{TaskStarted: 1, TaskEnded: -1}[event.Kind]
		if sign == 0 {
			continue
		}
		sample := now[event.Team]
		sample.At = event.At
		sample.Cores += sign * event.Cores
		sample.Accelerators += sign * event.Accelerators
		now[event.Team] = sample
		samples[event.Team] = append(samples[event.Team], sample)
		if team := byName[event.Team]; sign > 0 && exceeds(sample, team) {
			breaches = append(breaches, Breach{Team: team, Sample: sample, Task: event.Task})
		}
	}
	return samples, breaches
}

// Doubled lists the tasks that were started on one machine while they were on another.
func Doubled(events []Event) (tasks []string) {
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

// dust is what rounding of decimal numbers may leave behind.
const dust = 1e-6

// exceeds tells whether a team uses more than a limit; a limit of zero is none.
func exceeds(s Sample, t Team) bool {
	return t.Limit > 0 && s.Cores > t.Limit+dust || t.LimitAccelerators > 0 && s.Accelerators > t.LimitAccelerators+dust
}

// Waits is how long each of the chosen jobs that were accepted waited from the first answer to
// its submission, be it a refusal, to its first start; unstarted are those without one.
func Waits(events []Event, chosen func(job string) bool) (waits []time.Duration, unstarted []string) {
	answered, started := map[string]time.Duration{}, map[string]time.Duration{}
	accepted := map[string]bool{}
	for _, event := range events {
		switch event.Kind {
		case Accepted, Refused:
			if _, again := answered[event.Job]; !again {
				answered[event.Job] = event.At
			}
			accepted[event.Job] = accepted[event.Job] || event.Kind == Accepted
		case TaskStarted:
			if _, again := started[event.Job]; !again {
				started[event.Job] = event.At
			}
		}
	}
	for job := range accepted {
		begun, found := started[job]
		switch {
		case !chosen(job) || !accepted[job]:
		case !found:
			unstarted = append(unstarted, job)
		default:
			waits = append(waits, max(0, begun-answered[job]))
		}
	}
	slices.Sort(waits)
	slices.Sort(unstarted)
	return waits, unstarted
}
