package rehearsal

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Job is one submission of the users' load.
type Job struct {
	ID       string
	Team     string
	Shape    string // "array", "gang" or "standing"
	Priority string
	Tasks    int
	Cores    float64
	// Accelerators of each task.
	Accelerators float64
	// Runs is how long each task takes; 0: until it is stopped.
	Runs time.Duration
}

// body is the submission as the protocol wants it.
func (j *Job) body() []byte {
	raw, _ := json.Marshal(map[string]any{"uid": j.ID, "jobkind": "rehearsal", "owner": j.Team, "shape": j.Shape, "urgency": j.Priority,
		"pieces": j.Tasks, "cores": j.Cores, "accelerators": j.Accelerators, "ramGb": 1, "bundle": "image", "pullGb": 0.1, "together": false,
		"spread": false, "loaners": false, "guessS": j.Runs.Seconds(), "bookmarkS": 0, "stashS": 0})
	return raw
}

// Submit sends a job until it is accepted or given up, to one controller after another, as users
// do, and records each answer.
func (c *Cluster) Submit(job Job, rng *rand.Rand) {
	c.mu.Lock()
	c.tasks[job.ID] = taskPlan{team: job.Team, cores: job.Cores, accelerators: job.Accelerators, runs: job.Runs}
	c.mu.Unlock()
	at := rng.IntN(len(c.controllers))
	for until := c.patience(); time.Now().Before(until); at++ {
		controller := c.controllers[at%len(c.controllers)]
		wait, accepted, why := c.submitOnce(controller, &job)
		if accepted {
			c.note(Event{Kind: Accepted, Team: job.Team, Job: job.ID, Where: controller.Name})
			return
		}
		c.note(Event{Kind: Refused, Team: job.Team, Job: job.ID, Where: controller.Name, Why: why})
		time.Sleep(wait)
	}
}

// patience is until when a user goes on trying: for a minute, as the protocol has it, but not
// beyond the run.
func (c *Cluster) patience() time.Time {
	until := time.Now().Add(time.Minute)
	if !c.deadline.IsZero() && c.deadline.Before(until) {
		return c.deadline
	}
	return until
}

// submitOnce sends a job once, and tells how long to wait before the next try.
func (c *Cluster) submitOnce(controller *Controller, job *Job) (wait time.Duration, accepted bool, why string) {
	res, err := c.http.Post("http://"+controller.users+"/v2/runs", "application/json", bytes.NewReader(job.body()))
	if err != nil {
		return time.Second, false, "no answer"
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body) // the status says it all
	if res.StatusCode == http.StatusCreated || res.StatusCode == http.StatusOK {
		return 0, true, ""
	}
	seconds, _ := strconv.Atoi(res.Header.Get("Retry-After"))
	return max(time.Second, time.Duration(seconds)*time.Second), false, fmt.Sprintf("%d, come back in %d s", res.StatusCode, seconds)
}

// Flood submits all jobs at the same moment, and returns once each was accepted or given up.
func (c *Cluster) Flood(jobs []Job, seed uint64) {
	var all sync.WaitGroup
	for i, job := range jobs {
		all.Go(func() { c.Submit(job, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	all.Wait()
}
