package fake

import (
	"context"
	"time"
)

// hungLeaseDuration is the lease duration of an incarnation that begins while the machine hangs. It
// is longer than any test.
const hungLeaseDuration = 1000 * time.Hour

// watchLease ends the incarnation when the lease expires, even if no request or heartbeat checks it.
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

// expireLease ends the incarnation if the lease has expired, which ends all tasks. A real machine
// that hangs when its lease expires ends its tasks before anything else when it resumes, so here the
// tasks end, and the next incarnation begins, at the expiry.
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
		w.leaseExpiry = time.Now().Add(hungLeaseDuration) // renewed when the machine resumes
		w.expiredWhileHung = true
	}
	w.scheduleHeartbeat()
}
