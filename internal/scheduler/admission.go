package scheduler

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// admission limits how many tasks of a job may be assigned: the team's quota must cover them and their
// assignments must fit into the job's stored record.
type admission struct {
	*State
	cluster      Cluster
	records      *recordRoom
	reservations quotaReservations
	preemptor    *quotaPreemptor
}

// limit returns how many of a job's unassigned tasks may be assigned now, the last ones only if the record
// still fits. If the quota or the estimated size of the record allows none, reason explains it.
func (a *admission) limit(job *workload.Job, unassigned int, allowance recordAllowance, pass *planningPass) (limit int, reason string) {
	quotaLimit := a.allowedByQuota(job, unassigned, pass.now)
	recordLimit := allowance.total()
	limit = min(unassigned, quotaLimit, recordLimit)
	if job.Failing() {
		limit = min(limit, 1)
	}
	switch {
	case recordLimit <= 0:
		reason = "as many of its tasks are under way as a record of the state service holds"
	case quotaLimit <= 0 && job.RecordFull():
		reason = job.Room.Reason
	case quotaLimit <= 0:
		pass.addQuotaDemand(job, min(unassigned, recordLimit))
		reason = a.preemptForQuota(job, unassigned, pass.now)
	}
	return limit, reason
}

// tasksWithinQuota implements Scheduler.TasksWithinQuota.
func (a *admission) tasksWithinQuota(spec *record.Spec, want int) int {
	return a.Quota.Available(spec.Team).CountFitting(spec.Resources, want)
}

// allowedByQuota returns how many tasks of a job, at most want, its team's quota allows, without the
// parts reserved for jobs of higher priority and for tasks that are being relocated.
func (a *admission) allowedByQuota(job *workload.Job, want int, now time.Time) int {
	spec := &job.Record.Spec
	left := a.Quota.Available(spec.Team).Minus(a.reservations.withheldFrom(job, now)).Minus(a.cluster.QuotaForRelocated(job))
	return left.CountFitting(spec.Resources, want)
}

// preemptForQuota preempts tasks of lower priority in the job's team if that is allowed, and explains why
// the team's quota does not allow the job's tasks now.
func (a *admission) preemptForQuota(job *workload.Job, tasks int, now time.Time) string {
	reason := a.Quota.Explain(job.Record.Spec.Team)
	if a.preemptor.preemptFor(job, tasks, now) {
		reason += "; lesser work of its own makes way"
	}
	return reason
}

// quotaReservations holds at most one reservation for each team. Without a reservation, the quota that
// preemption frees for a pending job would go to the team's jobs of lower priority again, and the pending
// job would never start.
type quotaReservations map[string]quotaReservation

// quotaReservation reserves a part of a team's quota for a job.
type quotaReservation struct {
	job       *workload.Job
	need      placement.Resources
	expiresAt time.Time
}

// quotaReservationTime is the time after which a reservation expires unless it is renewed.
const quotaReservationTime = 2 * time.Second

// set reserves a part of the quota of a job's team for the job.
func (r quotaReservations) set(job *workload.Job, need placement.Resources, now time.Time) {
	r[job.Record.Spec.Team] = quotaReservation{job: job, need: need, expiresAt: now.Add(quotaReservationTime)}
}

// withheldFrom returns the part of its team's quota that a job must not use, because it is reserved for
// a job of higher priority.
func (r quotaReservations) withheldFrom(job *workload.Job, now time.Time) placement.Resources {
	reserved, found := r[job.Record.Spec.Team]
	if !found || reserved.job == job || !reserved.expiresAt.After(now) || !reserved.job.Schedulable() ||
		job.EffectivePriority() >= reserved.job.EffectivePriority() {
		return placement.Resources{}
	}
	return reserved.need
}
