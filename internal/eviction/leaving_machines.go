package eviction

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// leavingMachines stops what is on machines that leave without a rollout.
type leavingMachines struct {
	*State
	cluster    Cluster
	disruption *disruptionCounter
	relocator  *relocator
}

// stop stops what must be stopped now.
func (l *leavingMachines) stop(now time.Time) {
	for _, machine := range l.Machines.Leaving() {
		switch reclaimed := !machine.SpotTerminationAt.IsZero(); {
		case reclaimed:
			l.stopOnReclaimed(machine, now)
		case machine.DrainReason == "":
			l.relocator.relocate(machine, now)
		case !l.disruption.enabled(): // else it is drained within the budgets
			l.stopOnFailing(machine)
		}
	}
}

// reclaimMargin is how much longer than a task's grace period before the cloud reclaims its machine it is
// stopped, in seconds.
const reclaimMargin = 3

// stopOnReclaimed stops tasks that save checkpoints as late as is safe; those that do not, and cannot finish in
// time, are stopped at once so that they start again elsewhere.
func (l *leavingMachines) stopOnReclaimed(machine *worker.Machine, now time.Time) {
	left := machine.SpotTerminationAt.Sub(now)
	reason := "the cloud takes " + string(machine.Name) + " back"
	for assignment := range l.Capacity.AssignmentsOn(machine.Name) {
		if assignment.Stopping {
			continue
		}
		grace := assignment.CheckpointGrace()
		mayWait := grace > 0 && left > (grace+reclaimMargin).Duration()
		mayFinish := grace == 0 && (assignment.FinishesWithin(left, now) || !l.cluster.StoreAvailable())
		if !mayWait && !mayFinish {
			l.cluster.Stop(assignment, grace, reason)
		}
	}
}

// stopOnFailing stops everything on a machine on which tasks keep failing.
func (l *leavingMachines) stopOnFailing(machine *worker.Machine) {
	for assignment := range l.Capacity.AssignmentsOn(machine.Name) {
		if !assignment.Stopping {
			l.cluster.Stop(assignment, assignment.CheckpointGrace(), drainReason(machine))
		}
	}
}

// drainReason returns why tasks are stopped on a machine on which tasks keep failing.
func drainReason(machine *worker.Machine) string {
	return "machine " + string(machine.Name) + " is drained: " + machine.DrainReason
}
