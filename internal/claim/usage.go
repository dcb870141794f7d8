package claim

import (
	"log/slog"
	"math"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// costReport counts what the machines cost this leader, by what they were doing, and
// the work that has to be done again. It answers an operator's question of
// where the money goes; nothing is decided by it.
type costReport struct {
	boot, idle, free, fetch, wait, run float64            // money
	repeated                           map[string]float64 // core-seconds, by cause
	accruedAt, loggedAt                time.Time
}

// accrueCosts adds what the time since the last call cost.
func (c *ClusterState) accrueCosts(now time.Time) {
	s := &c.costs
	if s.repeated == nil {
		s.repeated = map[string]float64{}
	}
	if s.accruedAt.IsZero() {
		s.accruedAt, s.loggedAt = now, now
	}
	dt := now.Sub(s.accruedAt).Seconds()
	s.accruedAt = now
	for name, machine := range c.machines.Machines {
		machineType := c.capacity.Type(machine.Type)
		if machineType == nil || machine.Failed {
			continue
		}
		cost := machineType.HourlyPrice(machine.Spot) / 3600 * dt
		switch {
		case !machine.HasReported:
			s.boot += cost
			continue
		case len(c.capacity.AssignmentsOn(name)) == 0:
			s.idle += cost
			continue
		}
		left := 1.0
		for assignment := range c.capacity.AssignmentsOn(name) {
			need := assignment.Job.Record.Spec.Resources
			share := min(left, max(need.Cores/max(machineType.Cores, 1e-9), need.RAM/max(machineType.RAM, 1e-9), need.Accels/max(machineType.Accels, 1e-9)*indicator(machineType.Accels > 0)))
			left -= share
			switch {
			case assignment.Status == worker.StateRunning:
				s.run += cost * share
			case assignment.Status == worker.StateWaiting || assignment.Status == worker.StateCheckpointing:
				s.wait += cost * share
			default:
				s.fetch += cost * share
			}
		}
		s.free += cost * left
	}
	if now.Sub(s.loggedAt) >= time.Minute {
		s.loggedAt = now
		slog.Info("spent", "boot", roundMoney(s.boot), "idle", roundMoney(s.idle), "free", roundMoney(s.free), "fetch", roundMoney(s.fetch),
			"wait", roundMoney(s.wait), "run", roundMoney(s.run), "againCoreSeconds", s.repeated)
	}
}

func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func roundMoney(v float64) float64 { return math.Round(v*1000) / 1000 }

// recordRepeatedWork counts work lost with a task that was stopped or vanished.
func (c *ClusterState) recordRepeatedWork(assignment *workload.Assignment, cause string, now time.Time) {
	if assignment.RunningSince.IsZero() || assignment.Job.Record.Spec.Shape == record.Service || c.costs.repeated == nil {
		return
	}
	spec := &assignment.Job.Record.Spec
	ran := now.Sub(assignment.RunningSince).Seconds()
	if spec.CheckpointInterval > 0 {
		ran = math.Mod(ran, float64(spec.CheckpointInterval))
	}
	c.costs.repeated[cause] = math.Round(c.costs.repeated[cause] + ran*spec.Resources.Cores)
}
