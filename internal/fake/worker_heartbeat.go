package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// heartbeatPath is where controllers take heartbeats.
const heartbeatPath = "/agent/beat"

// Times of the heartbeats.
const (
	// minHeartbeatInterval is the least time between two heartbeats.
	minHeartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout     = 4 * time.Second
	// nextControllerWait is how long a worker waits before it tries the next controller, and
	// redirectWait before it calls the one that it was redirected to.
	nextControllerWait = time.Second
	redirectWait       = minHeartbeatInterval / 2
)

// The messages between workers and controllers.
type (
	// heartbeatMessage is a heartbeat with the worker's status.
	heartbeatMessage struct {
		Name              string       `json:"host"`
		Endpoint          string       `json:"endpoint"`
		Type              string       `json:"build"`
		Zone              string       `json:"yard"`
		Spot              bool         `json:"loaners"`
		Incarnation       uint64       `json:"stint"`
		Sequence          uint64       `json:"tick"`
		Token             uint64       `json:"baton"`
		PreemptionSeconds *float64     `json:"warningS"`
		Tasks             []taskStatus `json:"pieces"`
	}
	// heartbeatAnswer is a controller's answer: commands, or which controller to call instead.
	heartbeatAnswer struct {
		Token      uint64        `json:"baton"`
		Commands   []taskCommand `json:"orders"`
		RedirectTo string        `json:"answerTo"`
	}
)

// scheduleHeartbeat has a heartbeat go out soon, as every change does.
func (w *Worker) scheduleHeartbeat() {
	select {
	case w.heartbeatDue <- struct{}{}:
	default:
	}
}

// sendHeartbeats sends heartbeats until the context ends.
func (w *Worker) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		wait := w.sendHeartbeat(ctx)
		due := w.heartbeatDue
		if wait < w.HeartbeatInterval {
			due = nil // it looks for another controller first
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		case <-due:
			sleep(ctx, time.Until(started.Add(minHeartbeatInterval)))
		}
	}
}

// heartbeat is the next heartbeat.
func (w *Worker) heartbeat() heartbeatMessage {
	w.sequence++
	tasks := []taskStatus{}
	for _, task := range w.orderedTasks() {
		tasks = append(tasks, *task)
	}
	return heartbeatMessage{Name: w.Name, Endpoint: w.Address, Type: w.Type, Zone: w.Zone, Spot: w.Spot,
		Incarnation: w.incarnation, Sequence: w.sequence, Token: w.token, PreemptionSeconds: w.preemptionWarning, Tasks: tasks}
}

// client is how the worker calls the controllers.
func (w *Worker) client() *http.Client {
	if w.HTTP != nil {
		return w.HTTP
	}
	return w.Network.Client(w.Address)
}

// preparedHeartbeat is a heartbeat that is about to be sent.
type preparedHeartbeat struct {
	incarnation uint64
	preparedAt  time.Time
	controller  string // its address
	body        []byte
}

// prepareHeartbeat makes a heartbeat; not ok if the worker is silent.
func (w *Worker) prepareHeartbeat() (prepared preparedHeartbeat, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireLease()
	if w.silent {
		return preparedHeartbeat{}, false
	}
	prepared.incarnation, prepared.preparedAt = w.incarnation, time.Now()
	prepared.body, _ = json.Marshal(w.heartbeat()) // plain data
	prepared.controller = w.Controllers[w.controller]
	return prepared, true
}

// sendHeartbeat sends one heartbeat and tells how long to wait until the next one.
func (w *Worker) sendHeartbeat(run context.Context) time.Duration {
	w.awaitResumed(run)
	prepared, ok := w.prepareHeartbeat()
	if !ok {
		return w.HeartbeatInterval
	}
	ctx, cancel := context.WithTimeout(run, heartbeatTimeout)
	defer cancel()
	response, err := w.post(ctx, prepared)
	w.awaitResumed(run)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireLease()
	if err != nil || ctx.Err() != nil {
		return w.tryNextController()
	}
	defer func() { _ = response.Body.Close() }() // nothing is read from it afterwards
	var answer heartbeatAnswer
	_ = json.NewDecoder(response.Body).Decode(&answer) // what is no JSON redirects and commands nothing
	if response.StatusCode != http.StatusOK {
		return w.followRedirect(answer.RedirectTo)
	}
	if answer.Token < w.token || prepared.incarnation != w.incarnation {
		return w.HeartbeatInterval
	}
	w.acceptToken(answer.Token)
	w.leaseExpiry = prepared.preparedAt.Add(w.LeaseDuration)
	w.execute(answer.Commands, sentAt(response.Header))
	return w.HeartbeatInterval
}

// post sends a heartbeat.
func (w *Worker) post(ctx context.Context, prepared preparedHeartbeat) (*http.Response, error) {
	url := "http://" + prepared.controller + heartbeatPath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(prepared.body))
	if err != nil {
		return nil, err
	}
	return w.client().Do(request)
}

// tryNextController has the next heartbeat go to the next controller, after the wait returned.
func (w *Worker) tryNextController() time.Duration {
	w.controller = (w.controller + 1) % len(w.Controllers)
	return nextControllerWait
}

// followRedirect has the next heartbeat go to the controller of that name, after the wait returned,
// or to the next one if there is no other controller of that name.
func (w *Worker) followRedirect(name string) time.Duration {
	other := slices.Index(w.ControllerNames, name)
	if other < 0 || other == w.controller {
		return w.tryNextController()
	}
	w.controller = other
	return redirectWait
}
