package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
)

// heartbeatPath is the path of heartbeat requests at the controllers.
const heartbeatPath = "/agent/beat"

// Timing of heartbeats.
const (
	// minHeartbeatInterval is the minimum time between two heartbeats.
	minHeartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout     = 4 * time.Second
	// nextControllerWait is the wait before a worker tries the next controller, and redirectWait the
	// wait before it calls the controller that it was redirected to.
	nextControllerWait = time.Second
	redirectWait       = minHeartbeatInterval / 2
)

// Messages between workers and controllers.
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
	// heartbeatAnswer is a controller's answer: commands, or the name of the controller to call instead.
	heartbeatAnswer struct {
		Token      uint64        `json:"baton"`
		Commands   []taskCommand `json:"orders"`
		RedirectTo string        `json:"answerTo"`
	}
)

// scheduleHeartbeat requests a heartbeat soon. It is called after every change that has to be reported.
func (w *Worker) scheduleHeartbeat() {
	select {
	case w.heartbeatDue <- struct{}{}:
	default:
	}
}

// sendHeartbeats sends heartbeats until the context is cancelled.
func (w *Worker) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		wait := w.sendHeartbeat(ctx)
		due := w.heartbeatDue
		if wait < w.HeartbeatInterval {
			due = nil // the worker has to switch to another controller first
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		case <-due:
			sleep(ctx, time.Until(started.Add(minHeartbeatInterval)))
		}
	}
}

// heartbeat returns the next heartbeat, with a new sequence number.
func (w *Worker) heartbeat() heartbeatMessage {
	w.sequence++
	tasks := []taskStatus{}
	for _, task := range w.orderedTasks() {
		tasks = append(tasks, *task)
	}
	return heartbeatMessage{Name: w.Name, Endpoint: w.Address, Type: w.Type, Zone: w.Zone, Spot: w.Spot,
		Incarnation: w.incarnation, Sequence: w.sequence, Token: w.token, PreemptionSeconds: w.preemptionWarning, Tasks: tasks}
}

// client returns the HTTP client for calls to controllers.
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
	controller  string // address of the receiving controller
	body        []byte
}

// prepareHeartbeat prepares the next heartbeat. ok is false if the worker is silent.
func (w *Worker) prepareHeartbeat() (prepared preparedHeartbeat, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireLease()
	if w.silent {
		return preparedHeartbeat{}, false
	}
	prepared.incarnation, prepared.preparedAt = w.incarnation, time.Now()
	prepared.body, _ = json.Marshal(w.heartbeat()) // cannot fail for this type
	prepared.controller = w.Controllers[w.controller]
	return prepared, true
}

// sendHeartbeat sends a heartbeat, processes the answer and returns the wait before the next heartbeat.
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
	_ = exactjson.NewDecoder(response.Body).Decode(&answer) // invalid JSON is treated as an empty answer
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

func (w *Worker) post(ctx context.Context, prepared preparedHeartbeat) (*http.Response, error) {
	url := "http://" + prepared.controller + heartbeatPath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(prepared.body))
	if err != nil {
		return nil, err
	}
	return w.client().Do(request)
}

// tryNextController selects the next controller as the receiver of heartbeats and returns the wait
// before the next heartbeat.
func (w *Worker) tryNextController() time.Duration {
	w.controller = (w.controller + 1) % len(w.Controllers)
	return nextControllerWait
}

// followRedirect selects the named controller as the receiver of heartbeats, or the next controller
// if the name is unknown or that of the current one. It returns the wait before the next heartbeat.
func (w *Worker) followRedirect(name string) time.Duration {
	other := slices.Index(w.ControllerNames, name)
	if other < 0 || other == w.controller {
		return w.tryNextController()
	}
	w.controller = other
	return redirectWait
}
