package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Job is a submission.
type Job struct {
	ID        string   `json:"uid"`
	Class     string   `json:"jobkind"`
	Team      string   `json:"owner"`
	Shape     string   `json:"shape"`
	Priority  string   `json:"urgency"`
	Tasks     int      `json:"pieces"`
	Cores     float64  `json:"cores"`
	Accels    float64  `json:"accelerators"`
	RAMGB     float64  `json:"ramGb"`
	Image     string   `json:"bundle"`
	ImageGB   float64  `json:"pullGb"`
	Types     []string `json:"builds"`
	Zone      *string  `json:"yard"`
	OneZone   bool     `json:"together"`
	Spread    bool     `json:"spread"`
	Spot      bool     `json:"loaners"`
	EstimateS float64  `json:"guessS"`
	SaveEvery float64  `json:"bookmarkS"`
	SaveS     float64  `json:"stashS"`
	DueS      *float64 `json:"dueS"`
	Awaits    []string `json:"awaits,omitempty"`
}

// User is a user with one connection, which stays open until the server closes it or ConnectTo is called.
type User struct {
	rec    *Recorder
	name   string
	node   *Controller
	client *http.Client
}

// NewUser returns a user without a connection.
func NewUser(rec *Recorder, name string) *User { return &User{rec: rec, name: name} }

// ConnectTo makes the user's next request open a connection to a controller.
func (u *User) ConnectTo(controller *Controller) {
	if u.client != nil {
		u.client.CloseIdleConnections()
	}
	u.node, u.client = controller, &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
}

// Node returns the controller that the user is connected to.
func (u *User) Node() *Controller { return u.node }

// Answer is the answer to a user's request. Status 0 means that no answer came in time.
type Answer struct {
	Status     int
	State      string
	Done       int
	RetryAfter time.Duration
	Body       string
	// Closed is set if the server closes the connection.
	Closed bool
}

// Times that users wait for an answer.
const (
	submitWait = 5 * time.Second
	pollWait   = 2 * time.Second
)

// Submit sends a submission once.
func (u *User) Submit(job *Job) Answer {
	body, err := json.Marshal(job)
	if err != nil {
		return Answer{Body: err.Error(), Closed: true}
	}
	return u.call(http.MethodPost, "/v2/runs", body, submitWait, "submit "+job.ID)
}

// SubmitUntilAccepted repeats a submission as users do, for at most a minute.
func (u *User) SubmitUntilAccepted(job *Job) Answer {
	until := time.Now().Add(time.Minute)
	for {
		answer := u.Submit(job)
		final := answer.Status == 200 || answer.Status == 201 || answer.Status == 400 || answer.Status == 422
		if final || time.Now().After(until) {
			return answer
		}
		time.Sleep(max(time.Second, min(30*time.Second, answer.RetryAfter)))
	}
}

// Poll asks for a job's state once.
func (u *User) Poll(id string) Answer {
	return u.call(http.MethodGet, "/v2/runs/"+id, nil, pollWait, "poll "+id)
}

// Cancel asks once for a job to be cancelled.
func (u *User) Cancel(id string) Answer {
	return u.call(http.MethodPost, "/v2/runs/"+id+"/cancel", nil, submitWait, "cancel "+id)
}

func (u *User) call(method, path string, body []byte, longest time.Duration, what string) Answer {
	began := time.Now()
	answer := u.send(method, path, body, longest)
	u.rec.Printf("%s at %s: %s -> %d %s (%d ms)", u.name, u.node.Name, what, answer.Status, answer.Body, time.Since(began).Milliseconds())
	return answer
}

func (u *User) send(method, path string, body []byte, longest time.Duration) (answer Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), longest)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+u.node.Users+path, bytes.NewReader(body))
	if err != nil {
		return Answer{Body: err.Error(), Closed: true}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := u.client.Do(request)
	if err != nil {
		return Answer{Body: err.Error(), Closed: true}
	}
	defer func() { _ = response.Body.Close() }() // it was read to its end
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{Body: err.Error(), Closed: true}
	}
	var state struct {
		Status string `json:"status"`
		Done   int    `json:"done"`
	}
	_ = json.Unmarshal(raw, &state)                                // errors have another form
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After")) // 0 if it is missing
	return Answer{Status: response.StatusCode, State: state.Status, Done: state.Done, RetryAfter: time.Duration(seconds) * time.Second,
		Body: string(bytes.TrimSpace(raw)), Closed: response.Close}
}

// Explain asks why a job waits.
func (u *User) Explain(id string) Answer {
	return u.call(http.MethodGet, "/v2/runs/"+id+"/explain", nil, pollWait, "explain "+id)
}
