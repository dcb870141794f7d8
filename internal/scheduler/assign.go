package scheduler

import (
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// assign assigns what it can of one job, and notes why the rest waits.
func (s *Scheduler) assign(job *workload.Job, pass *Pass) {
	if job.Record.Spec.Shape == record.Gang {
		s.assignGang(job, pass)
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
	limit, reason := s.assignable(job, unassigned, pass)
	assigned, stopReason := s.assignTasks(job, limit, pass)
	if stopReason != "" {
		reason = stopReason
	}
	s.tasksAssigned(job, assigned)
	job.PendingReason = reason
	if assigned == unassigned {
		job.PendingReason = ""
		s.Reservations.removeJob(job)
	}
}

// valueBytes is how large a stored value may be.
func (s *Scheduler) valueBytes() float64 { return s.Settings.Params.State.ValueKB * 1024 }

// assignable is how many tasks of a job its record and its team's quota allow to assign now, and why
// that is none.
func (s *Scheduler) assignable(job *workload.Job, unassigned int, pass *Pass) (limit int, reason string) {
	allowed := s.assignableTasks(job, unassigned, pass.now)
	open := job.MaxAssignedTasks(s.valueBytes()) - len(job.Assignments)
	limit = min(unassigned, allowed, open)
	if job.Failing() {
		limit = min(limit, 1)
	}
	switch {
	case open <= 0:
		reason = "as many of its tasks are under way as a record of the state service holds"
	case allowed <= 0:
		pass.addQuotaDemand(job, min(unassigned, open))
		reason = s.quotaReason(job, unassigned, pass.now)
	}
	return limit, reason
}

// quotaReason tells why a job's team has no quota left for it, and has lesser work of the team make
// way where that may.
func (s *Scheduler) quotaReason(job *workload.Job, tasks int, now time.Time) string {
	reason := s.Quota.Explain(job.Record.Spec.Team)
	if s.yieldQuota(job, tasks, now) {
		reason += "; lesser work of its own makes way"
	}
	return reason
}

// assignTasks assigns up to limit tasks of an array or a service, lowest first; the reason tells why
// some were passed over.
func (s *Scheduler) assignTasks(job *workload.Job, limit int, pass *Pass) (assigned int, reason string) {
	spec := &job.Record.Spec
	request := spec.PlacementRequest()
	search := s.newSearch(job, &request, pass)
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
		node, why, goOn := s.nodeFor(job, retry, search)
		if why != "" {
			reason = why
		}
		if node == nil {
			if goOn {
				continue
			}
			break
		}
		if assigned == 0 && !job.ContinuesSlice(i) {
			job.Record.Attempt++
		}
		job.LastSlice = workload.ArraySlice{Attempt: job.Record.Attempt, LastTask: i}
		s.assignTask(job, i, node, pass.now)
		search.zones.Add(s.Machines.Machines[node.Name].Zone)
		assigned++
	}
	return assigned, reason
}

// nodeFor finds a node for one task. Without one it has room made where that may, and tells why the
// task waits and whether to go on with the next: one that failed elsewhere before may find none where
// others do.
func (s *Scheduler) nodeFor(job *workload.Job, retry *workload.Retry, search *search) (node *capacity.Node, reason string, goOn bool) {
	node = search.pick(retry)
	if node == nil {
		return nil, s.makeRoom(job, search), retry != nil
	}
	if job.EffectivePriority() == record.Critical && !s.Capacity.HoldsImage(node, search.request.Image) {
		// A pull takes longer than stopping lesser work where the image is.
		if machine := s.preemptWhereCached(job, search.request, search.pass); machine != "" {
			return nil, "waits for room freed on " + machine, false
		}
	}
	return node, "", true
}

// makeRoom preempts others for one task of a job, or reserves a machine for it; it tells what the task
// waits for.
func (s *Scheduler) makeRoom(job *workload.Job, search *search) (reason string) {
	if freed, machine := s.preempt(job, search.request, search.pass); freed {
		return "waits for room freed on " + machine
	}
	if s.reserveMachines(job, search.request, 1, search.pass.now) {
		return "waits for a machine set aside for it"
	}
	return "no machine has room"
}

// assignTask assigns one task to a node under the job's present attempt.
func (s *Scheduler) assignTask(job *workload.Job, task int, node *capacity.Node, now time.Time) {
	machine := s.Machines.Machines[node.Name]
	image := job.Record.Spec.Image
	s.Reservations.use(node.Name, job)
	cached := machine.Images.Has(image) || node.ImagePulls[image] != nil
	s.cluster.Assign(&workload.Assignment{Job: job, TaskIndex: task, Machine: machine.Name, Incarnation: machine.Incarnation,
		Attempt: job.Record.Attempt, FencingToken: s.cluster.FencingToken(), AssignedAt: now})
	slog.Debug("task assigned", "class", job.Record.Spec.Class, "job", job.ID(), "task", task, "attempt", job.Record.Attempt,
		"machine", machine.Name, "type", machine.Type, "cached", cached,
		"sinceSubmit", now.Sub(job.Record.Submitted.Time()).Round(time.Millisecond))
}

// tasksAssigned notes what a pass assigned of a job: the markers are to be stored in one version.
func (s *Scheduler) tasksAssigned(job *workload.Job, count int) {
	if count == 0 {
		return
	}
	s.cluster.Assigned(job)
	var fresh []*workload.Assignment
	for _, assignment := range job.Assignments {
		if assignment.MarkerVersion == 0 {
			assignment.MarkerVersion = job.Version
			fresh = append(fresh, assignment)
		}
	}
	if !job.ReservationSoughtAt.IsZero() {
		s.protectStart(job, fresh)
		s.Reservations.removeJob(job) // it has begun, perhaps elsewhere
		job.ReservationSoughtAt = time.Time{}
	}
	s.cluster.Restarted(job, fresh)
}

// quotaLeft is how many more tasks of a job, of those wanted, its team's quota allows.
func (s *Scheduler) QuotaLeft(spec *record.Spec, want int) int {
	return s.Quota.Available(spec.Team).CountFitting(spec.Resources, want)
}

// assignableTasks is the same less what is reserved for jobs that go first, or for tasks that are moved.
func (s *Scheduler) assignableTasks(job *workload.Job, want int, now time.Time) int {
	spec := &job.Record.Spec
	left := s.Quota.Available(spec.Team).Minus(s.reservedQuota(job, now)).Minus(s.cluster.QuotaForRelocated(job))
	return left.CountFitting(spec.Resources, want)
}

// protectStart protects the beginning of a job that starved: of a gang all tasks, of any other job
// one, on a machine that was reserved for it if there is one.
func (s *Scheduler) protectStart(job *workload.Job, fresh []*workload.Assignment) {
	until := time.Now().Add(workload.StartProtectionTime)
	if job.Record.Spec.Shape == record.Gang {
		for _, assignment := range fresh {
			assignment.ProtectedUntil = until
		}
		return
	}
	var protected *workload.Assignment
	for _, assignment := range fresh {
		if protected == nil || s.Reservations.isFor(assignment.Machine, job.ID()) {
			protected = assignment
		}
	}
	if protected != nil {
		protected.ProtectedUntil = until
	}
}

// reservedForOther tells whether what is free on a machine was reserved for another job that goes
// first.
func (s *Scheduler) reservedForOther(machine ids.Machine, free placement.Resources, job *workload.Job, now time.Time) bool {
	reservation, reserved := s.Reservations.On(machine, now)
	return reserved && reservation.Job != job.ID() && s.outranks(reservation.Job, job, now) &&
		!free.Minus(reservation.Need).Holds(job.Record.Spec.Resources)
}

// outranks tells whether a reservation's job still goes before another one.
func (s *Scheduler) outranks(id ids.Job, job *workload.Job, now time.Time) bool {
	holder := s.Jobs.Get(id)
	if holder == nil || !holder.Schedulable() {
		return false
	}
	return holder.EffectivePriority() >= job.EffectivePriority() || holder.Starving(now) && job.EffectivePriority() < record.Critical
}
