package fake

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Task statuses and causes of a task's end in heartbeats.
const (
	statusRunning = "running"
	statusEnded   = "ended"

	causeDone       = "done"
	causeStopped    = "stopped"
	causeBusy       = "busy"
	causeKilled     = "killed"
	causeTerminated = "taken"
)

// taskStatus is a task on a fake worker.
type taskStatus struct {
	Task    string `json:"piece"`
	Attempt uint64 `json:"try"`
	Status  string `json:"status"`
	Cause   string `json:"cause,omitempty"`
	Saved   bool   `json:"saved,omitempty"`
}

// ended reports whether the task has ended.
func (t *taskStatus) ended() bool { return t.Status == statusEnded }

// Event is the start or the end of a task on a worker. A task ends on its own, by a command, when the
// worker's lease expires, or when the machine is terminated.
type Event struct {
	At          time.Time
	SentAt      time.Time // when the command was sent; zero for events without a command
	Worker      *Worker
	Incarnation uint64 // the worker's incarnation
	Task        string
	Attempt     uint64
	Start       bool
	Cause       string // of an end; "killed" if the lease expired
}

// Worker is a fake of the worker on one machine. All exported fields except Starts are set before
// Run is called and not changed afterwards.
type Worker struct {
	Name, Address, Type, Zone string
	Spot                      bool
	Network                   *Network
	// Controllers holds the addresses at which the controllers receive heartbeats, and
	// ControllerNames their names, which redirects use.
	Controllers, ControllerNames []string
	// HeartbeatInterval is the time between heartbeats, and LeaseDuration the time for which tasks
	// keep running without an answer to a heartbeat.
	HeartbeatInterval, LeaseDuration time.Duration
	// HTTP is the client for calls to controllers; nil means a client of Network.
	HTTP *http.Client

	// mu guards the fields below. onEvent is called and the network's lock is acquired while it is
	// held.
	mu sync.Mutex
	// onEvent is called for each event when it happens; may be nil.
	onEvent     func(Event)
	incarnation uint64
	// sequence is the number of the last heartbeat.
	sequence uint64
	// token is the highest fencing token received from a leader.
	token       uint64
	leaseExpiry time.Time
	// tasks holds the tasks on the machine by task and attempt, and taskOrder their keys in order of
	// starts.
	tasks             map[string]*taskStatus
	taskOrder         []string
	preemptionWarning *float64
	// controller is the index in Controllers of the controller that gets the next heartbeat.
	controller int
	// Starts lists all executed starts as "task#attempt".
	Starts []string
	// silent suppresses heartbeats.
	silent bool
	// heartbeatDue receives a value after each change that has to be reported. Run creates it.
	heartbeatDue chan struct{}
	// tokenRaisedAt is the time at which a higher token last caused a heartbeat.
	tokenRaisedAt time.Time
	// resumed is closed when a hung machine resumes; nil if the machine does not hang.
	resumed chan struct{}
	// expiredWhileHung is set if the lease expired while the machine hung.
	expiredWhileHung bool
	// heldBack holds functions that process the requests received while the machine hung.
	heldBack []func()
}

// NotifyEvents registers f to be called for each event from now on, when the event happens and while
// the worker's lock is held. It replaces the function registered before.
func (w *Worker) NotifyEvents(f func(Event)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onEvent = f
}

// notifyStart reports the start of a task to the hook. sent is when the start command was sent.
func (w *Worker) notifyStart(task *taskStatus, sent time.Time) {
	w.notifyEvent(Event{SentAt: sent, Task: task.Task, Attempt: task.Attempt, Start: true})
}

// notifyEnd reports the end of a task to the hook.
func (w *Worker) notifyEnd(task *taskStatus, cause string) {
	w.notifyEvent(Event{Task: task.Task, Attempt: task.Attempt, Cause: cause})
}

// notifyEvent completes an event with the time and the worker, and reports it to the hook if there is one.
func (w *Worker) notifyEvent(event Event) {
	if w.onEvent != nil {
		event.At, event.Worker, event.Incarnation = time.Now(), w, w.incarnation
		w.onEvent(event)
	}
}

