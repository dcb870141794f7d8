package scenarios

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	submissionPath = "/v2/runs"
	jobPath        = "/v2/runs/" // followed by the job's ID and, for some requests, an action
	cancelAction   = "cancel"
)

// response is a response to a user's request that concerns a job.
type response struct {
	sent, received moment // of the request, and of the response
	node           string
	job            string // its ID
	submission     bool
	cancellation   bool
	code           int // 0: there was none
	status         string
}

// decodeDescription decodes a submission, and reports whether it is valid JSON with a job ID.
func decodeDescription(body []byte) (description jobDescription, ok bool) {
	err := json.Unmarshal(body, &description)
	return description, err == nil && description.UID != ""
}

// splitJobPath returns the job's ID and the action of a request other than a submission.
func splitJobPath(path string) (job, action string) {
	job, action, _ = strings.Cut(strings.TrimPrefix(path, jobPath), "/")
	return job, action
}

// ObserveRequest records that a user sends a request, and returns the moment.
func (r *rules) ObserveRequest(method, path string, body []byte) moment {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.nextMoment()
	if path == submissionPath {
		if description, ok := decodeDescription(body); ok {
			if job := r.job(description.UID); !job.submitted {
				job.jobDescription, job.submitted = description, true
			}
		}
		return now
	}
	if job, action := splitJobPath(path); action == cancelAction && method == http.MethodPost {
		setOnce(&r.job(job).cancelRequested, now)
	}
	return now
}

// ObserveResponse checks and records the response to a request that was sent at a moment. Code 0
// means that there was no response.
func (r *rules) ObserveResponse(sent moment, node, method, path string, body []byte, code int, fields map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	status, _ := fields["status"].(string)
	received := response{sent: sent, received: r.nextMoment(), node: node, submission: path == submissionPath, code: code, status: status}
	if received.submission {
		description, ok := decodeDescription(body)
		if !ok {
			if code == http.StatusOK || code == http.StatusCreated {
				r.reportViolation(ruleNeverSubmitted, "", "%s accepts %s", node, body)
			}
			return
		}
		received.job = description.UID
	} else {
		var action string
		received.job, action = splitJobPath(path)
		received.cancellation = action == cancelAction
		if action != "" && !received.cancellation {
			return
		}
	}
	job := r.job(received.job)
	if method == http.MethodGet {
		r.checkPolls(job, received.job, sent.at, received.received.at, code == http.StatusOK || code == http.StatusNotFound)
	}
	if r.checkCode(job, received) {
		r.checkStatus(job, received)
		r.recordStatus(job, received)
	}
}

// checkCode reports a job that a node does not know or rejects after it was accepted, and a job that
// a node knows although no user submitted it. It returns whether the response contains the status of a
// submitted job.
func (r *rules) checkCode(job *observedJob, received response) bool {
	switch {
	case received.submission && (received.code == http.StatusBadRequest || received.code == http.StatusUnprocessableEntity):
		if received.sent.after(job.accepted) {
			r.reportViolation(ruleAcceptedJobLost, received.job, "%s answers %d to a repeated submission of an accepted %s", received.node, received.code, received.job)
		}
		if job.accepted.isZero() {
			job.submitted = false // another job may be submitted under this ID
		}
		return false
	case received.code == http.StatusNotFound:
		if received.sent.after(job.accepted) {
			r.reportViolation(ruleAcceptedJobLost, received.job, "%s answers 404 for an accepted %s", received.node, received.job)
		}
		return false
	case received.code != http.StatusOK && received.code != http.StatusCreated:
		return false
	}
	if !job.submitted {
		r.reportViolation(ruleNeverSubmitted, received.job, "%s answers %d %q for %s, which nobody submitted", received.node, received.code, received.status, received.job)
		return false
	}
	return true
}

// checkStatus reports a status that contradicts earlier responses, requests or task events.
func (r *rules) checkStatus(job *observedJob, received response) {
	if received.code == http.StatusCreated && received.sent.after(job.accepted) {
		r.reportViolation(ruleStatusContradiction, received.job, "%s accepts a known %s once more", received.node, received.job)
	}
	if received.cancellation && received.status != "cancelled" && received.status != "done" {
		r.reportViolation(ruleStatusContradiction, received.job, "%s answers a cancellation of %s with %q", received.node, received.job, received.status)
	}
	switch received.status {
	case "done":
		r.checkDone(job, received)
	case "cancelled":
		r.checkReportedCancelled(job, received)
	case "pending", "running":
		r.checkUnfinished(job, received)
	default:
		r.reportViolation(ruleStatusContradiction, received.job, "%s reports %s as %q", received.node, received.job, received.status)
	}
}

// checkDone reports a response that calls a job done before all its tasks have completed, or after
// the job was reported as cancelled.
func (r *rules) checkDone(job *observedJob, received response) {
	for index := range job.Tasks {
		// A gang is done when one of its tasks is done, but all of its tasks must have run.
		task := fmt.Sprintf("%s/%d", received.job, index)
		if !job.completed[index] && !(job.Shape == "gang" && len(job.completed) > 0 && !r.firstStarts[task].IsZero()) {
			r.reportViolation(ruleDoneTooEarly, received.job, "%s reports %s as done, but %s has not completed", received.node, received.job, task)
		}
	}
	if !job.cancelled.isZero() {
		r.reportViolation(ruleStatusContradiction, received.job, "%s reports %s as done, which was reported as cancelled", received.node, received.job)
	}
}

// checkReportedCancelled reports a response that calls a job cancelled although no user cancelled it or
// a job that it depends on, or after the job was reported as done.
func (r *rules) checkReportedCancelled(job *observedJob, received response) {
	requested := func(dependency *observedJob) moment { return dependency.cancelRequested }
	if job.cancelRequested.isZero() && r.earliestInDependencies(job, requested).IsZero() {
		r.reportViolation(ruleStatusContradiction, received.job, "%s reports %s as cancelled, which its user did not cancel", received.node, received.job)
	}
	if !job.done.isZero() {
		r.reportViolation(ruleStatusContradiction, received.job, "%s reports %s as cancelled, which was reported as done", received.node, received.job)
	}
}

// checkUnfinished reports a response that calls a job pending or running after its end was reported,
// or later than the limit after the cancellation of a job that it depends on.
func (r *rules) checkUnfinished(job *observedJob, received response) {
	if received.sent.after(job.done) || received.sent.after(job.cancelled) {
		r.reportViolation(ruleStatusContradiction, received.job, "%s reports %s as %s, whose end was reported %v before the request",
			received.node, received.job, received.status, received.sent.at.Sub(maxTime(job.done.at, job.cancelled.at)))
	}
	confirmed := r.earliestInDependencies(job, func(dependency *observedJob) moment { return dependency.cancelled })
	if now := received.received.at; !confirmed.IsZero() && now.Sub(confirmed) > r.cancelLimit() {
		r.reportViolation(ruleDependentNotCancelled, received.job, "%s reports %s as %s %v after the cancellation of a dependency was confirmed",
			received.node, received.job, received.status, now.Sub(confirmed))
	}
}

// recordStatus records when a job was first reported as accepted, done or cancelled.
func (r *rules) recordStatus(job *observedJob, received response) {
	setOnce(&job.accepted, received.received)
	if received.status == "done" {
		setOnce(&job.done, received.received)
	}
	if received.status == "cancelled" {
		setOnce(&job.cancelled, received.received)
	}
}

// earliestInDependencies returns the earliest time that momentOf yields for the jobs on which a job
// depends directly or indirectly: zero if it yields none.
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
