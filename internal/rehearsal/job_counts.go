package rehearsal

// jobCounts counts the low-priority jobs by state.
type jobCounts struct{ Accepted, Done, Running, Waiting, Moved int }

// unfinished returns the number of jobs that are not done.
func (c jobCounts) unfinished() int { return c.Running + c.Waiting }

// jobState is the state of a low-priority job.
type jobState struct {
	accepted bool
	moved    bool
	// tasks maps each task that ever started to the cause of its last end, or to taskRunning.
	tasks map[string]string
}

// taskRunning is the state of a task that has started and not ended.
const taskRunning = "running"

// countJobs counts the accepted low-priority jobs as done, running or waiting. A job counts as done
// once every task that ever started is done, because events of workers show started tasks only.
func countJobs(events []Event) (counts jobCounts) {
	for _, job := range finalJobStates(events) {
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

// finalJobStates returns the state of each low-priority job at the end of the record.
func finalJobStates(events []Event) map[string]*jobState {
	jobs := map[string]*jobState{}
	for _, event := range sortedByTime(events) {
		if isService(event.Job) || event.Job == "" {
			continue
		}
		job := jobs[event.Job]
		if job == nil {
			job = &jobState{tasks: map[string]string{}}
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
