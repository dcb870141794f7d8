package scheduler

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// assignGang assigns either all unassigned tasks of a gang or none. A task that is lost while the other
// tasks still wait for the whole gang is replaced within the same attempt.
func (a *assigner) assignGang(job *workload.Job, pass *planningPass) {
	spec := &job.Record.Spec
	missing := spec.Tasks - len(job.Assignments)
	if missing <= 0 {
		job.PendingReason = ""
		return
	}
	if reason := a.gangBlockReason(job, pass.now); reason != "" {
		job.PendingReason = reason
		return
	}
	fit, reason := a.records.gangFit(job, missing)
	job.SetRecordFull(reason)
	job.TasksPerMachine = 0
	if fit == fitsPacked {
		job.TasksPerMachine = a.records.tasksPerMachine(job, missing)
	}
	if fit == fitsNowhere {
		job.PendingReason = reason
		return
	}
	if a.admission.allowedByQuota(job, missing, pass.now) < missing {
		pass.addQuotaDemand(job, missing)
		job.PendingReason = a.admission.preemptForQuota(job, missing, pass.now)
		return
	}
	request := spec.PlacementRequest()
	search := a.newSearch(job, &request, pass)
	nodes, reason := a.nodesForGang(job, search, missing)
	switch {
	case nodes != nil:
		a.assignGangTasks(job, nodes, pass)
	case reason != "":
		job.PendingReason = reason
	case fit == fitsPacked:
		job.PendingReason = "not all tasks of the gang have room at once; its record holds them only if they share machines, so none is cleared for them"
	default:
		a.preemptOrReserveForGang(job, search, missing)
	}
}

// gangBlockReason returns why a gang must not be assigned now even if machines have room, or an empty string
// if it may be assigned.
func (a *assigner) gangBlockReason(job *workload.Job, now time.Time) string {
	switch {
	case job.BackingOff(now):
		return job.BackOffReason()
	case !mayJoinAttempt(job, a.cluster.FencingToken()):
		return "for the gang's last attempt to end"
	}
	for i := range job.Record.Spec.Tasks {
		if retry := job.Retries[i]; job.Assignments[i] == nil && retry != nil && retry.NotBefore.After(now) {
			return "backing off after failures"
		}
	}
	return ""
}

// mayJoinAttempt reports whether more tasks may join the current attempt of a gang, which requires that
// all assigned tasks still wait for the whole gang. Once one task has run or is being stopped, the other
// tasks end without being stopped, and the next attempt must not begin before all of them have ended.
func mayJoinAttempt(job *workload.Job, token ids.Generation) bool {
	for _, assignment := range job.Assignments {
		waiting := assignment.Status == worker.StatePulling || assignment.Status == worker.StateWaiting
		switch {
		case assignment.Attempt != job.Record.Attempt || assignment.Stopping:
			return false
		case assignment.Confirmed && !waiting:
			return false
		case !assignment.Confirmed && assignment.FencingToken != token:
			return false
		}
	}
	return true
}

// gangZones returns the zones that are searched separately for a gang's machines. An empty name means
// all zones together.
func gangZones(job *workload.Job, zones []string) []string {
	spec := &job.Record.Spec
	if spec.SingleZone && len(job.Assignments) == 0 && spec.Zone == "" {
		return zones
	}
	return []string{""}
}

// assignGangTasks assigns a gang's unassigned tasks in order, one to each element of nodes.
func (a *assigner) assignGangTasks(job *workload.Job, nodes []*capacity.Node, pass *planningPass) {
	job.Record.Attempt = gangAttempt(job)
	assigned := 0
	for i := range job.Record.Spec.Tasks {
		if job.Assignments[i] == nil {
			a.assignTask(job, i, nodes[assigned], pass.now)
			assigned++
		}
	}
	a.recordAssigned(job, assigned)
	job.PendingReason = ""
	a.reservations.removeForJob(job)
}

// preemptOrReserveForGang preempts other tasks for the unassigned tasks of a gang, or reserves machines for
// them, and sets the reason why the gang is pending.
func (a *assigner) preemptOrReserveForGang(job *workload.Job, search *search, missing int) {
	job.PendingReason = "not all tasks of the gang have room at once"
	for range missing {
		freed, machine := a.preemptor.preempt(job, search.request, search.pass)
		if !freed {
			if a.reserver.reserve(job, search.request, missing, search.pass.now) {
				job.PendingReason = "waits for machines set aside for it"
			}
			return
		}
		job.PendingReason = "waits for room freed on " + machine
	}
}

// GangStartAllowed reports whether the start of an assigned task may be sent now. It delays the starts
// of gang tasks in two cases:
//   - The machine has the image cached, and other tasks of the gang still have to pull it. The task would
//     wait for them and give up after gang_wait_s, long before a large image is pulled, so it starts only
//     when the others have the image.
//   - The machine still reports an ended task with the same index and attempt. The worker has to clear
//     that task first, or it would take the start of the replacement for a repeated start of that task.
func GangStartAllowed(assignment *workload.Assignment, machine *worker.Machine, machines *worker.Registry) bool {
	job := assignment.Job
	if job.Record.Spec.JobType != record.Gang {
		return true
	}
	for i := range machine.Tasks {
		reported := &machine.Tasks[i]
		if reported.Attempt == assignment.Attempt && reported.Task == assignment.Task().String() {
			return false
		}
	}
	image := job.Record.Spec.Image
	if !machine.Images.Has(image) {
		return true
	}
	for _, other := range job.Assignments {
		if other == assignment || other.Stopping || other.Confirmed && other.Status != worker.StatePulling {
			continue
		}
		if otherMachine := machines.Machines[other.Machine]; otherMachine == nil || !otherMachine.Images.Has(image) {
			return false
		}
	}
	return true
}
