package config

import "github.com/pebbletrail/pebbletrail/internal/ids"

// SocketLimits divides the sockets of this process by use.
type SocketLimits struct {
	// Inbound limits connections from users, workers and health checks.
	Inbound int
	// ToMachines limits connections to machines: a quarter each for commands and for status queries in
	// progress, the rest for idle connections kept open.
	ToMachines int
}

const (
	// serviceSockets is the number of sockets reserved for calls to the services, and socketsPerPeer the
	// number reserved for calls to each of the other controllers.
	serviceSockets = 40
	socketsPerPeer = 18
	// minSockets is the minimum both for inbound connections and for calls to machines.
	minSockets = 16
)

// Sockets divides the sockets that the machine allows. The sockets for calls to the services and to the
// other controllers are reserved first. Inbound connections get most of the rest, since every worker
// keeps a connection to the leader.
func (s *Settings) Sockets() SocketLimits {
	limit := s.Params.Limits.MaxSockets
	reserved := serviceSockets + socketsPerPeer*len(s.Peers)
	available := max(limit-reserved, limit/2)
	toMachines := max(minSockets, available/4)
	return SocketLimits{Inbound: max(minSockets, available-toMachines), ToMachines: toMachines}
}

// LeaderGracePeriod returns how long a leader answers heartbeats after the last renewal of its lease. A
// leader that is partitioned together with a zone may keep alive tasks there that a user has meanwhile
// cancelled through another node. The worker leases granted by the leader's last answer must expire, and
// so end these tasks, within cancel_s of the cancellation.
func (s *Settings) LeaderGracePeriod() ids.Seconds {
	workers := &s.Params.Workers
	leaderLease := ids.Seconds(float64(s.Operator.PoolHoldMs) / 1000)
	maxPeriod := workers.CancelS - ids.Seconds(workers.LeaseS.WithClockDrift().Seconds()) - 2*leaderLease
	return max(leaderLease, min(ids.Seconds(s.Operator.BeatGraceS), maxPeriod))
}
