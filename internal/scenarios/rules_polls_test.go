package scenarios

import "time"

// pollWindow is the time for which polls for one job may stay unanswered while polls for other jobs
// are answered.
const pollWindow = 90 * time.Second

// pollResult is the result of a request for a job's status.
type pollResult struct {
	at       time.Time
	job      string
	answered bool
}

// checkPolls records a poll. It reports a job if none of its polls was answered during pollWindow
// while most polls for other jobs were answered.
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
		r.reportViolation(ruleAcceptedJobLost, id, "no poll for %s was answered for %v, most others were", id, now.Sub(job.unansweredSince))
	}
}

// countOtherPolls returns the number of recent polls for other jobs, and how many were answered.
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
