package claim

import (
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"

	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// A job whose tasks take much of a machine may go first in the order and still
// never begin: whatever a machine frees, smaller tasks take before enough is free
// at once. So for one that starves, machines are set aside: nothing but critical
// work is placed there until what runs on them has ended.

// Machines are set aside for reservedFor at most; others are looked for again after
// reserveAgain; and all together are one machine in reservedShare, but for a job that
// needs more at once.
const (
	reservationTime       = time.Minute
	reservationRetryDelay = 5 * time.Second
	reservedFleetFraction = 20
)

// wantsReservation tells whether machines are to be set aside for a job that lacks n. High
// work stops others instead; but on the dearest machines all work may be high: each
// that ends is followed by a gang of one, and one that needs two at once never begins.
func wantsReservation(job *workload.Job, n int, now time.Time) bool {
	if job.EffectivePriority() >= record.High && (n < 2 || job.Record.Spec.Shape != record.Gang) {
		return false
	}
	return !job.Suspect() && job.Starving(now) && now.Sub(job.ReservationSoughtAt) >= reservationRetryDelay
}

// reserveMachines keeps n machines for a starving job, those that are soonest free
// enough; it tells whether it did. It looks at every machine, but once a minute
// for a job that starves.
func (c *ClusterState) reserveMachines(job *workload.Job, request *placement.Ask, n int, now time.Time) bool {
	if !wantsReservation(job, n, now) {
		return false
	}
	job.ReservationSoughtAt = now
	held := 0
	for _, reservation := range c.reservations {
		if reservation.untilReleased && reservation.until.After(now) {
			held++
		}
	}
	if held+n > max(2*n, len(c.capacity.Nodes())/reservedFleetFraction) {
		return false
	}
	type candidate struct {
		h     *capacity.Node
		zone  string
		after time.Duration
	}
	var candidates []candidate
	for _, node := range c.capacity.Nodes() {
		machine := c.machines.Machines[node.Name]
		if machine == nil {
			continue
		}
		if reservation, ok := c.reservations[node.Name]; ok && reservation.until.After(now) {
			if reservation.job == job.Record.Spec.ID {
				return true
			}
			continue
		}
		machineType := c.capacity.Type(machine.Type)
		if machineType == nil || machine.Going || !machine.Usable(now, c.settings.Params.Workers.ReportS) || !request.Allows(machine.Type, machine.Zone, machine.Spot) ||
			request.Need.Accels == 0 && machineType.Accels > 0 || !machineType.Room().Minus(node.Used).Plus(node.Reclaimable).Holds(request.Need) {
			continue
		}
		candidates = append(candidates, candidate{node, machine.Zone, node.TimeUntilFree(now)})
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		if x.after != y.after {
			return int(x.after - y.after)
		}
		return cmpString(string(x.h.Name), string(y.h.Name))
	})
	if job.Record.Spec.OneZone && n > 1 {
		// All in the zone that is soonest complete.
		count := map[string]int{}
		for _, found := range candidates {
			if count[found.zone]++; count[found.zone] == n {
				candidates = slices.DeleteFunc(candidates, func(o candidate) bool { return o.zone != found.zone })
				break
			}
		}
	}
	if len(candidates) < n {
		return false
	}
	until := now.Add(reservationTime)
	if job.EffectivePriority() >= record.High {
		until = now.Add(2 * reservationTime) // what runs there runs long
	}
	for _, found := range candidates[:n] {
		c.reservations[found.h.Name] = reservation{job: job.Record.Spec.ID, need: request.Need, madeAt: now, until: until, untilReleased: true}
	}
	c.recordEvent(job, "%d machines set aside for it, %s the first", n, candidates[0].h.Name)
	return true
}

// protectStart protects the beginning of a job that starved: of a gang all tasks, of any
// other job one, on a machine that was set aside for it if there is one.
func (c *ClusterState) protectStart(job *workload.Job, fresh []*workload.Assignment) {
	until := time.Now().Add(workload.StartProtectionTime)
	if job.Record.Spec.Shape == record.Gang {
		for _, assignment := range fresh {
			assignment.ProtectedUntil = until
		}
		return
	}
	var kept *workload.Assignment
	for _, assignment := range fresh {
		if kept == nil || c.reservations[assignment.Machine].job == job.Record.Spec.ID {
			kept = assignment
		}
	}
	if kept != nil {
		kept.ProtectedUntil = until
	}
}
