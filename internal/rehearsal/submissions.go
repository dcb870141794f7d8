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

// Values of the shape and priority of a job in a submission.
const (
	shapeArray     = "array"
	shapeGang      = "gang"
	shapeService   = "standing"
	priorityLow    = "low"
	priorityNormal = "normal"
)

// Retry policy of users for a refused submission.
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
	// Cores and Accelerators are the resources that each task uses.
	Cores, Accelerators float64
	// TaskDuration is how long each task runs; 0 means until it is stopped.
	TaskDuration time.Duration
}

// body returns the JSON body of the submission request.
func (j *submission) body() ([]byte, error) {
	return json.Marshal(map[string]any{"uid": j.ID, "jobkind": "rehearsal", "owner": j.Team, "shape": j.Shape, "urgency": j.Priority,
		"pieces": j.Tasks, "cores": j.Cores, "accelerators": j.Accelerators, "ramGb": 1, "bundle": "image", "pullGb": 0.1, "together": false,
		"spread": false, "loaners": false, "guessS": j.TaskDuration.Seconds(), "bookmarkS": 0, "stashS": 0})
}

// submit sends a job to one controller after the other until it is accepted or the retry time is
// over, as users do, and records each answer.
func (c *localCluster) submit(job submission, rng *rand.Rand) {
	c.mu.Lock()
	c.taskSpecs[job.ID] = taskSpec{team: job.Team, cores: job.Cores, accelerators: job.Accelerators, duration: job.TaskDuration}
	c.mu.Unlock()
	next := rng.IntN(len(c.controllers))
	for deadline := c.retryDeadline(); time.Now().Before(deadline); next++ {
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

// retryDeadline returns the time until which a user retries a submission made now: one minute, as
// the protocol specifies, but not beyond the end of the run.
func (c *localCluster) retryDeadline() time.Time {
	until := time.Now().Add(maxRetryTime)
	if !c.deadline.IsZero() && c.deadline.Before(until) {
		return c.deadline
	}
	return until
}

// errNoAnswer means that a controller did not answer a submission.
var errNoAnswer = errors.New("no answer")

// refusalError is a temporary refusal of a submission by a controller.
type refusalError struct {
	status     int
	retryAfter int // seconds
}

// Error returns the status and the retry delay of the answer.
func (e *refusalError) Error() string {
	return fmt.Sprintf("%d, come back in %d s", e.status, e.retryAfter)
}

// submitOnce sends a job to one controller. If the job is not accepted, err is the reason and wait
// the delay before the next attempt.
func (c *localCluster) submitOnce(controller *controllerProcess, job *submission) (wait time.Duration, err error) {
	body, err := job.body()
	if err != nil {
		return minRetryWait, fmt.Errorf("encode submission of job %s: %w", job.ID, err)
	}
	response, err := c.http.Post("http://"+controller.clientAddress+"/v2/runs", "application/json", bytes.NewReader(body))
	if err != nil {
		return minRetryWait, errNoAnswer
	}
	defer func() { _ = response.Body.Close() }() // nothing is read from it afterwards
	_, _ = io.Copy(io.Discard, response.Body)    // only the status matters; reading the body allows reuse of the connection
	if response.StatusCode == http.StatusCreated || response.StatusCode == http.StatusOK {
		return 0, nil
	}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After")) // 0 if the header is missing
	return max(minRetryWait, time.Duration(seconds)*time.Second), &refusalError{response.StatusCode, seconds}
}

// submitAll submits all jobs concurrently and returns when each is accepted or its retry time is over.
func (c *localCluster) submitAll(jobs []submission, seed uint64) {
	var users sync.WaitGroup
	for i, job := range jobs {
		users.Go(func() { c.submit(job, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	users.Wait()
}
