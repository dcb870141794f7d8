package fake

import (
	"context"
	"time"
)

// whileHung is far beyond the time of any test.
const whileHung = 1000 * time.Hour

// watchLease ends the lease in time, whoever looks.
func (w *Worker) watchLease(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		w.expireLease()
		wait := time.Until(w.leaseExpiry) + 1
		w.mu.Unlock()
		select {
		case <-time.After(min(max(wait, 1), w.LeaseDuration)):
		case <-ctx.Done():
		}
	}
}

// expireLease ends the incarnation once the lease has expired. A machine that hangs by
// then does not come back to its tasks: it ends them before anything else when it
// goes on, so they count as gone from the expiry on. Its next incarnation begins then.
func (w *Worker) expireLease() {
	if !time.Now().After(w.leaseExpiry) {
		return
	}
	for _, task := range w.orderedTasks() {
		if !task.ended() {
			w.notifyEnd(task, causeKilled)
		}
	}
	w.incarnation++
	w.tasks, w.taskOrder = map[string]*taskStatus{}, nil
	w.leaseExpiry = time.Now().Add(w.LeaseDuration)
	if w.resumed != nil {
		w.leaseExpiry = time.Now().Add(whileHung) // renewed when it goes on
		w.expiredWhileHung = true
	}
	w.scheduleHeartbeat()
}
