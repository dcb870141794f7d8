package rehearsal

import (
	"slices"
	"time"
)

// anyJob selects every job.
func anyJob(string) bool { return true }

// startWaits returns the wait of each accepted job that matches: the time from the first answer to
// its submission, which may be a refusal, to the first start of a task. It returns the accepted jobs
// that match but have not started as unstarted.
func startWaits(events []Event, matches func(job string) bool) (waits []time.Duration, unstarted []string) {
	answered, started := map[string]time.Duration{}, map[string]time.Duration{}
	accepted := map[string]bool{}
	for _, event := range events {
		switch event.Kind {
		case JobAccepted, JobRefused:
			if _, again := answered[event.Job]; !again {
				answered[event.Job] = event.At
			}
			accepted[event.Job] = accepted[event.Job] || event.Kind == JobAccepted
		case TaskStarted:
			if _, again := started[event.Job]; !again {
				started[event.Job] = event.At
			}
		}
	}
	for job := range accepted {
		firstStart, found := started[job]
		switch {
		case !matches(job) || !accepted[job]:
		case !found:
			unstarted = append(unstarted, job)
		default:
			waits = append(waits, max(0, firstStart-answered[job]))
		}
	}
	slices.Sort(waits)
	slices.Sort(unstarted)
	return waits, unstarted
}

// countRunningTasks returns the number of tasks of matching jobs that have started and not ended.
func countRunningTasks(events []Event, matches func(job string) bool) (running int) {
	for _, event := range events {
		switch {
		case !matches(event.Job):
		case event.Kind == TaskStarted:
			running++
		case event.Kind == TaskEnded:
			running--
		}
	}
	return running
}
