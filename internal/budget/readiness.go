package budget

import "time"

// Readiness is the rule by which a replica counts as ready.
type Readiness struct {
	// RunningFor is how long this leader must have seen it running.
	RunningFor time.Duration
	// HeardWithin is how old the machine's last heartbeat may be.
	HeardWithin time.Duration
}

// Replica is what the leader knows of one replica.
type Replica struct {
	// Running tells that the newest heartbeat showed it running.
	Running bool
	// RunningSince is when this leader first saw it running.
	RunningSince time.Time
	// HeardAt is the time of its machine's last heartbeat.
	HeardAt time.Time
	// Leaving tells that it is being terminated, or that its eviction is stored.
	Leaving bool
}

// Up reports whether a replica is ready: only if this leader knows it to be running for long
// enough. One that is unknown, starting, lost or being moved is unavailable.
func (r Readiness) Up(replica Replica, now time.Time) bool {
	return replica.Running && !replica.Leaving &&
		now.Sub(replica.RunningSince) >= r.RunningFor &&
		now.Sub(replica.HeardAt) <= r.HeardWithin
}
