package rehearsal

// jobCounts are what became of the low jobs.
type jobCounts struct{ Accepted, Done, Running, Waiting, Moved int }

// unfinished counts the jobs that are not done.
func (c jobCounts) unfinished() int { return c.Running + c.Waiting }

// jobTimeline is where a low job stands.
type jobTimeline struct {
	accepted bool
	moved    bool
	// tasks are the tasks that ever started, each with why it ended last; taskRunning: it has not.
	tasks map[string]string
}

// taskRunning stands for a task that has not ended.
const taskRunning = "running"

// countJobs accounts for every low job that was accepted: done, running, or waiting. A job is done
// here once as many of its tasks are as ever started, which is all that the workers' record shows.
func countJobs(events []Event) (counts jobCounts) {
	for _, job := range jobTimelines(events) {
		if !job.accepted {
			continue
		}
		counts.Accepted++
		if job.moved {
			counts.Moved++
		}
		tasks := map[string]int{}
		for _, state := range job.tasks {
			tasks[state]++
		}
		switch {
		case tasks[causeDone] > 0 && tasks[causeDone] == len(job.tasks):
			counts.Done++
		case tasks[taskRunning] > 0:
			counts.Running++
		default:
			counts.Waiting++
		}
	}
	return counts
}

// jobTimelines is where each low job stands at the end of the record.
func jobTimelines(events []Event) map[string]*jobTimeline {
	jobs := map[string]*jobTimeline{}
	for _, event := range ordered(events) {
		if isService(event.Job) || event.Job == "" {
			continue
		}
		job := jobs[event.Job]
		if job == nil {
			job = &jobTimeline{tasks: map[string]string{}}
			jobs[event.Job] = job
		}
		switch event.Kind {
		case JobAccepted:
			job.accepted = true
		case TaskStarted:
			job.tasks[event.Task] = taskRunning
			job.moved = job.moved || event.Why == causeStopped
		case TaskEnded:
			job.tasks[event.Task] = event.Why
			job.moved = job.moved || event.Why == causeStopped
		}
	}
	return jobs
}
