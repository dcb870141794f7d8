package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Piece is a task on a fake worker.
type Piece struct {
	Task    string `json:"piece"`
	Attempt uint64 `json:"try"`
	Status  string `json:"status"`
	Cause   string `json:"cause,omitempty"`
	Saved   bool   `json:"saved,omitempty"`
}

// Event is what a worker does to a task: a start carried out, or the task's end,
// by itself, by command or with the worker's lease.
type Event struct {
	At      time.Time
	Sent    time.Time // when the command was sent; zero for what needs none
	Worker  *Worker
	Session uint64
	Task    string
	Attempt uint64
	Start   bool
	Cause   string // of an end; "killed" for the end of a lease
}

type order struct {
	Verb    string  `json:"verb"`
	Task    string  `json:"piece"`
	Attempt uint64  `json:"try"`
	Leeway  float64 `json:"leewayS"`
}

// Worker is a stand-in of one machine's worker.
type Worker struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	Net                    *Net
	Nodes                  []string // addresses of the controllers' users side
	Names                  []string // their names, for redirects
	Report, Lease          time.Duration
	// HTTP is how it calls the controllers; nil: over Net.
	HTTP *http.Client

	mu sync.Mutex
	// watch is told every event as it happens; nil: nobody is.
	watch   func(Event)
	session uint64
	tick    uint64
	token   uint64
	lapse   time.Time
	pieces  map[string]*Piece
	order   []string
	warning *float64
	at      int
	Starts  []string // every start carried out, "task#attempt"
	silent  bool     // sends no heartbeats
	changed chan struct{}
	raised  time.Time // when a higher token last counted as a change
	hung    chan struct{}
	lapsed  bool // its lease ended while it hung
	held    []func()
}

// NotifyEvents has f told of every event from now on, as it happens and under the worker's
// lock.
func (w *Worker) NotifyEvents(f func(Event)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watch = f
}

func (w *Worker) notify(p *Piece, sent time.Time, start bool, cause string) {
	if w.watch != nil {
		w.watch(Event{time.Now(), sent, w, w.session, p.Task, p.Attempt, start, cause})
	}
}

// change has a report go out soon, as every change does.
func (w *Worker) change() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

func (w *Worker) end(p *Piece, cause string) {
	p.Status, p.Cause = "ended", cause
	w.notify(p, time.Time{}, false, cause)
	w.change()
}

// pace is the least time between two reports.
const pace = 500 * time.Millisecond

// Run reports until the context ends.
func (w *Worker) Run(ctx context.Context) {
	w.mu.Lock()
	w.session, w.lapse, w.pieces = 1, time.Now().Add(w.Lease), map[string]*Piece{}
	w.changed = make(chan struct{}, 1)
	w.mu.Unlock()
	w.Net.Listen(w.Addr, w)
	go w.lapses(ctx)
	for ctx.Err() == nil {
		began := time.Now()
		wait := w.sendHeartbeat(ctx)
		changed := w.changed
		if wait < w.Report {
			changed = nil // it looks for another node first
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		case <-changed:
			sleep(ctx, time.Until(began.Add(pace)))
		}
	}
}

// lapses ends the lease in time, whoever looks.
func (w *Worker) lapses(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		w.checkLease()
		d := time.Until(w.lapse) + 1
		w.mu.Unlock()
		select {
		case <-time.After(min(max(d, 1), w.Lease)):
		case <-ctx.Done():
		}
	}
}

// checkLease ends the session once the lease has lapsed. A machine that hangs by
// then does not come back to its tasks: it ends them before anything else when it
// goes on, so they count as gone from the lapse on. Its next session begins then.
func (w *Worker) checkLease() {
	if !time.Now().After(w.lapse) {
		return
	}
	for _, k := range w.order {
		if p := w.pieces[k]; p != nil && p.Status != "ended" {
			w.notify(p, time.Time{}, false, "killed")
		}
	}
	w.session++
	w.pieces, w.order = map[string]*Piece{}, nil
	w.lapse = time.Now().Add(w.Lease)
	if w.hung != nil {
		w.lapse = time.Now().Add(1000 * time.Hour) // renewed when it goes on
		w.lapsed = true
	}
	w.change()
}

