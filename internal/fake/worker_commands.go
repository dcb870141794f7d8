package fake

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
)

// Verbs of commands.
const (
	verbStart = "start"
	verbStop  = "stop"
	verbClear = "clear"
)

// taskCommand is a command for one attempt of a task.
type taskCommand struct {
	Verb    string  `json:"verb"`
	Task    string  `json:"piece"`
	Attempt uint64  `json:"try"`
	Leeway  float64 `json:"leewayS"` // time to save progress before a stop, in seconds
}

// key returns the key of the command's attempt in Worker.tasks.
func (c *taskCommand) key() string { return fmt.Sprintf("%s#%d", c.Task, c.Attempt) }

// commandMessage is a direct request of a controller with commands.
type commandMessage struct {
	Token       uint64        `json:"baton"`
	Incarnation uint64        `json:"stint"`
	Commands    []taskCommand `json:"orders"`
}

// acceptToken stores a fencing token. A higher token schedules a heartbeat, but not more often than
// once per half of the lease duration.
func (w *Worker) acceptToken(token uint64) {
	if token > w.token && time.Since(w.tokenRaisedAt) > w.LeaseDuration/2 {
		w.tokenRaisedAt = time.Now()
		w.scheduleHeartbeat()
	}
	w.token = token
}

// execute executes commands. sent is when they were sent.
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

// startTask starts an attempt of a task unless the attempt is already on the machine. The attempt
// ends at once if another attempt of the task runs on the machine or if the task has completed before.
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

// stopTask stops an attempt of a task. The task saves its progress if the command allows time for that.
func (w *Worker) stopTask(command *taskCommand) {
	task := w.tasks[command.key()]
	if task == nil || task.ended() {
		return
	}
	task.Saved = command.Leeway > 0
	w.endTask(task, causeStopped)
}

// clearTask removes an attempt that has ended.
func (w *Worker) clearTask(command *taskCommand) {
	key := command.key()
	task := w.tasks[key]
	if task == nil || !task.ended() {
		return
	}
	delete(w.tasks, key)
	w.taskOrder = slices.DeleteFunc(w.taskOrder, func(other string) bool { return other == key })
}

// sentAt returns the time at which a message was sent, or zero if it arrived over a real network.
func sentAt(header http.Header) time.Time {
	sent, _ := time.Parse(time.RFC3339Nano, header.Get(sentHeader)) // zero if it is missing
	return sent
}

// ServeHTTP executes direct commands and returns the worker's status. While the machine hangs,
// requests wait until it resumes.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // an incomplete body is rejected as invalid JSON
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
		_, _ = rw.Write(recorder.Body.Bytes()) // fails only if the client has disconnected
	case <-r.Context().Done():
	}
}

// serveNow answers a request. It rejects commands with a token lower than the highest one received,
// and commands for another incarnation of the worker.
func (w *Worker) serveNow(rw http.ResponseWriter, r *http.Request, body []byte) {
	w.expireLease()
	if r.Method == http.MethodGet {
		writeJSON(rw, http.StatusOK, w.heartbeat())
		return
	}
	var message commandMessage
	if err := exactjson.Unmarshal(body, &message); err != nil {
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
