package budget

import "time"

// Readiness contains the conditions under which a replica counts as ready.
type Readiness struct {
	// MinRunning is the minimum time for which this leader must have seen the replica running.
	MinRunning time.Duration
	// MaxHeartbeatAge is the maximum age of the last heartbeat of the replica's machine.
	MaxHeartbeatAge time.Duration
}

// Replica is the state of one replica as known to the leader.
type Replica struct {
	// Running is true if the latest heartbeat showed the replica running.
	Running bool
	// RunningSince is the time at which this leader first saw the replica running.
	RunningSince time.Time
	// LastHeartbeat is the time of the last heartbeat of the replica's machine.
	LastHeartbeat time.Time
	// Terminating is true if the replica is being terminated or its eviction is stored.
	Terminating bool
}

// IsReady reports whether a replica is ready: this leader must know that it has been running for long
// enough. A replica that is unknown, starting, lost or being moved is unavailable.
func (r Readiness) IsReady(replica Replica, now time.Time) bool {
	return replica.Running && !replica.Terminating &&
		now.Sub(replica.RunningSince) >= r.MinRunning &&
		now.Sub(replica.LastHeartbeat) <= r.MaxHeartbeatAge
}
