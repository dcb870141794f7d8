package harness2

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// Users submit, ask about and cancel jobs, and check the answers against what they were told.
type Users struct {
	World  *World
	client *http.Client

	mu       sync.Mutex
	accepted map[string]bool
	final    map[string]string // done or cancelled, as told
	asked    map[string]bool   // a cancellation was asked for
}

// NewUsers returns users of a world.
func NewUsers(world *World) *Users {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	return &Users{World: world, client: &http.Client{Timeout: 5 * time.Second, Transport: transport}, accepted: map[string]bool{}, final: map[string]string{}, asked: map[string]bool{}}
}

// Submit submits a job to a controller and returns the status of the answer.
func (u *Users) Submit(to *Controller, job *Job) int { return u.SubmitBody(to, job, job) }

// SubmitBody is like Submit, with a body of its own.
func (u *Users) SubmitBody(to *Controller, job *Job, body any) int {
	u.World.Upload(job)
	u.mu.Lock()
	known := u.accepted[job.ID]
	u.mu.Unlock()
	status, answer := Call(u.client, http.MethodPost, "http://"+to.Client+"/v2/runs", body)
	u.World.Record.Add("submit %s to %s: %d %v", job.ID, to.Name, status, answer)
	u.mu.Lock()
	defer u.mu.Unlock()
	if status == http.StatusOK || status == http.StatusCreated {
		u.accepted[job.ID] = true
	}
	if known && (status == http.StatusBadRequest || status == http.StatusUnprocessableEntity) {
		u.World.Record.Breach("forgotten", "a repeated submission of %s gets %d from %s", job.ID, status, to.Name)
	}
	return status
}

// SubmitUntil submits a job until it is accepted or refused for good, for 60 s at most. It returns 201 for an accepted job,
// also if the answer was 200.
func (u *Users) SubmitUntil(to *Controller, job *Job) int {
	for until := time.Now().Add(time.Minute); ; time.Sleep(time.Second) {
		status := u.Submit(to, job)
		if status == http.StatusOK {
			status = http.StatusCreated
		}
		if status == http.StatusCreated || status == http.StatusBadRequest || status == http.StatusUnprocessableEntity || time.Now().After(until) {
			return status
		}
	}
}

// Poll asks a controller about a job and checks the answer; wait bounds how long the user waits.
func (u *Users) Poll(at *Controller, job string, wait time.Duration) (status int, state string) {
	u.mu.Lock()
	accepted, final := u.accepted[job], u.final[job]
	u.mu.Unlock()
	client := *u.client
	client.Timeout = wait
	status, answer := Call(&client, http.MethodGet, "http://"+at.Client+"/v2/runs/"+job, nil)
	if status == 0 {
		return 0, ""
	}
	state, _ = answer["status"].(string)
	u.World.Record.Add("poll %s at %s: %d %s", job, at.Name, status, state)
	switch {
	case status == http.StatusNotFound && accepted:
		u.World.Record.Breach("forgotten", "%s, which was accepted, gets 404 from %s", job, at.Name)
	case status == http.StatusOK && final != "" && state != final:
		u.World.Record.Breach("went_back", "%s was called %s and is called %s by %s", job, final, state, at.Name)
	}
	if status == http.StatusOK {
		u.told(job, state)
	}
	return status, state
}

// told records what a user was told, and checks it.
func (u *Users) told(job, state string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state != "done" && state != "cancelled" {
		return
	}
	if u.final[job] == "" {
		u.final[job] = state
	}
	u.World.mu.Lock()
	defer u.World.mu.Unlock()
	if state == "cancelled" && !u.cancelAsked(job) {
		u.World.Record.Breach("went_back", "%s is called cancelled, and its user did not cancel it", job)
	}
	if spec := u.World.jobs[job]; state == "done" && spec != nil && u.World.doneTasks(job) < spec.Pieces {
		u.World.Record.Breach("not_done", "%s is called done with %d of %d tasks done", job, u.World.doneTasks(job), spec.Pieces)
	}
}

// cancelAsked reports whether a cancellation was asked for, of a job or of one that it needs.
func (u *Users) cancelAsked(job string) bool {
	if u.asked[job] {
		return true
	}
	spec := u.World.jobs[job]
	return spec != nil && slices.ContainsFunc(spec.Awaits, u.cancelAsked)
}

// Cancel cancels a job at a controller and returns the status and what the user was told. Dependents are the jobs that
// need it.
func (u *Users) Cancel(at *Controller, job string, dependents ...string) (status int, state string) {
	u.mu.Lock()
	u.asked[job] = true
	for _, dependent := range dependents {
		u.asked[dependent] = true
	}
	accepted := u.accepted[job]
	u.mu.Unlock()
	sent := u.World.Record.Now()
	status, answer := Call(u.client, http.MethodPost, "http://"+at.Client+"/v2/runs/"+job+"/cancel", nil)
	state, _ = answer["status"].(string)
	if status == http.StatusOK {
		if state == "cancelled" {
			u.World.ToldCancelled(job)
			for _, dependent := range dependents {
				u.World.ToldCancelled(dependent)
			}
		}
		u.told(job, state)
	}
	u.World.Record.Add("cancel %s at %s, sent at %.3f: %d %s", job, at.Name, sent.Seconds(), status, state)
	if status == http.StatusNotFound && accepted {
		u.World.Record.Breach("forgotten", "the cancellation of %s, which was accepted, gets 404 from %s", job, at.Name)
	}
	return status, state
}
