// Package costs accounts for the cost of a shard's machines by activity, and for the work that is lost and
// has to be repeated. The figures are for operators; no scheduling decision depends on them.
//
// The package has no lock: the lock of the cluster state that an Account belongs to guards it.
package costs

import (
	"log/slog"
	"maps"
	"math"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Breakdown is a cost by activity of the machines, in the currency of the cloud's prices.
type Breakdown struct {
	Boot float64 // machines that have not reported yet
	Idle float64 // machines without tasks
	Free float64 // free capacity of machines with tasks
	Pull float64 // tasks whose image is being pulled or whose status is unknown
	Wait float64 // gang tasks that wait for the other tasks of the gang, and tasks that save a checkpoint
	Run  float64 // running tasks
}

// rounded returns the costs rounded to thousandths.
func (b Breakdown) rounded() Breakdown {
	round := func(amount float64) float64 { return math.Round(amount*1000) / 1000 }
	return Breakdown{round(b.Boot), round(b.Idle), round(b.Free), round(b.Pull), round(b.Wait), round(b.Run)}
}

// Account sums the costs of one leader's term. The zero value is ready to use.
type Account struct {
	costs               Breakdown
	lostCoreSeconds     map[string]float64 // by cause; nil before the first Accrue
	accruedAt, loggedAt time.Time
}

const logInterval = time.Minute

// Accrue adds the costs since the previous call, and logs the sums every logInterval.
func (a *Account) Accrue(now time.Time, machines *worker.Registry, index *capacity.Index) {
	if a.lostCoreSeconds == nil {
		a.lostCoreSeconds = map[string]float64{}
	}
	if a.accruedAt.IsZero() {
		a.accruedAt, a.loggedAt = now, now
	}
	hours := now.Sub(a.accruedAt).Seconds() / time.Hour.Seconds()
	a.accruedAt = now
	for name, machine := range machines.Machines {
		if offer := index.Type(machine.Type); offer != nil && !machine.Failed {
			a.accrueMachine(machine, offer, index.AssignmentsOn(name), offer.HourlyPrice(machine.Spot)*hours)
		}
	}
	if now.Sub(a.loggedAt) >= logInterval {
		a.loggedAt = now
		costs := a.costs.rounded()
		slog.Info("machine costs of this term", "boot", costs.Boot, "idle", costs.Idle, "free", costs.Free, "fetch", costs.Pull, "wait", costs.Wait, "run", costs.Run,
			"againCoreSeconds", a.lostCoreSeconds)
	}
}

// accrueMachine splits a machine's cost by the status of its tasks.
func (a *Account) accrueMachine(machine *worker.Machine, offer *placement.InstanceType, assignments map[*workload.Assignment]bool, cost float64) {
	switch {
	case !machine.HasReported:
		a.costs.Boot += cost
		return
	case len(assignments) == 0:
		a.costs.Idle += cost
		return
	}
	left := 1.0
	for assignment := range assignments {
		share := min(left, shareOf(offer, assignment.Job.Record.Spec.Resources))
		left -= share
		switch assignment.Status {
		case worker.StateRunning:
			a.costs.Run += cost * share
		case worker.StateWaiting, worker.StateCheckpointing:
			a.costs.Wait += cost * share
		default:
			a.costs.Pull += cost * share
		}
	}
	a.costs.Free += cost * left
}

// shareOf returns the share of a machine that a task uses: the largest of its shares of any resource.
func shareOf(offer *placement.InstanceType, need placement.Resources) float64 {
	const epsilon = 1e-9 // avoids a division by zero for resources that a machine type lacks
	share := max(need.Cores/max(offer.Cores, epsilon), need.RAM/max(offer.RAM, epsilon))
	if offer.Accels > 0 {
		share = max(share, need.Accels/offer.Accels)
	}
	return share
}

// AddLostWork adds the work of a stopped or lost task since its last checkpoint, in core-seconds, under the
// given cause. It adds nothing before the first call of Accrue.
func (a *Account) AddLostWork(assignment *workload.Assignment, cause string, now time.Time) {
	spec := &assignment.Job.Record.Spec
	if assignment.RunningSince.IsZero() || spec.JobType == record.Service || a.lostCoreSeconds == nil {
		return
	}
	lostSeconds := now.Sub(assignment.RunningSince).Seconds()
	if spec.CheckpointInterval > 0 {
		lostSeconds = math.Mod(lostSeconds, float64(spec.CheckpointInterval))
	}
	a.lostCoreSeconds[cause] = math.Round(a.lostCoreSeconds[cause] + lostSeconds*spec.Resources.Cores)
}

// Summary returns the costs, rounded to thousandths, and the lost core-seconds by cause.
func (a *Account) Summary() (Breakdown, map[string]float64) {
	return a.costs.rounded(), maps.Clone(a.lostCoreSeconds)
}
