package rehearsal

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Shapes and priorities of jobs, as submissions have them.
const (
	shapeArray     = "array"
	shapeGang      = "gang"
	shapeService   = "standing"
	priorityLow    = "low"
	priorityNormal = "normal"
)

// How users retry a submission.
const (
	minRetryWait = time.Second
	maxRetryTime = time.Minute
)

// submission is a job that a user submits.
type submission struct {
	ID       string
	Team     string
	Shape    string
	Priority string
	Tasks    int
	// Cores and Accelerators are what each task takes.
	Cores, Accelerators float64
	// TaskDuration is how long each task takes; 0: until it is stopped.
	TaskDuration time.Duration
}

// body is the submission in the protocol's form.
func (j *submission) body() ([]byte, error) {
	return json.Marshal(map[string]any{"uid": j.ID, "jobkind": "rehearsal", "owner": j.Team, "shape": j.Shape, "urgency": j.Priority,
		"pieces": j.Tasks, "cores": j.Cores, "accelerators": j.Accelerators, "ramGb": 1, "bundle": "image", "pullGb": 0.1, "together": false,
		"spread": false, "loaners": false, "guessS": j.TaskDuration.Seconds(), "bookmarkS": 0, "stashS": 0})
}

// submit sends a job until it is accepted or given up, to one controller after another, as users
// do, and records each answer.
func (c *localCluster) submit(job submission, rng *rand.Rand) {
	c.mu.Lock()
	c.plans[job.ID] = taskPlan{team: job.Team, cores: job.Cores, accelerators: job.Accelerators, duration: job.TaskDuration}
	c.mu.Unlock()
	next := rng.IntN(len(c.controllers))
	for deadline := c.submitDeadline(); time.Now().Before(deadline); next++ {
		controller := c.controllers[next%len(c.controllers)]
		wait, err := c.submitOnce(controller, &job)
		if err == nil {
			c.record(Event{Kind: JobAccepted, Team: job.Team, Job: job.ID, Where: controller.name})
			return
		}
		c.record(Event{Kind: JobRefused, Team: job.Team, Job: job.ID, Where: controller.name, Why: err.Error()})
		time.Sleep(wait)
	}
}

// submitDeadline is until when a user retries a submission made now: for a minute, as the protocol
// has it, but not beyond the run.
func (c *localCluster) submitDeadline() time.Time {
	until := time.Now().Add(maxRetryTime)
	if !c.deadline.IsZero() && c.deadline.Before(until) {
		return c.deadline
	}
	return until
}

// errNoAnswer tells that a controller did not answer a submission.
var errNoAnswer = errors.New("no answer")

// refusalError is a controller's refusal of a submission for now.
type refusalError struct {
	status     int
	retryAfter int // seconds
}

// Error tells the answer in short.
func (e *refusalError) Error() string {
	return fmt.Sprintf("%d, come back in %d s", e.status, e.retryAfter)
}

// submitOnce sends a job once. The error tells why it was not accepted, and wait how long to wait
// before the next try.
func (c *localCluster) submitOnce(controller *controllerProcess, job *submission) (wait time.Duration, err error) {
	body, err := job.body()
	if err != nil {
		return minRetryWait, fmt.Errorf("encode %s: %w", job.ID, err)
	}
	response, err := c.http.Post("http://"+controller.usersAddress+"/v2/runs", "application/json", bytes.NewReader(body))
	if err != nil {
		return minRetryWait, errNoAnswer
	}
	defer func() { _ = response.Body.Close() }() // nothing is read from it afterwards
	_, _ = io.Copy(io.Discard, response.Body)    // the status says it all; reading lets the connection be used again
	if response.StatusCode == http.StatusCreated || response.StatusCode == http.StatusOK {
		return 0, nil
	}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After")) // 0 where it is missing
	return max(minRetryWait, time.Duration(seconds)*time.Second), &refusalError{response.StatusCode, seconds}
}

// submitAll submits all jobs at the same moment, and returns once each was accepted or given up.
func (c *localCluster) submitAll(jobs []submission, seed uint64) {
	var users sync.WaitGroup
	for i, job := range jobs {
		users.Go(func() { c.submit(job, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	users.Wait()
}
