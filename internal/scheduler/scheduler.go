// Package scheduler decides which tasks are assigned to which machines: it ranks the jobs, searches
// candidates, assigns gangs whole or not at all, preempts lesser work, reserves machines for jobs that
// starve and keeps teams within their quotas. It takes no lock: internal/clusterstate's State guards
// what it works on, carries out what it decides and calls it under its own lock.
package scheduler

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/estimate"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Cluster is what the scheduler asks of the cluster state. All of it is called under that one's lock.
type Cluster interface {
	// StoreAvailable tells whether the store has answered just now: while it does not, nothing that
	// is stopped could be started again.
	StoreAvailable() bool
	// FencingToken is what starts go out under now.
	FencingToken() ids.Generation
	// Assign puts an assignment on the books.
	Assign(assignment *workload.Assignment)
	// Assigned tells that a pass gave a job new assignments, whose markers are to be stored.
	Assigned(job *workload.Job)
	// Restarted tells which tasks were assigned anew, for the job's trail.
	Restarted(job *workload.Job, assigned []*workload.Assignment)
	// Stop asks for a task to be stopped, with a grace period in which it may save.
	Stop(assignment *workload.Assignment, grace ids.Seconds, reason string)
	// RecordEvent adds a line to a job's trail.
	RecordEvent(job *workload.Job, format string, args ...any)
	// QuotaForRelocated is what a job must leave of its team's quota to tasks that are moved.
	QuotaForRelocated(job *workload.Job) placement.Resources
	// YieldLock lets others at the cluster state for a moment; it tells whether planning may go on.
	YieldLock() bool
}

// State is what the scheduler reads of the shard; it changes none of it but by Cluster.
type State struct {
	Settings  *config.Settings
	Jobs      *workload.Queue
	Machines  *worker.Registry
	Capacity  *capacity.Index
	Quota     *quota.Tracker
	Estimates *estimate.Estimator
}

// Scheduler plans for one shard.
type Scheduler struct {
	State
	cluster Cluster
	rng     *rand.Rand
	// Reservations are machines kept for jobs.
	Reservations *Reservations
	// quotaReservations keep room of teams' quotas for jobs, by team.
	quotaReservations map[string]quotaReservation
	examined          examinedCount
}

// examinedCount counts how many machines planning looked at: in all, when it last took the lock, and
// the most while it held it once.
type examinedCount struct{ total, atLock, mostPerLock int }

// New makes the scheduler of one term.
func New(state State, cluster Cluster, rng *rand.Rand) *Scheduler {
	return &Scheduler{State: state, cluster: cluster, rng: rng, Reservations: newReservations(), quotaReservations: map[string]quotaReservation{}}
}

// MachinesExamined is how many machines planning has looked at so far, and the most of them while it
// held the lock once.
func (s *Scheduler) MachinesExamined() (total, mostPerLock int) {
	return s.examined.total, s.examined.mostPerLock
}

// MaxExaminedPerLock is after how many looks at machines a pass lets others at the cluster state
// before it goes on. Hundreds of jobs that meet thousands of empty machines, or preempt what runs
// there, would otherwise hold it, and with it all heartbeats, for longer than a worker waits for its
// answer. To end the pass instead was tried: the next one began with the same jobs, and those behind
// them waited.
const MaxExaminedPerLock = 50000

// Run is one planning pass: it assigns what there is room for, in the order of the jobs' ranks. It
// tells whether it went through to its end.
func (s *Scheduler) Run(now time.Time) bool {
	pass := newPass(now)
	s.examined.atLock = s.examined.total
	for _, job := range s.Ranked(now) {
		if s.examined.total+pass.machinesExamined-s.examined.atLock > MaxExaminedPerLock && !s.yieldLock(pass) {
			return false
		}
		if !s.Jobs.Holds(job) {
			continue
		}
		s.assign(job, pass)
		logPendingReason(job)
	}
	s.Quota.SetDemands(pass.quotaDemands)
	s.countExamined(pass)
	s.examined.total += pass.machinesExamined
	return true
}

// logPendingReason logs why a job waits when that has changed.
func logPendingReason(job *workload.Job) {
	if job.PendingReason == job.LoggedReason {
		return
	}
	job.LoggedReason = job.PendingReason
	slog.Debug("job pending", "class", job.Record.Spec.Class, "job", job.ID(), "why", job.PendingReason,
		"unfinished", job.Unfinished(), "assigned", len(job.Assignments))
}

// yieldLock lets others at the cluster state. What the pass has found out may be otherwise afterwards,
// so it is found out again. It tells whether the pass may go on.
func (s *Scheduler) yieldLock(pass *Pass) bool {
	s.countExamined(pass)
	goOn := s.cluster.YieldLock()
	s.examined.atLock = s.examined.total + pass.machinesExamined
	pass.forget()
	return goOn
}

// countExamined notes how many machines were looked at since the lock was taken.
func (s *Scheduler) countExamined(pass *Pass) {
	s.examined.mostPerLock = max(s.examined.mostPerLock, s.examined.total+pass.machinesExamined-s.examined.atLock)
}

// reportInterval is how often workers report.
func (s *Scheduler) reportInterval() ids.Seconds { return s.Settings.Params.Workers.ReportS }
