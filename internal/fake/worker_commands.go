package fake

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"time"
)

// What a command has a worker do.
const (
	verbStart = "start"
	verbStop  = "stop"
	verbClear = "clear"
)

// taskCommand is a command on one attempt of a task.
type taskCommand struct {
	Verb    string  `json:"verb"`
	Task    string  `json:"piece"`
	Attempt uint64  `json:"try"`
	Leeway  float64 `json:"leewayS"` // time to save, in seconds
}

// key names the command's attempt among the worker's tasks.
func (c *taskCommand) key() string { return fmt.Sprintf("%s#%d", c.Task, c.Attempt) }

// commandMessage holds a controller's direct commands.
type commandMessage struct {
	Token       uint64        `json:"baton"`
	Incarnation uint64        `json:"stint"`
	Commands    []taskCommand `json:"orders"`
}

// acceptToken takes a token; a higher one counts as a change, though not often.
func (w *Worker) acceptToken(token uint64) {
	if token > w.token && time.Since(w.tokenRaisedAt) > w.LeaseDuration/2 {
		w.tokenRaisedAt = time.Now()
		w.scheduleHeartbeat()
	}
	w.token = token
}

// execute carries out commands that were sent then.
func (w *Worker) execute(commands []taskCommand, sent time.Time) {
	for i := range commands {
		command := &commands[i]
		switch command.Verb {
		case verbStart:
			w.startTask(command, sent)
		case verbStop:
			w.stopTask(command)
		case verbClear:
			w.clearTask(command)
		}
	}
}

// startTask starts an attempt of a task, unless it is there already. It ends at once if another
// attempt runs on the machine, or if the task has completed before.
func (w *Worker) startTask(command *taskCommand, sent time.Time) {
	key := command.key()
	if w.tasks[key] != nil {
		return
	}
	busy := w.activeTask(command.Task) != nil
	task := &taskStatus{Task: command.Task, Attempt: command.Attempt, Status: statusRunning}
	w.tasks[key] = task
	w.taskOrder = append(w.taskOrder, key)
	w.scheduleHeartbeat()
	if busy {
		task.Status, task.Cause = statusEnded, causeBusy
		return
	}
	w.Starts = append(w.Starts, key)
	w.notifyStart(task, sent)
	if w.Network.hasResult(command.Task) {
		w.endTask(task, causeDone)
	}
}

// stopTask stops an attempt of a task; it has saved if it was given time to.
func (w *Worker) stopTask(command *taskCommand) {
	task := w.tasks[command.key()]
	if task == nil || task.ended() {
		return
	}
	task.Saved = command.Leeway > 0
	w.endTask(task, causeStopped)
}

// clearTask forgets an attempt that has ended.
func (w *Worker) clearTask(command *taskCommand) {
	key := command.key()
	task := w.tasks[key]
	if task == nil || !task.ended() {
		return
	}
	delete(w.tasks, key)
	w.taskOrder = slices.DeleteFunc(w.taskOrder, func(other string) bool { return other == key })
}

// sentAt is when a message was sent; zero if it came over a real network.
func sentAt(header http.Header) time.Time {
	sent, _ := time.Parse(time.RFC3339Nano, header.Get(sentHeader)) // zero where it is missing
	return sent
}

// ServeHTTP takes direct commands and shows the status. While the machine hangs, what it is sent
// is kept until it goes on.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // what is cut off is no JSON and refused as such
	w.mu.Lock()
	if w.resumed == nil {
		defer w.mu.Unlock()
		w.serveNow(rw, r, body)
		return
	}
	recorder, done := httptest.NewRecorder(), make(chan struct{})
	w.heldBack = append(w.heldBack, func() {
		w.serveNow(recorder, r, body)
		close(done)
	})
	w.mu.Unlock()
	select {
	case <-done:
		rw.WriteHeader(recorder.Code)
		_, _ = rw.Write(recorder.Body.Bytes()) // fails only if the caller has gone away
	case <-r.Context().Done():
	}
}

// serveNow answers a request. Commands are refused if a leader with a higher token has been heard,
// or if they are for another incarnation.
func (w *Worker) serveNow(rw http.ResponseWriter, r *http.Request, body []byte) {
	w.expireLease()
	if r.Method == http.MethodGet {
		writeJSON(rw, http.StatusOK, w.heartbeat())
		return
	}
	var message commandMessage
	if err := json.Unmarshal(body, &message); err != nil {
		writeJSON(rw, http.StatusBadRequest, errorMessage{err.Error()})
		return
	}
	if message.Token < w.token || message.Incarnation != w.incarnation {
		writeJSON(rw, http.StatusConflict, w.heartbeat())
		return
	}
	w.acceptToken(message.Token)
	w.execute(message.Commands, sentAt(r.Header))
	writeJSON(rw, http.StatusOK, w.heartbeat())
}
