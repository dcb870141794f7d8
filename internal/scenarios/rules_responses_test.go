package scenarios

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// RequestSent observes that a user sends a request, and returns the moment.
func (r *rules) RequestSent(method, path string, body []byte) moment {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.nextMoment()
	if path == "/v2/runs" {
		var description jobDescription
		if json.Unmarshal(body, &description) != nil || description.UID == "" {
			return now
		}
		if job := r.job(description.UID); !job.submitted {
			job.jobDescription, job.submitted = description, true
		}
		return now
	}
	jobID, action, _ := strings.Cut(strings.TrimPrefix(path, "/v2/runs/"), "/")
	if action == "cancel" && method == "POST" {
		setOnce(&r.job(jobID).cancelRequested, now)
	}
	return now
}

// ResponseReceived observes the response to a request sent at a moment; code 0 is no response.
func (r *rules) ResponseReceived(sent moment, node, method, path string, body []byte, code int, response map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.nextMoment()
	submission := path == "/v2/runs"
	jobID, action, _ := strings.Cut(strings.TrimPrefix(path, "/v2/runs/"), "/")
	if submission {
		var description jobDescription
		if json.Unmarshal(body, &description) != nil || description.UID == "" {
			if code == 200 || code == 201 {
				r.violated(ruleInvented, "", "%s accepts %s", node, body)
			}
			return
		}
		jobID = description.UID
	} else if action != "" && action != "cancel" {
		return
	}
	job := r.job(jobID)
	if method == "GET" {
		r.checkPolls(job, jobID, sent.at, now.at, code == 200 || code == 404)
	}
	status, _ := response["status"].(string)
	switch {
	case submission && (code == 400 || code == 422):
		if sent.after(job.accepted) {
			r.violated(ruleForgotten, jobID, "%s answers %d to a repeat of an accepted %s", node, code, jobID)
		}
		if job.accepted.isZero() {
			job.submitted = false // another job may be submitted under this ID
		}
		return
	case code == 404:
		if sent.after(job.accepted) {
			r.violated(ruleForgotten, jobID, "%s answers 404 for an accepted %s", node, jobID)
		}
		return
	case code != 200 && code != 201:
		return
	}
	if !job.submitted {
		r.violated(ruleInvented, jobID, "%s answers %d %q for %s, which nobody submitted", node, code, status, jobID)
		return
	}
	if code == 201 && sent.after(job.accepted) {
		r.violated(ruleWentBack, jobID, "%s accepts a known %s once more", node, jobID)
	}
	if action == "cancel" && status != "cancelled" && status != "done" {
		r.violated(ruleWentBack, jobID, "%s answers a cancel of %s with %q", node, jobID, status)
	}
	switch status {
	case "done":
		for index := range job.Tasks {
			// A gang is done when one of its tasks is, but all of them must have run.
			task := fmt.Sprintf("%s/%d", jobID, index)
			if !job.completed[index] && !(job.Shape == "gang" && len(job.completed) > 0 && !r.firstStarts[task].IsZero()) {
				r.violated(ruleNotDone, jobID, "%s reports %s as done, but %s has not completed", node, jobID, task)
			}
		}
		if !job.cancelled.isZero() {
			r.violated(ruleWentBack, jobID, "%s reports %s as done, which was reported as cancelled", node, jobID)
		}
	case "cancelled":
		if job.cancelRequested.isZero() && r.earliestInDependencies(job, func(index *observedJob) moment { return index.cancelRequested }).IsZero() {
			r.violated(ruleWentBack, jobID, "%s reports %s as cancelled, which its user did not cancel", node, jobID)
		}
		if !job.done.isZero() {
			r.violated(ruleWentBack, jobID, "%s reports %s as cancelled, which was reported as done", node, jobID)
		}
	case "pending", "running":
		if sent.after(job.done) || sent.after(job.cancelled) {
			r.violated(ruleWentBack, jobID, "%s reports %s as %s, whose end was reported %v before the request", node, jobID, status, sent.at.Sub(maxTime(job.done.at, job.cancelled.at)))
		}
		if at := r.earliestInDependencies(job, func(index *observedJob) moment { return index.cancelled }); !at.IsZero() && now.at.Sub(at) > r.cancelLimit() {
			r.violated(ruleOrphaned, jobID, "%s reports %s as %s %v after the cancellation of a dependency was confirmed", node, jobID, status, now.at.Sub(at))
		}
	default:
		r.violated(ruleWentBack, jobID, "%s reports %s as %q", node, jobID, status)
	}
	setOnce(&job.accepted, now)
	if status == "done" {
		setOnce(&job.done, now)
	}
	if status == "cancelled" {
		setOnce(&job.cancelled, now)
	}
}

// earliestInDependencies returns the earliest time of a moment among the jobs that a job depends on,
// directly or not: zero if none has had it.
func (r *rules) earliestInDependencies(job *observedJob, momentOf func(*observedJob) moment) (earliest time.Time) {
	for _, id := range job.Dependencies {
		dependency := r.job(id)
		for _, candidate := range []time.Time{momentOf(dependency).at, r.earliestInDependencies(dependency, momentOf)} {
			if !candidate.IsZero() && (earliest.IsZero() || candidate.Before(earliest)) {
				earliest = candidate
			}
		}
	}
	return earliest
}
