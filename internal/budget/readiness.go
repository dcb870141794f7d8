package budget

import "time"

// Readiness is the rule by which a replica counts as ready.
type Readiness struct {
	// MinRunning is how long this leader must have seen it running.
	MinRunning time.Duration
	// MaxHeartbeatAge is how old the machine's last heartbeat may be.
	MaxHeartbeatAge time.Duration
}

// Replica is what the leader knows of one replica.
type Replica struct {
	// Running tells that the newest heartbeat showed it running.
	Running bool
	// RunningSince is when this leader first saw it running.
	RunningSince time.Time
	// LastHeartbeat is the time of its machine's last heartbeat.
	LastHeartbeat time.Time
	// Terminating tells that it is being terminated, or that its eviction is stored.
	Terminating bool
}

// IsReady reports whether a replica is ready: only if this leader knows it to be running for long
// enough. One that is unknown, starting, lost or being moved is unavailable.
func (r Readiness) IsReady(replica Replica, now time.Time) bool {
	return replica.Running && !replica.Terminating &&
		now.Sub(replica.RunningSince) >= r.MinRunning &&
		now.Sub(replica.LastHeartbeat) <= r.MaxHeartbeatAge
}
