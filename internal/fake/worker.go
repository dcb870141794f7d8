package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
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

	mu      sync.Mutex
	session uint64
	tick    uint64
	token   uint64
	lapse   time.Time
	pieces  map[string]*Piece
	order   []string
	warning *float64
	at      int
	Starts  []string // every start carried out, "task#attempt"
	Silent  bool     // sends no beats
}

// Run reports until the context ends.
func (w *Worker) Run(ctx context.Context) {
	w.mu.Lock()
	w.session, w.lapse, w.pieces = 1, time.Now().Add(w.Lease), map[string]*Piece{}
	w.mu.Unlock()
	w.Net.Listen(w.Addr, w)
	for ctx.Err() == nil {
		w.beat(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(w.Report):
		}
	}
}

func (w *Worker) checkLease() {
	if time.Now().After(w.lapse) {
		w.session++
		w.pieces, w.order = map[string]*Piece{}, nil
		w.lapse = time.Now().Add(w.Lease)
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

func (w *Worker) beat(ctx context.Context) {
	w.mu.Lock()
	w.checkLease()
	if w.Silent {
		w.mu.Unlock()
		return
	}
	session, sent := w.session, time.Now()
	raw, _ := json.Marshal(w.report())
	node := w.Nodes[w.at]
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+node+"/agent/beat", bytes.NewReader(raw))
	res, err := w.Net.Client(w.Addr).Do(req)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkLease()
	if err != nil {
		w.at = (w.at + 1) % len(w.Nodes)
		return
	}
	defer res.Body.Close()
	var out struct {
		Token    uint64  `json:"baton"`
		Orders   []order `json:"orders"`
		AnswerTo string  `json:"answerTo"`
	}
	json.NewDecoder(res.Body).Decode(&out)
	if res.StatusCode != 200 {
		w.at = (w.at + 1) % len(w.Nodes)
		for i, n := range w.Names {
			if n == out.AnswerTo {
				w.at = i
			}
		}
		return
	}
	if out.Token < w.token || session != w.session {
		return
	}
	w.token, w.lapse = out.Token, sent.Add(w.Lease)
	w.carryOut(out.Orders)
}

func (w *Worker) carryOut(orders []order) {
	for _, o := range orders {
		k := fmt.Sprintf("%s#%d", o.Task, o.Attempt)
		p := w.pieces[k]
		switch o.Verb {
		case "start":
			if p == nil {
				w.pieces[k] = &Piece{Task: o.Task, Attempt: o.Attempt, Status: "running"}
				w.order = append(w.order, k)
				w.Starts = append(w.Starts, k)
			}
		case "stop":
			if p != nil && p.Status != "ended" {
				p.Status, p.Cause, p.Saved = "ended", "stopped", o.Leeway > 0
			}
		case "clear":
			if p != nil && p.Status == "ended" {
				delete(w.pieces, k)
			}
		}
	}
}

// ServeHTTP takes direct commands and shows the report.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Method == "GET" {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.checkLease()
		reply(rw, 200, w.report())
		return
	}
	var in struct {
		Token   uint64  `json:"baton"`
		Session uint64  `json:"stint"`
		Orders  []order `json:"orders"`
	}
	json.NewDecoder(r.Body).Decode(&in)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkLease()
	if in.Token < w.token || in.Session != w.session {
		reply(rw, 409, w.report())
		return
	}
	w.token = in.Token
	w.carryOut(in.Orders)
	reply(rw, 200, w.report())
}

// End lets a running task end by itself.
func (w *Worker) End(task, cause string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.pieces {
		if p.Task == task && p.Status != "ended" {
			p.Status, p.Cause = "ended", cause
			return true
		}
	}
	return false
}

// SetStatus sets what a task is reported as.
func (w *Worker) SetStatus(task, status string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.pieces {
		if p.Task == task && p.Status != "ended" {
			p.Status = status
		}
	}
}

// SetSilent stops or resumes the beats.
func (w *Worker) SetSilent(s bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Silent = s
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
