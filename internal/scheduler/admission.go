package scheduler

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// admission limits how many tasks of a job may be assigned, by its team's quota and the size of its
// record.
type admission struct {
	*State
	cluster      Cluster
	reservations quotaReservations
	preemptor    *quotaPreemptor
}

// limit returns how many of a job's unassigned tasks may be assigned now, and if that is none why.
func (a *admission) limit(job *workload.Job, unassigned int, pass *planningPass) (limit int, reason string) {
	allowed := a.allowedByQuota(job, unassigned, pass.now)
	fitRecord := job.MaxAssignedTasks(a.valueBytes()) - len(job.Assignments)
	limit = min(unassigned, allowed, fitRecord)
	if job.Failing() {
		limit = min(limit, 1)
	}
	switch {
	case fitRecord <= 0:
		reason = "as many of its tasks are under way as a record of the state service holds"
	case allowed <= 0:
		pass.addQuotaDemand(job, min(unassigned, fitRecord))
		reason = a.quotaReason(job, unassigned, pass.now)
	}
	return limit, reason
}

// quotaLeft implements Scheduler.QuotaLeft.
func (a *admission) quotaLeft(spec *record.Spec, want int) int {
	return a.Quota.Available(spec.Team).CountFitting(spec.Resources, want)
}

// allowedByQuota returns how many tasks of a job, at most want, its team's quota has room for beside
// what is reserved for jobs of higher priority and for tasks that are being relocated.
func (a *admission) allowedByQuota(job *workload.Job, want int, now time.Time) int {
	spec := &job.Record.Spec
	left := a.Quota.Available(spec.Team).Minus(a.reservations.reservedFrom(job, now)).Minus(a.cluster.QuotaForRelocated(job))
	return left.CountFitting(spec.Resources, want)
}

// quotaReason explains why a team's quota has no room for a job's tasks, after it has preempted work of
// lower priority in the team where that is allowed.
func (a *admission) quotaReason(job *workload.Job, tasks int, now time.Time) string {
	reason := a.Quota.Explain(job.Record.Spec.Team)
	if a.preemptor.preemptFor(job, tasks, now) {
		reason += "; lesser work of its own makes way"
	}
	return reason
}

// quotaReservations are kept by team, one each. Without one, quota that is freed for a pending job would
// go to the team's lesser jobs again, and the pending job would never start.
type quotaReservations map[string]quotaReservation

// quotaReservation is a part of its team's quota that is kept for a job.
type quotaReservation struct {
	job   *workload.Job
	need  placement.Resources
	until time.Time
}

// quotaReservationTime is how long a reservation lasts unless it is renewed.
const quotaReservationTime = 2 * time.Second

// set reserves quota of a job's team for the job.
func (r quotaReservations) set(job *workload.Job, need placement.Resources, now time.Time) {
	r[job.Record.Spec.Team] = quotaReservation{job: job, need: need, until: now.Add(quotaReservationTime)}
}

// reservedFrom returns what a job must leave of its team's quota to a job of higher priority.
func (r quotaReservations) reservedFrom(job *workload.Job, now time.Time) placement.Resources {
	reserved, found := r[job.Record.Spec.Team]
	if !found || reserved.job == job || !reserved.until.After(now) || !reserved.job.Schedulable() ||
		job.EffectivePriority() >= reserved.job.EffectivePriority() {
		return placement.Resources{}
	}
	return reserved.need
}
