package scenarios

import "time"

type pollResult struct {
	at       time.Time
	job      string
	answered bool
}

func (r *rules) checkPolls(job *observedJob, id string, sent, now time.Time, answered bool) {
	for len(r.polls) > 0 && now.Sub(r.polls[0].at) > 90*time.Second {
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
	if now.Sub(job.unansweredSince) < 90*time.Second {
		return
	}
	others, othersAnswered := 0, 0
	for _, poll := range r.polls {
		if poll.job != id {
			others++
			if poll.answered {
				othersAnswered++
			}
		}
	}
	if 2*othersAnswered > others {
		r.violated("forgotten", id, "no poll for %s was answered for %v, most others were", id, now.Sub(job.unansweredSince))
	}
}
