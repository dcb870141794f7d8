package config

import (
	"errors"
	"fmt"
	"math"
	"net"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// minTxnOps is the number of changes in the transaction of a takeover.
const minTxnOps = 4

// check returns an error that names the first missing or invalid setting of the platform's file.
func (s *Settings) check() error {
	for _, check := range []func() error{
		s.checkNames,
		s.checkAddresses,
		s.checkTeams,
		s.checkNumbers,
		s.checkNextStateLimits,
		s.checkTxnOps,
		s.checkLease,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// numericSetting is a setting with its name in the file.
type numericSetting struct {
	name  string
	value float64
}

// isNonNegative reports whether the number is finite and zero or more.
func (n numericSetting) isNonNegative() bool { return n.value >= 0 && !math.IsInf(n.value, 0) }

// isPositive reports whether the number is finite and above zero.
func (n numericSetting) isPositive() bool { return n.value > 0 && !math.IsInf(n.value, 0) }

func (s *Settings) checkNames() error {
	if s.HostName == "" {
		return errors.New("host_name: missing")
	}
	if s.Area == "" {
		return errors.New("area: missing")
	}
	seen := map[ids.Node]bool{s.HostName: true}
	for i, other := range s.Peers {
		if other.HostName == "" || seen[other.HostName] {
			return fmt.Errorf("others[%d].host_name: missing or not unique: %q", i, other.HostName)
		}
		seen[other.HostName] = true
	}
	return nil
}

func (s *Settings) checkAddresses() error {
	type address struct{ name, value string }
	addresses := []address{
		{"client_listen", s.ClientListen},
		{"cluster_listen", s.ClusterListen},
		{"services.cloud", s.Services.Cloud},
		{"services.state", s.Services.State},
	}
	for i, other := range s.Peers {
		addresses = append(addresses, address{fmt.Sprintf("others[%d].peer_addr", i), other.PeerAddr})
	}
	for _, a := range addresses {
		if _, port, err := net.SplitHostPort(a.value); err != nil || port == "" {
			return fmt.Errorf("%s: must be an address with a port: %q", a.name, a.value)
		}
	}
	if s.ClientListen == s.ClusterListen {
		return errors.New("cluster_listen: must differ from client_listen")
	}
	return nil
}

func (s *Settings) checkTeams() error {
	if len(s.Params.Zones) == 0 {
		return errors.New("params.zones: missing")
	}
	if len(s.Params.Teams) == 0 {
		return errors.New("params.teams: missing")
	}
	seen := map[string]bool{}
	for i := range s.Params.Teams {
		team := &s.Params.Teams[i]
		name := fmt.Sprintf("params.teams[%d]", i)
		if team.Name == "" || seen[team.Name] {
			return fmt.Errorf("%s.name: missing or not unique: %q", name, team.Name)
		}
		seen[team.Name] = true
		if err := team.checkQuota(name); err != nil {
			return err
		}
	}
	return nil
}

// checkQuota checks a team's guaranteed quota and its limits; name is the path of the team in the file,
// for errors.
func (t *Team) checkQuota(name string) error {
	for _, n := range []numericSetting{
		{"cpus", t.CPUs},
		{"cpus_max", t.CPUsMax},
		{"gpus", t.GPUs},
		{"gpus_max", t.GPUsMax},
	} {
		if !n.isNonNegative() {
			return fmt.Errorf("%s.%s: must be zero or more: %v", name, n.name, n.value)
		}
	}
	if t.CPUsMax > 0 && t.CPUs > t.CPUsMax || t.GPUsMax > 0 && t.GPUs > t.GPUsMax {
		return fmt.Errorf("%s: guaranteed quota is above the limit", name)
	}
	return nil
}

func (s *Settings) checkNumbers() error {
	p := &s.Params
	for _, n := range []numericSetting{
		{"params.workers.report_s", float64(p.Workers.ReportS)},
		{"params.workers.lease_s", float64(p.Workers.LeaseS)},
		{"params.workers.gang_wait_s", float64(p.Workers.GangWaitS)},
		{"params.workers.gang_peer_s", float64(p.Workers.GangPeerS)},
		{"params.workers.cancel_s", float64(p.Workers.CancelS)},
		{"params.state.rps", p.State.RPS},
		{"params.state.write_rps", p.State.WriteRPS},
		{"params.state.value_kb", p.State.ValueKB},
		{"params.state.txn_ops", float64(p.State.TxnOps)},
		{"params.cloud.rps", p.Cloud.RPS},
		{"params.machine_limits.cores", p.Limits.Cores},
		{"params.machine_limits.ram_mb", p.Limits.RAMMB},
		{"params.machine_limits.max_sockets", float64(p.Limits.MaxSockets)},
	} {
		if !n.isPositive() {
			return fmt.Errorf("%s: missing or not above zero: %v", n.name, n.value)
		}
	}
	if p.Cloud.ListLagS < 0 || p.ClockErrorMs < 0 {
		return errors.New("params.cloud.list_lag_s, params.clock_error_ms: must be zero or more")
	}
	return nil
}

// checkNextStateLimits checks the announced future limits of the key-value store, if there are any.
func (s *Settings) checkNextStateLimits() error {
	next := s.Params.State.Next
	if next == nil {
		return nil
	}
	for _, n := range []numericSetting{
		{"params.state.next.rps", next.RPS},
		{"params.state.next.write_rps", next.WriteRPS},
		{"params.state.next.value_kb", next.ValueKB},
	} {
		if !n.isNonNegative() {
			return fmt.Errorf("%s: must be a finite number, zero or more: %v", n.name, n.value)
		}
	}
	if next.TxnOps < 0 || next.TxnOps > 0 && next.TxnOps < minTxnOps {
		return fmt.Errorf("params.state.next.txn_ops: must be at least %d, the changes of a takeover: %d", minTxnOps, next.TxnOps)
	}
	return nil
}

func (s *Settings) checkTxnOps() error {
	if ops := s.Params.State.TxnOps; ops < minTxnOps {
		return fmt.Errorf("params.state.txn_ops: must be at least %d, the changes of a takeover: %d", minTxnOps, ops)
	}
	return nil
}

func (s *Settings) checkLease() error {
	if workers := &s.Params.Workers; workers.LeaseS <= workers.ReportS {
		return fmt.Errorf("params.workers.lease_s: must be above report_s: %v", workers.LeaseS)
	}
	return nil
}
