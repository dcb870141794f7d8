package fake

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Status of a task, as heartbeats tell it, and why it ended.
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

// ended tells whether the task has ended.
func (t *taskStatus) ended() bool { return t.Status == statusEnded }

// Event is what a worker does to a task: a start carried out, or the task's end,
// by itself, by command or with the worker's lease.
type Event struct {
	At          time.Time
	SentAt      time.Time // when the command was sent; zero for what needs none
	Worker      *Worker
	Incarnation uint64 // the worker's incarnation
	Task        string
	Attempt     uint64
	Start       bool
	Cause       string // of an end; "killed" for the end of a lease
}

// Worker is a fake of one machine's worker. Its exported fields but Starts are set before Run and
// not changed afterwards.
type Worker struct {
	Name, Address, Type, Zone string
	Spot                      bool
	Network                   *Network
	// Controllers are the addresses of the controllers' users side, Names their names, for redirects.
	Controllers, ControllerNames []string
	// HeartbeatInterval is the time between heartbeats, Lease how long the worker goes on without an answer.
	HeartbeatInterval, LeaseDuration time.Duration
	// HTTP is how it calls the controllers; nil: over Net.
	HTTP *http.Client

	// mu guards the fields below. onEvent is called under it, and the network's lock is taken
	// under it.
	mu sync.Mutex
	// onEvent is told every event as it happens; nil: nobody is.
	onEvent     func(Event)
	incarnation uint64
	// sequence numbers the heartbeats.
	sequence uint64
	// token is the highest fencing token that it has had.
	token       uint64
	leaseExpiry time.Time
	// tasks are those on the machine, by task and attempt; taskOrder has the keys in order of
	// starts.
	tasks             map[string]*taskStatus
	taskOrder         []string
	preemptionWarning *float64
	// controller is the index of the one that it reports to.
	controller int
	// Starts is every start carried out, "task#attempt".
	Starts []string
	// silent stops the heartbeats.
	silent bool
	// heartbeatDue is filled when something changed. It is made by Run.
	heartbeatDue chan struct{}
	// tokenRaisedAt is when a higher token last counted as a change.
	tokenRaisedAt time.Time
	// resumed is closed when the machine goes on; nil: it does not hang.
	resumed chan struct{}
	// expiredWhileHung tells that the lease expired while the machine hung.
	expiredWhileHung bool
	// heldBack carries out what was sent while the machine hung.
	heldBack []func()
}

// NotifyEvents has f told of every event from now on, as it happens and under the worker's
// lock.
func (w *Worker) NotifyEvents(f func(Event)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onEvent = f
}

// notifyStart tells the hook of a start, by a command sent then.
func (w *Worker) notifyStart(task *taskStatus, sent time.Time) {
	w.notifyEvent(Event{SentAt: sent, Task: task.Task, Attempt: task.Attempt, Start: true})
}

// notifyEnd tells the hook of an end.
func (w *Worker) notifyEnd(task *taskStatus, cause string) {
	w.notifyEvent(Event{Task: task.Task, Attempt: task.Attempt, Cause: cause})
}

// notifyEvent tells the hook, if there is one, of an event now.
func (w *Worker) notifyEvent(event Event) {
	if w.onEvent != nil {
		event.At, event.Worker, event.Incarnation = time.Now(), w, w.incarnation
		w.onEvent(event)
	}
}

// Run sends heartbeats until the context ends.
func (w *Worker) Run(ctx context.Context) {
	w.mu.Lock()
	w.incarnation, w.leaseExpiry, w.tasks = 1, time.Now().Add(w.LeaseDuration), map[string]*taskStatus{}
	w.heartbeatDue = make(chan struct{}, 1)
	w.mu.Unlock()
	w.Network.Listen(w.Address, w)
	go w.watchLease(ctx) // ends with the context
	w.sendHeartbeats(ctx)
}

// SetHung stops the machine: it executes nothing, its tasks do not end, and what
// is sent to it waits. When it goes on, its lease is judged first, then what
// waited is carried out, in order, also commands whose sender has given up.
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
	for _, carryOut := range w.heldBack {
		carryOut()
	}
	w.heldBack = nil
}

// awaitResumed waits until the machine does not hang.
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

// EndTask lets a running task end by itself, and tells whether there was one.
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

// activeTask is the attempt of a task that is on the machine and has not ended; nil: there is
// none. There is one at most.
func (w *Worker) activeTask(task string) *taskStatus {
	for _, status := range w.tasks {
		if status.Task == task && !status.ended() {
			return status
		}
	}
	return nil
}

// endTask ends a task.
func (w *Worker) endTask(task *taskStatus, cause string) {
	task.Status, task.Cause = statusEnded, cause
	w.notifyEnd(task, cause)
	w.scheduleHeartbeat()
}

// Terminate ends the machine with everything on it, also while it hangs.
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

// SetTaskStatus sets what a task is reported as.
func (w *Worker) SetTaskStatus(task, status string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if active := w.activeTask(task); active != nil {
		active.Status = status
		w.scheduleHeartbeat()
	}
}

// AnnouncePreemption has the cloud announce that it takes the machine away.
func (w *Worker) AnnouncePreemption(in time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	seconds := in.Seconds()
	w.preemptionWarning = &seconds
	w.scheduleHeartbeat()
}

// SetSilent stops or resumes the heartbeats.
func (w *Worker) SetSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

// ActiveTasks lists the tasks on the machine that have not ended, in order of their starts.
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

// orderedTasks are the tasks on the machine, in order of their starts.
func (w *Worker) orderedTasks() (tasks []*taskStatus) {
	for _, key := range w.taskOrder {
		if task := w.tasks[key]; task != nil {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// StartCount counts how often a start of the task was carried out.
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
