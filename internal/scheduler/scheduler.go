// Package scheduler assigns tasks to machines. A planning pass ranks the jobs of a shard and processes
// them in that order: it searches for machines, assigns tasks, preempts tasks of lower priority if no
// machine has room, reserves machines for starving jobs and keeps teams within their quotas.
//
// Scheduler runs the passes. Each kind of decision has its own type: ranker orders the jobs, admission
// limits how many tasks of a job may be assigned, search finds machines, preemptor and quotaPreemptor
// choose the tasks to stop, machineReserver reserves machines, and assigner combines these decisions.
//
// The package has no lock of its own. The lock of the cluster state that owns a Scheduler guards all of
// the Scheduler's data: every method is called while that lock is held, and so are the methods of
// Cluster, through which the cluster state executes the scheduler's decisions.
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
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Cluster executes the scheduler's decisions. Its methods are called while the cluster state's lock is
// held.
type Cluster interface {
	// StoreAvailable reports whether the state service has answered recently. While it has not, no task
	// is preempted, because a stopped task could not be started again.
	StoreAvailable() bool
	// FencingToken returns the fencing token that the current leader sends with each task start.
	FencingToken() ids.Generation
	// Assign registers an assignment with its job and machine and counts it in its team's quota usage.
	Assign(assignment *workload.Assignment)
	// MarkersPending is called after a pass has added assignments to a job. It requests that the
	// assignments' markers are stored: no task is started before its marker is.
	MarkersPending(job *workload.Job)
	// RecordSize returns the least size in bytes of a job's record with planned assignments in addition to
	// the present ones.
	RecordSize(job *workload.Job, planned []record.TaskAssignment) (int, error)
	// ShrinkRecord makes room in a job's record that can't hold a single assignment.
	ShrinkRecord(job *workload.Job)
	// RecordRestarts adds an event to a job if lost tasks of the job were assigned again.
	RecordRestarts(job *workload.Job, assigned []*workload.Assignment)
	// Stop requests that a task is stopped, with a grace period in which the task may save a checkpoint.
	Stop(assignment *workload.Assignment, grace ids.Seconds, reason string)
	// RecordEvent adds an event to a job.
	RecordEvent(job *workload.Job, format string, args ...any)
	// QuotaForRelocated returns the part of the team's quota that a job must leave free for tasks that
	// are being relocated to other machines.
	QuotaForRelocated(job *workload.Job) placement.Resources
	// YieldLock releases the cluster state's lock, acquires it again, and reports whether planning may
	// continue.
	YieldLock() bool
}

// State holds the data of a shard that the scheduler reads. The scheduler changes this data only through
// Cluster, except for the scheduling fields of jobs, which it sets itself.
type State struct {
	Settings  *config.Settings
	Jobs      *workload.Queue
	Machines  *worker.Registry
	Capacity  *capacity.Index
	Quota     *quota.Tracker
	Estimates *estimate.Estimator
}

// reportInterval returns the time between two reports of a worker.
func (s *State) reportInterval() ids.Seconds { return s.Settings.Params.Workers.ReportS }

// valueBytes returns the size limit, in bytes, of a value in the state service.
func (s *State) valueBytes() float64 { return s.Settings.Params.State.ValueBytes() }

// valueLimit returns the same limit in whole bytes, with which encoded records are compared.
func (s *State) valueLimit() int { return int(s.valueBytes()) }

// Scheduler plans the tasks of one shard during one term of the shard's leader.
type Scheduler struct {
	*State
	// Reservations holds the machines that are reserved for jobs.
	Reservations *Reservations

	cluster        Cluster
	ranker         *ranker
	admission      *admission
	quotaPreemptor *quotaPreemptor
	reserver       *machineReserver
	assigner       *assigner
	examined       examinedCount
}

// New returns the scheduler for one term of a shard's leader.
func New(state State, cluster Cluster, rng *rand.Rand) *Scheduler {
	shared := &state
	reservations := newReservations()
	reservedQuotas := quotaReservations{}
	quotaPreemptor := &quotaPreemptor{State: shared, cluster: cluster, reservations: reservedQuotas}
	records := &recordRoom{State: shared, cluster: cluster}
	admission := &admission{State: shared, cluster: cluster, records: records, reservations: reservedQuotas, preemptor: quotaPreemptor}
	reserver := &machineReserver{State: shared, cluster: cluster, reservations: reservations}
	preemptor := &preemptor{State: shared, cluster: cluster, rng: rng, reservations: reservations}
	return &Scheduler{
		State:          shared,
		Reservations:   reservations,
		cluster:        cluster,
		ranker:         &ranker{shared},
		admission:      admission,
		quotaPreemptor: quotaPreemptor,
		reserver:       reserver,
		assigner: &assigner{State: shared, cluster: cluster, rng: rng, reservations: reservations,
			records: records, admission: admission, reserver: reserver, preemptor: preemptor},
	}
}

