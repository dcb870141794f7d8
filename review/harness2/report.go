package harness2

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func pieceName(job string, index int) string { return fmt.Sprintf("%s/%d", job, index) }

// gangComplete reports whether all tasks of a waiting task's attempt wait or run.
func (w *World) gangComplete(t *task) bool { return w.gangCount(t) == t.job.Pieces }

// gangIntact reports whether all tasks of a running task's attempt are on machines that do not hang.
func (w *World) gangIntact(t *task) bool { return w.gangCount(t) == t.job.Pieces }

func (w *World) gangCount(t *task) (n int) {
	for i := range t.job.Pieces {
		for _, other := range w.onMachine[pieceName(t.job.ID, i)] {
			if other.try == t.try && !other.worker.hung {
				n++
			}
		}
	}
	return n
}

// report sends the worker's reports until the machine is gone.
func (w *Worker) report() {
	const shortest = 500 * time.Millisecond
	var sent time.Time
	wait := time.Duration(0)
	for {
		for due := time.Now().Add(wait); ; time.Sleep(stepInterval / 2) {
			w.world.mu.Lock()
			changed, gone, hung := w.changed, w.gone, w.hung
			w.world.mu.Unlock()
			if gone {
				return
			}
			if !hung && (!time.Now().Before(due) || changed && time.Since(sent) > shortest) {
				break
			}
		}
		sent = time.Now()
		wait = w.reportOnce(sent)
	}
}

// reportOnce sends one report and returns how long to wait for the next one, if nothing changes.
func (w *Worker) reportOnce(sent time.Time) (wait time.Duration) {
	w.world.mu.Lock()
	w.changed = false
	w.checkLease(sent)
	stint, mute := w.stint, w.mute
	body, address := w.snapshot(), w.addresses[w.at]
	w.world.mu.Unlock()
	status, answer := 0, []byte(nil)
	if !mute {
		status, answer = post(w.client, "http://"+address+"/agent/beat", body)
	}
	w.world.Record.Add("report %s tick %v to %s: %d %s", w.Name, body["tick"], w.names[w.at], status, answer)
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	if w.hung {
		return time.Second // what came while it hung is too late when it goes on
	}
	if status == http.StatusOK && !w.deaf {
		var in batch
		if json.Unmarshal(answer, &in) == nil && in.Baton != nil && *in.Baton >= w.baton && stint == w.stint {
			now := time.Now()
			w.leaseFrom = sent
			w.see(*in.Baton, now)
			w.execute(in.Orders, now)
		}
		return time.Duration(w.world.Timing.Report * float64(time.Second))
	}
	if status == http.StatusMisdirectedRequest {
		var in struct {
			AnswerTo string `json:"answerTo"`
		}
		_ = json.Unmarshal(answer, &in) // an answer without a name sends the worker to the next node
		for i, name := range w.names {
			if name == in.AnswerTo && i != w.at {
				w.at = i
				return 100 * time.Millisecond
			}
		}
	}
	w.at = (w.at + 1) % len(w.addresses)
	return time.Second
}
