package config

import "github.com/pebbletrail/pebbletrail/internal/ids"

// SocketLimits is how the sockets of this process are split.
type SocketLimits struct {
	// Inbound is for users, workers and health checks.
	Inbound int
	// ToMachines is for calls to machines: a quarter each for commands and for status queries under
	// way, the rest for connections kept open.
	ToMachines int
}

const (
	// serviceSockets and socketsPerPeer are the sockets for calls to the services and to each of
	// the other controllers.
	serviceSockets = 40
	socketsPerPeer = 18
	// minSockets is the least for callers, and for calls to machines.
	minSockets = 16
)

// Sockets splits the sockets that the machine allows. Every worker keeps a connection to the
// leader, so callers have the most; the calls to the services and to the other controllers come
// off first.
func (s *Settings) Sockets() SocketLimits {
	limit := s.Params.Limits.MaxSockets
	reserved := serviceSockets + socketsPerPeer*len(s.Peers)
	rest := max(limit-reserved, limit/2)
	toMachines := max(minSockets, rest/4)
	return SocketLimits{Inbound: max(minSockets, rest-toMachines), ToMachines: toMachines}
}

// LeaderGracePeriod is how long a leader answers heartbeats after the last renewal of its lease. Partitioned
// together with a zone, it may keep tasks there alive that a user has cancelled through another
// node meanwhile: they must be gone, by the lease that its last answer gave them, within cancel_s
// of that.
func (s *Settings) LeaderGracePeriod() ids.Seconds {
	workers := &s.Params.Workers
	leaderLease := ids.Seconds(float64(s.Operator.PoolHoldMs) / 1000)
	longest := workers.CancelS - ids.Seconds(workers.LeaseS.WithClockDrift().Seconds()) - 2*leaderLease
	return max(leaderLease, min(ids.Seconds(s.Operator.BeatGraceS), longest))
}