// Ranked returns the schedulable jobs that have unassigned tasks, in the order in which a pass plans
// them: critical jobs first, then starving jobs, then jobs within their team's guarantee, then by
// priority and size; failing jobs come last. It also sets Job.Guaranteed of all schedulable jobs.
func (s *Scheduler) Ranked(now time.Time) []*workload.Job { return s.ranker.ranked(now) }

// TasksWithinQuota returns how many more tasks of a job spec, at most want, the quota of its team allows.
func (s *Scheduler) TasksWithinQuota(spec *record.Spec, want int) int {
	return s.admission.tasksWithinQuota(spec, want)
}

// PreemptForOtherShards preempts tasks of teams that have to give up a part of this shard's quota
// allowance to a more urgent demand in another shard.
func (s *Scheduler) PreemptForOtherShards() { s.quotaPreemptor.preemptForOtherShards() }

// CandidateView describes a node as a placement candidate for a task of a job. A nil retry means that
// the task has not failed before.
func (s *Scheduler) CandidateView(node *capacity.Node, machine *worker.Machine, job *workload.Job, retry *workload.Retry, now time.Time) placement.Candidate {
	return s.reserver.taskCandidate(node, machine, job, retry, now)
}

// MaxExaminedPerLock is the number of machines that a pass examines before it yields the cluster state's
// lock. Without a limit, assigning hundreds of jobs to thousands of empty machines, or preempting the tasks
// on them, would hold the lock, and thereby block all heartbeats, for longer than a worker waits for its
// answer. The pass must not end at the limit: the next pass would begin with the same jobs and never reach
// the jobs of lower rank.
const MaxExaminedPerLock = 50000

// Run makes one planning pass: it assigns tasks, in the order of their jobs' ranks, to the machines that
// have room for them. It reports whether the pass was completed.
func (s *Scheduler) Run(now time.Time) bool {
	pass := newPlanningPass(now)
	s.examined.lockAcquired(0)
	for _, job := range s.Ranked(now) {
		if s.examined.sinceLockAcquired(pass.machinesExamined) > MaxExaminedPerLock && !s.yieldLock(pass) {
			return false
		}
		if !s.Jobs.Contains(job) {
			continue
		}
		s.assigner.assign(job, pass)
		logPendingReason(job)
	}
	s.Quota.SetDemands(pass.quotaDemands)
	s.examined.lockReleased(pass.machinesExamined)
	s.examined.total += pass.machinesExamined
	return true
}

// yieldLock lets heartbeats and commits acquire the cluster state's lock, and reports whether the pass
// may continue. It clears the cached search results of the pass, since machines and assignments may
// change meanwhile.
func (s *Scheduler) yieldLock(pass *planningPass) bool {
	s.examined.lockReleased(pass.machinesExamined)
	mayContinue := s.cluster.YieldLock()
	s.examined.lockAcquired(pass.machinesExamined)
	pass.clearCachedResults()
	return mayContinue
}

// logPendingReason logs why a job is pending if the reason differs from the last one logged.
func logPendingReason(job *workload.Job) {
	if job.PendingReason == job.LoggedReason {
		return
	}
	job.LoggedReason = job.PendingReason
	slog.Debug("pending reason of job changed", "class", job.Record.Spec.Class, "job", job.ID(), "why", job.PendingReason,
		"unfinished", job.Unfinished(), "assigned", len(job.Assignments))
}

// MachinesExamined returns the number of machines that all completed passes have examined, and the
// highest number that a pass has examined without yielding the lock.
func (s *Scheduler) MachinesExamined() (total, mostPerLock int) {
	return s.examined.total, s.examined.mostPerLock
}

// examinedCount counts the machines that passes examine. The argument of its methods is the number that
// the current pass has examined so far.
type examinedCount struct {
	total       int // in completed passes
	totalAtLock int // in completed passes and the current one, when the lock was last acquired
	mostPerLock int // maximum between acquiring and releasing the lock
}

func (c *examinedCount) lockAcquired(examinedInPass int) { c.totalAtLock = c.total + examinedInPass }

func (c *examinedCount) sinceLockAcquired(examinedInPass int) int {
	return c.total + examinedInPass - c.totalAtLock
}

func (c *examinedCount) lockReleased(examinedInPass int) {
	c.mostPerLock = max(c.mostPerLock, c.sinceLockAcquired(examinedInPass))
}
