package eviction

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// leavingMachineDrainer stops tasks on machines that are drained without a rollout.
type leavingMachineDrainer struct {
	*State
	cluster    Cluster
	disruption *disruptionCounter
	relocator  *relocator
}

// stop stops the tasks that must be stopped now.
func (l *leavingMachineDrainer) stop(now time.Time) {
	for _, machine := range l.Machines.Leaving() {
		switch reclaimed := !machine.SpotTerminationAt.IsZero(); {
		case reclaimed:
			l.stopOnReclaimed(machine, now)
		case machine.DrainReason == "":
			l.relocator.relocate(machine, now)
		case !l.disruption.enabled(): // otherwise Evaluate drains it within the budgets
			l.stopOnFailing(machine)
		}
	}
}

// reclaimMargin is added to a task's grace period, in seconds, so that the task is stopped in time before
// the cloud reclaims its machine.
const reclaimMargin = 3

// stopOnReclaimed stops tasks on a machine that the cloud reclaims. Tasks that save checkpoints are stopped
// as late as is safe. Tasks that do not, and cannot finish in time, are stopped at once so that they start
// again elsewhere.
func (l *leavingMachineDrainer) stopOnReclaimed(machine *worker.Machine, now time.Time) {
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

// stopOnFailing stops all tasks on a machine on which tasks keep failing.
func (l *leavingMachineDrainer) stopOnFailing(machine *worker.Machine) {
	for assignment := range l.Capacity.AssignmentsOn(machine.Name) {
		if !assignment.Stopping {
			l.cluster.Stop(assignment, assignment.CheckpointGrace(), drainReason(machine))
		}
	}
}

// drainReason returns the reason for stopping tasks on a machine on which tasks keep failing.
func drainReason(machine *worker.Machine) string {
	return "machine " + string(machine.Name) + " is drained: " + machine.DrainReason
}
