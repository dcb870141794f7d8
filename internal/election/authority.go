package election

import (
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
)

// leaseMarginDivisor sets the safety margin: a leader treats its lease as expired this fraction of the
// lease's duration early.
const leaseMarginDivisor = 100

// authority decides what the leader of one term may still do. The decision depends on when the lease was
// last renewed, when the records were last read completely, and whether the process was paused. During an
// outage of the state service the leader loses all permissions; stepping down revokes them permanently.
type authority struct {
	settings      *config.Settings
	pauses        *pauseDetector
	recordsReadAt func() time.Time // returns when the last complete read of the records began

	// mu guards the fields below. No other lock is acquired and no callback runs while it is held.
	mu        sync.Mutex
	renewedAt time.Time // when the last successful renewal was sent
	ended     bool      // the term is over
}

// newAuthority returns the authority of a term whose lease was requested at grantedAt.
func newAuthority(settings *config.Settings, pauses *pauseDetector, recordsReadAt func() time.Time, grantedAt time.Time) *authority {
	return &authority{settings: settings, pauses: pauses, recordsReadAt: recordsReadAt, renewedAt: grantedAt}
}

// recordRenewal records a successful renewal that was sent at sentAt. The state service received it later, so
// the lease lasts at least its duration from sentAt.
func (a *authority) recordRenewal(sentAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if sentAt.After(a.renewedAt) {
		a.renewedAt = sentAt
	}
}

// end records that the term is over.
func (a *authority) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
}

// mayAnswerHeartbeats reports whether this node may still answer heartbeats. A successor relies on this
// node to stop answering a fixed time after its last successful renewal. Users rely on cancelled tasks to
// end in time: until this node has read a cancellation, its answers keep the worker's lease and thus the
// task alive. It must therefore also stop answering when the same time has passed since its last complete
// read of the records.
func (a *authority) mayAnswerHeartbeats() bool {
	return a.confirmedWithin(a.settings.LeaderGracePeriod().Duration())
}

// mayStartTasks reports whether this node may still start tasks. Since the records were last read, a
// controller that can't reach this node may have cancelled a job. The limit of twice the lease's duration
// allows for slow responses of the state service.
func (a *authority) mayStartTasks() bool {
	return a.confirmedWithin(2 * leaseDuration(a.settings))
}

// confirmedWithin reports whether the last successful renewal and the last complete read of the records
// both began less than age ago, in a process that has not been paused since the renewal.
func (a *authority) confirmedWithin(age time.Duration) bool {
	if !a.renewedSincePause() {
		return false
	}
	recordsReadAt := a.recordsReadAt()
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.ended && time.Since(a.renewedAt) < age && time.Since(recordsReadAt) < age
}

// holdsLease reports whether no other node can lead the shard: by this node's clock, the lease,
// counted from when the last successful renewal was sent, has not expired.
func (a *authority) holdsLease() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	duration := leaseDuration(a.settings)
	return !a.ended && time.Since(a.renewedAt) < duration-duration/leaseMarginDivisor
}

// renewedSincePause reports whether the lease has been renewed since this process was last paused.
func (a *authority) renewedSincePause() bool {
	resumedAt := a.pauses.lastResumedAt(time.Now())
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.ended && (resumedAt.IsZero() || a.renewedAt.After(resumedAt))
}