// SetHung stops the machine: it executes nothing, its tasks do not end, and what
// is sent to it waits. When it goes on, its lease is judged first, then what
// waited is carried out, in order, also commands whose sender has given up.
func (w *Worker) SetHung(hung bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if hung == (w.hung != nil) {
		return
	}
	if hung {
		w.hung = make(chan struct{})
		return
	}
	w.checkLease()
	close(w.hung)
	w.hung = nil
	if w.lapsed {
		w.lapsed, w.lapse = false, time.Now().Add(w.Lease)
	}
	for _, f := range w.held {
		f()
	}
	w.held = nil
}

// wake waits until the machine does not hang.
func (w *Worker) wake(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		hung := w.hung
		w.mu.Unlock()
		if hung == nil {
			return
		}
		select {
		case <-hung:
		case <-ctx.Done():
		}
	}
}

func (w *Worker) report() map[string]any {
	w.tick++
	ps := []Piece{}
	for _, k := range w.order {
		if p := w.pieces[k]; p != nil {
			ps = append(ps, *p)
		}
	}
	return map[string]any{"host": w.Name, "endpoint": w.Addr, "build": w.Type, "yard": w.Zone, "loaners": w.Spot,
		"stint": w.session, "tick": w.tick, "baton": w.token, "warningS": w.warning, "pieces": ps}
}

func (w *Worker) client() *http.Client {
	if w.HTTP != nil {
		return w.HTTP
	}
	return w.Net.Client(w.Addr)
}

// sendHeartbeat reports once and tells how long to wait until the next one.
func (w *Worker) sendHeartbeat(run context.Context) time.Duration {
	w.wake(run)
	w.mu.Lock()
	w.checkLease()
	if w.silent {
		w.mu.Unlock()
		return w.Report
	}
	session, sent := w.session, time.Now()
	raw, _ := json.Marshal(w.report())
	node := w.Nodes[w.at]
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(run, 4*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+node+"/agent/beat", bytes.NewReader(raw))
	res, err := w.client().Do(req)
	w.wake(run)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkLease()
	next := func() time.Duration {
		w.at = (w.at + 1) % len(w.Nodes)
		return time.Second
	}
	if err != nil || ctx.Err() != nil {
		return next()
	}
	defer res.Body.Close()
	var out struct {
		Token    uint64  `json:"baton"`
		Orders   []order `json:"orders"`
		AnswerTo string  `json:"answerTo"`
	}
	json.NewDecoder(res.Body).Decode(&out)
	if res.StatusCode != 200 {
		for i, n := range w.Names {
			if n == out.AnswerTo && i != w.at {
				w.at = i
				return pace / 2
			}
		}
		return next()
	}
	if out.Token < w.token || session != w.session {
		return w.Report
	}
	w.acceptToken(out.Token)
	w.lapse = sent.Add(w.Lease)
	w.execute(out.Orders, sentAt(res.Header))
	return w.Report
}

// End lets a running task end by itself.
func (w *Worker) End(task, cause string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkLease()
	if w.hung != nil {
		return false
	}
	for _, p := range w.pieces {
		if p.Task == task && p.Status != "ended" {
			if cause == "done" {
				w.Net.keepResult(task)
			}
			w.end(p, cause)
			return true
		}
	}
	return false
}

// TakeAway ends the machine with everything on it, also while it hangs.
func (w *Worker) TakeAway() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = true
	for _, p := range w.pieces {
		if p.Status != "ended" {
			w.end(p, "taken")
		}
	}
}

// SetStatus sets what a task is reported as.
func (w *Worker) SetStatus(task, status string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.pieces {
		if p.Task == task && p.Status != "ended" {
			p.Status = status
			w.change()
		}
	}
}

// SetWarning has the cloud announce that it takes the machine away.
func (w *Worker) SetWarning(in time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	seconds := in.Seconds()
	w.warning = &seconds
	w.change()
}

// SetSilent stops or resumes the heartbeats.
func (w *Worker) SetSilent(s bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = s
}

// Live lists the tasks on the machine that have not ended.
func (w *Worker) Live() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkLease()
	var out []string
	for _, k := range w.order {
		if p := w.pieces[k]; p != nil && p.Status != "ended" {
			out = append(out, p.Task)
		}
	}
	return out
}

// Started counts how often a start of the task was carried out.
func (w *Worker) Started(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, s := range w.Starts {
		if len(s) > len(task) && s[:len(task)+1] == task+"#" {
			n++
		}
	}
	return n
}
