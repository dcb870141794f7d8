package fake

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"time"
)

// acceptToken takes a token; a higher one counts as a change, though not often.
func (w *Worker) acceptToken(token uint64) {
	if token > w.token && time.Since(w.raised) > w.Lease/2 {
		w.raised = time.Now()
		w.change()
	}
	w.token = token
}

func (w *Worker) execute(orders []order, sent time.Time) {
	for _, o := range orders {
		k := fmt.Sprintf("%s#%d", o.Task, o.Attempt)
		p := w.pieces[k]
		switch o.Verb {
		case "start":
			if p != nil {
				continue
			}
			busy := false
			for _, q := range w.pieces {
				busy = busy || q.Task == o.Task && q.Status != "ended"
			}
			p = &Piece{Task: o.Task, Attempt: o.Attempt, Status: "running"}
			w.pieces[k] = p
			w.order = append(w.order, k)
			w.change()
			if busy {
				p.Status, p.Cause = "ended", "busy"
				continue
			}
			w.Starts = append(w.Starts, k)
			w.notify(p, sent, true, "")
			if w.Net.result(o.Task) {
				w.end(p, "done")
			}
		case "stop":
			if p != nil && p.Status != "ended" {
				p.Saved = o.Leeway > 0
				w.end(p, "stopped")
			}
		case "clear":
			if p != nil && p.Status == "ended" {
				delete(w.pieces, k)
				for i := range w.order {
					if w.order[i] == k {
						w.order = append(w.order[:i], w.order[i+1:]...)
						break
					}
				}
			}
		}
	}
}

func sentAt(h http.Header) time.Time {
	at, _ := time.Parse(time.RFC3339Nano, h.Get(sentHeader))
	return at
}

// ServeHTTP takes direct commands and shows the report.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	w.mu.Lock()
	if w.hung == nil {
		defer w.mu.Unlock()
		w.serve(rw, r, raw)
		return
	}
	out, done := httptest.NewRecorder(), make(chan struct{})
	w.held = append(w.held, func() {
		w.serve(out, r, raw)
		close(done)
	})
	w.mu.Unlock()
	select {
	case <-done:
		rw.WriteHeader(out.Code)
		rw.Write(out.Body.Bytes())
	case <-r.Context().Done():
	}
}

func (w *Worker) serve(rw http.ResponseWriter, r *http.Request, raw []byte) {
	w.checkLease()
	if r.Method == "GET" {
		reply(rw, 200, w.report())
		return
	}
	var in struct {
		Token   uint64  `json:"baton"`
		Session uint64  `json:"stint"`
		Orders  []order `json:"orders"`
	}
	json.Unmarshal(raw, &in)
	if in.Token < w.token || in.Session != w.session {
		reply(rw, 409, w.report())
		return
	}
	w.acceptToken(in.Token)
	w.execute(in.Orders, sentAt(r.Header))
	reply(rw, 200, w.report())
}
