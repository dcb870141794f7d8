package election

import (
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
)

// leaseMarginDivisor gives the part of a lease by which its leader takes it for expired early.
const leaseMarginDivisor = 100

// authority tells what the leader of one term may still do, by when its lease was last renewed, when
// the records were last read as a whole, and whether its process was paused. An outage of the
// state service ends all of it, and stepping down does for good.
type authority struct {
	settings      *config.Settings
	pauses        *pauseDetector
	recordsReadAt func() time.Time // when the last complete read of the records began

	// mu guards what follows; nothing is called under it.
	mu        sync.Mutex
	renewedAt time.Time // when the last renewal that succeeded was sent
	ended     bool      // the term is over
}

// newAuthority makes the authority of a term whose lease was asked for at grantedAt.
func newAuthority(settings *config.Settings, pauses *pauseDetector, recordsReadAt func() time.Time, grantedAt time.Time) *authority {
	return &authority{settings: settings, pauses: pauses, recordsReadAt: recordsReadAt, renewedAt: grantedAt}
}

// renewed notes a renewal that succeeded, by when it was sent: the lease surely lasts from then on.
func (a *authority) renewed(sentAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if sentAt.After(a.renewedAt) {
		a.renewedAt = sentAt
	}
}

// end notes that the term is over.
func (a *authority) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
}

// mayAnswerHeartbeats tells whether this node may still answer heartbeats. A successor trusts that
// it stops a fixed time after its last good renewal, and users that what they cancelled is gone in
// time: what this node has not read of, it may keep alive for so long after its last complete read
// only.
func (a *authority) mayAnswerHeartbeats() bool {
	return a.confirmedWithin(a.settings.LeaderGracePeriod().Duration())
}

// mayStartTasks tells whether this node may still start tasks: a job may have been cancelled, by a
// node that can't reach this one, since its records were last read. Twice the lease's duration
// allows for slow answers.
func (a *authority) mayStartTasks() bool {
	return a.confirmedWithin(2 * leaseDuration(a.settings))
}

// confirmedWithin tells whether the last good renewal and the last complete read of the records
// both began less than age ago.
func (a *authority) confirmedWithin(age time.Duration) bool {
	if !a.renewedSincePause() {
		return false
	}
	recordsReadAt := a.recordsReadAt()
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.ended && time.Since(a.renewedAt) < age && time.Since(recordsReadAt) < age
}

// leaseSurelyHeld tells whether no other node can lead the shard: the lease, counted from when the
// last good renewal was sent, has not expired by this node's clock.
func (a *authority) leaseSurelyHeld() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	duration := leaseDuration(a.settings)
	return !a.ended && time.Since(a.renewedAt) < duration-duration/leaseMarginDivisor
}

// renewedSincePause tells whether the lease has been renewed since this process was last paused.
func (a *authority) renewedSincePause() bool {
	resumedAt := a.pauses.lastResumedAt(time.Now())
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.ended && (resumedAt.IsZero() || a.renewedAt.After(resumedAt))
}