// Run serves direct commands and sends heartbeats until the context is cancelled.
func (w *Worker) Run(ctx context.Context) {
	w.mu.Lock()
	w.incarnation, w.leaseExpiry, w.tasks = 1, time.Now().Add(w.LeaseDuration), map[string]*taskStatus{}
	w.heartbeatDue = make(chan struct{}, 1)
	w.mu.Unlock()
	w.Network.Listen(w.Address, w)
	go w.watchLease(ctx) // returns when the context is cancelled
	w.sendHeartbeats(ctx)
}

// SetHung suspends or resumes the machine. While it hangs, it executes nothing, its tasks do not end,
// and requests to it wait. When it resumes, it first checks its lease and then processes the waiting
// requests in order, including commands whose sender has given up.
func (w *Worker) SetHung(hung bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if hung == (w.resumed != nil) {
		return
	}
	if hung {
		w.resumed = make(chan struct{})
		return
	}
	w.expireLease()
	close(w.resumed)
	w.resumed = nil
	if w.expiredWhileHung {
		w.expiredWhileHung, w.leaseExpiry = false, time.Now().Add(w.LeaseDuration)
	}
	for _, process := range w.heldBack {
		process()
	}
	w.heldBack = nil
}

// awaitResumed waits until the machine does not hang or the context is cancelled.
func (w *Worker) awaitResumed(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		resumed := w.resumed
		w.mu.Unlock()
		if resumed == nil {
			return
		}
		select {
		case <-resumed:
		case <-ctx.Done():
		}
	}
}

// EndTask makes a running task end on its own, and reports whether there was one.
func (w *Worker) EndTask(task, cause string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireLease()
	if w.resumed != nil {
		return false
	}
	running := w.activeTask(task)
	if running == nil {
		return false
	}
	if cause == causeDone {
		w.Network.keepResult(task)
	}
	w.endTask(running, cause)
	return true
}

// activeTask returns the attempt of a task that is on the machine and has not ended, or nil if there
// is none. There is at most one.
func (w *Worker) activeTask(task string) *taskStatus {
	for _, status := range w.tasks {
		if status.Task == task && !status.ended() {
			return status
		}
	}
	return nil
}

// endTask ends a task, reports the event and schedules a heartbeat.
func (w *Worker) endTask(task *taskStatus, cause string) {
	task.Status, task.Cause = statusEnded, cause
	w.notifyEnd(task, cause)
	w.scheduleHeartbeat()
}

// Terminate stops the heartbeats and ends all tasks, even while the machine hangs.
func (w *Worker) Terminate() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = true
	for _, task := range w.tasks {
		if !task.ended() {
			w.endTask(task, causeTerminated)
		}
	}
}

// SetTaskStatus sets the status that heartbeats report for a task that has not ended.
func (w *Worker) SetTaskStatus(task, status string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if active := w.activeTask(task); active != nil {
		active.Status = status
		w.scheduleHeartbeat()
	}
}

// AnnouncePreemption makes heartbeats report that the cloud will reclaim the machine after the given time.
func (w *Worker) AnnouncePreemption(in time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	seconds := in.Seconds()
	w.preemptionWarning = &seconds
	w.scheduleHeartbeat()
}

// SetSilent suppresses or resumes the heartbeats.
func (w *Worker) SetSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

// ActiveTasks returns the tasks on the machine that have not ended, in order of their starts.
func (w *Worker) ActiveTasks() (tasks []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireLease()
	for _, task := range w.orderedTasks() {
		if !task.ended() {
			tasks = append(tasks, task.Task)
		}
	}
	return tasks
}

// orderedTasks returns the tasks on the machine in order of their starts.
func (w *Worker) orderedTasks() (tasks []*taskStatus) {
	for _, key := range w.taskOrder {
		if task := w.tasks[key]; task != nil {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// FencingToken returns the highest fencing token received from a leader, 0 before the first.
func (w *Worker) FencingToken() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.token
}

// ExecutedStarts returns a copy of Starts.
func (w *Worker) ExecutedStarts() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.Starts)
}

// StartCount returns the number of executed starts of a task.
func (w *Worker) StartCount(task string) (starts int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, start := range w.Starts {
		if strings.HasPrefix(start, task+"#") {
			starts++
		}
	}
	return starts
}
