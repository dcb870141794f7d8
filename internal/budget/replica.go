package budget

import "time"

// Readiness says what makes a replica count as up.
type Readiness struct {
	// RunningFor is how long it must have been seen running by this leader.
	RunningFor time.Duration
	// HeardWithin is how recent the machine's last report must be.
	HeardWithin time.Duration
}

// Replica is what the leader knows of one replica.
type Replica struct {
	// Running tells that the newest report showed it running.
	Running bool
	// RunningSince is when this leader first saw it running.
	RunningSince time.Time
	// HeardAt is when its machine last reported.
	HeardAt time.Time
	// Leaving tells that it is being stopped, or that its eviction is stored.
	Leaving bool
}

// Up tells whether a replica counts as up: only if this leader knows it to be running and
// ready. One that is unknown, starting, lost or on its way elsewhere counts as down.
func (r Readiness) Up(replica Replica, now time.Time) bool {
	return replica.Running && !replica.Leaving &&
		now.Sub(replica.RunningSince) >= r.RunningFor &&
		now.Sub(replica.HeardAt) <= r.HeardWithin
}
