package scenarios

import "time"

// pollWindow is how long a job may go unanswered while other jobs are answered.
const pollWindow = 90 * time.Second

// pollResult is whether a request for a job's status was answered.
type pollResult struct {
	at       time.Time
	job      string
	answered bool
}

// checkPolls reports a job that no poll was answered for during pollWindow while most polls for other
// jobs were.
func (r *rules) checkPolls(job *observedJob, id string, sent, now time.Time, answered bool) {
	for len(r.polls) > 0 && now.Sub(r.polls[0].at) > pollWindow {
		r.polls = r.polls[1:]
	}
	r.polls = append(r.polls, pollResult{now, id, answered})
	if answered || job.accepted.isZero() {
		job.unansweredSince = time.Time{}
		return
	}
	if job.unansweredSince.IsZero() {
		job.unansweredSince = sent
	}
	if now.Sub(job.unansweredSince) < pollWindow {
		return
	}
	others, othersAnswered := r.countOtherPolls(id)
	if 2*othersAnswered > others {
		r.violated(ruleForgotten, id, "no poll for %s was answered for %v, most others were", id, now.Sub(job.unansweredSince))
	}
}

// countOtherPolls counts the recent polls for other jobs, and those of them that were answered.
func (r *rules) countOtherPolls(id string) (others, answered int) {
	for _, poll := range r.polls {
		if poll.job == id {
			continue
		}
		others++
		if poll.answered {
			answered++
		}
	}
	return others, answered
}
