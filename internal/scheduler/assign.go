package scheduler

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// assigner assigns the tasks of one job at a time. It sets Job.PendingReason to explain why the job's
// remaining tasks are pending.
type assigner struct {
	*State
	cluster      Cluster
	rng          *rand.Rand
	reservations *Reservations
	records      *recordRoom
	admission    *admission
	reserver     *machineReserver
	preemptor    *preemptor
}

// assign assigns as many of a job's tasks as limits and free machines allow.
func (a *assigner) assign(job *workload.Job, pass *planningPass) {
	if job.Record.Spec.JobType == record.Gang {
		a.assignGang(job, pass)
		return
	}
	unassigned := job.Unassigned()
	if unassigned <= 0 {
		job.PendingReason = ""
		return
	}
	if job.BackingOff(pass.now) {
		job.PendingReason = job.BackOffReason()
		return
	}
	allowance := a.records.allowance(job)
	limit, reason := a.admission.limit(job, unassigned, allowance, pass)
	assigned, stopReason := a.assignTasks(job, limit, allowance.estimated, pass)
	if stopReason != "" {
		reason = stopReason
	}
	a.recordAssigned(job, assigned)
	job.PendingReason = reason
	if assigned == unassigned {
		job.PendingReason = ""
		a.reservations.removeForJob(job)
	}
}

// assignTasks assigns up to limit tasks of an array or a service, lowest index first. Before each task
// beyond the first estimated ones, it measures whether the record has room. reason explains why tasks were
// skipped; it is empty if none were.
func (a *assigner) assignTasks(job *workload.Job, limit, estimated int, pass *planningPass) (assigned int, reason string) {
	spec := &job.Record.Spec
	request := spec.PlacementRequest()
	search := a.newSearch(job, &request, pass)
	finished := &job.Record.Finished
	for i := finished.NextMissing(0); i < spec.Tasks && assigned < limit; i = finished.NextMissing(i + 1) {
		if job.Assignments[i] != nil {
			continue
		}
		retry := job.Retries[i]
		if retry != nil && retry.NotBefore.After(pass.now) {
			reason = "backing off after failures"
			continue
		}
		node, pendingReason, tryNext := a.findNode(job, retry, search)
		if pendingReason != "" {
			reason = pendingReason
		}
		if node == nil {
			if tryNext {
				continue
			}
			break
		}
		attempt := job.Record.Attempt
		if assigned == 0 && !job.ContinuesSlice(i) {
			attempt++
		}
		if assigned >= estimated && !a.records.holdsTask(job, i, attempt, node) {
			reason = a.handleFullRecord(job)
			break
		}
		job.Record.Attempt = attempt
		job.LastSlice = workload.ArraySlice{Attempt: job.Record.Attempt, LastTask: i}
		a.assignTask(job, i, node, pass.now)
		search.zones.Add(a.Machines.Machines[node.Name].Zone)
		assigned++
	}
	return assigned, reason
}

// handleFullRecord makes room in the record of a job of which no task is assigned, since nothing else would,
// and returns why the job's tasks are pending.
func (a *assigner) handleFullRecord(job *workload.Job) (reason string) {
	if len(job.Assignments) == 0 {
		a.cluster.ShrinkRecord(job)
	}
	return job.Room.Reason
}

// findNode returns a node for one task. If no node has room, it tries to free capacity or to reserve a
// machine, and returns why the task is pending. tryNext reports whether the job's next task should be tried:
// a task that failed before avoids machines to which other tasks of the job may still be assigned.
func (a *assigner) findNode(job *workload.Job, retry *workload.Retry, search *search) (node *capacity.Node, reason string, tryNext bool) {
	node = search.pickNode(retry)
	if job.RecordFull() {
		if node == nil {
			reason = job.Room.Reason // nothing is stopped for a task for which the record has no room
		}
		return node, reason, false
	}
	if node == nil {
		return nil, a.preemptOrReserve(job, search), retry != nil
	}
	if job.EffectivePriority() == record.Critical && !a.Capacity.HasImage(node, search.request.Image) {
		// Pulling the image takes longer than stopping tasks of lower priority where it is cached.
		if machine := a.preemptor.preemptWhereCached(job, search.request, search.pass); machine != "" {
			return nil, "waits for room freed on " + machine, false
		}
	}
	return node, "", true
}

// preemptOrReserve preempts other tasks for one task of a job. If that is not possible, it tries to reserve
// a machine. It returns why the task is pending.
func (a *assigner) preemptOrReserve(job *workload.Job, search *search) (reason string) {
	if freed, machine := a.preemptor.preempt(job, search.request, search.pass); freed {
		return "waits for room freed on " + machine
	}
	if a.reserver.reserve(job, search.request, 1, search.pass.now) {
		return "waits for a machine set aside for it"
	}
	return "no machine has room"
}

// assignTask assigns one task to a node as part of the job's current attempt.
func (a *assigner) assignTask(job *workload.Job, task int, node *capacity.Node, now time.Time) {
	machine := a.Machines.Machines[node.Name]
	image := job.Record.Spec.Image
	a.reservations.consume(node.Name, job)
	cached := machine.Images.Has(image) || node.ImagePulls[image] != nil
	a.cluster.Assign(&workload.Assignment{Job: job, TaskIndex: task, Machine: machine.Name, Incarnation: machine.Incarnation,
		Attempt: job.Record.Attempt, FencingToken: a.cluster.FencingToken(), AssignedAt: now})
	slog.Debug("task assigned", "class", job.Record.Spec.Class, "job", job.ID(), "task", task, "attempt", job.Record.Attempt,
		"machine", machine.Name, "type", machine.Type, "cached", cached,
		"sinceSubmit", now.Sub(job.Record.Submitted.Time()).Round(time.Millisecond))
}

// recordAssigned records that a pass has assigned count tasks of a job. It requests that their markers are
// stored, all with one version of the job, and removes the reservations of a job that starved.
func (a *assigner) recordAssigned(job *workload.Job, count int) {
	if count == 0 {
		return
	}
	a.cluster.MarkersPending(job)
	var assigned []*workload.Assignment
	for _, assignment := range job.Assignments {
		if assignment.MarkerVersion == 0 {
			assignment.MarkerVersion = job.Version
			assigned = append(assigned, assignment)
		}
	}
	if !job.LastReservationAttempt.IsZero() {
		a.protectFromPreemption(job, assigned)
		a.reservations.removeForJob(job) // the job may have started on machines that were not reserved
		job.LastReservationAttempt = time.Time{}
	}
	a.cluster.RecordRestarts(job, assigned)
}

// protectFromPreemption protects the first tasks of a job that starved from preemption: all tasks of a gang,
// or one task of any other job, preferably one on a machine that was reserved for the job.
func (a *assigner) protectFromPreemption(job *workload.Job, assigned []*workload.Assignment) {
	until := time.Now().Add(workload.StartProtectionTime)
	if job.Record.Spec.JobType == record.Gang {
		for _, assignment := range assigned {
			assignment.ProtectedUntil = until
		}
		return
	}
	var protected *workload.Assignment
	for _, assignment := range assigned {
		if protected == nil || a.reservations.isReservedFor(assignment.Machine, job.ID()) {
			protected = assignment
		}
	}
	if protected != nil {
		protected.ProtectedUntil = until
	}
}
