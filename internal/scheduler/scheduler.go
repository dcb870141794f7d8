// Package scheduler assigns tasks to machines. A planning pass ranks the jobs of a shard and, job by
// job, searches for machines, assigns tasks, preempts work of lower priority where nothing has room,
// reserves machines for jobs that starve and keeps teams within their quotas.
//
// Scheduler runs the passes. Each decision has an owner of its own: ranker orders the jobs, admission
// limits how many tasks of a job may be assigned, search finds machines, preemptor and quotaPreemptor
// choose the tasks to stop, machineReserver reserves machines, and assigner combines them.
//
// The package has no lock: the lock of the cluster state that a Scheduler belongs to guards all of it.
// Every method is called under that lock, and so are the methods of Cluster, by which the cluster state
// carries out what is decided here.
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

// Cluster carries out the scheduler's decisions. Its methods are called under the cluster state's lock.
type Cluster interface {
	// StoreAvailable reports whether the state service has answered recently. Nothing is preempted
	// while it has not: what is stopped then could not be started again.
	StoreAvailable() bool
	// FencingToken returns the token that starts carry now.
	FencingToken() ids.Generation
	// Assign adds an assignment to its job, machine and team.
	Assign(assignment *workload.Assignment)
	// MarkersPending is called after a pass has added assignments to a job: their markers have to be stored.
	MarkersPending(job *workload.Job)
	// RecordRestarts records in the job's events which of its lost tasks have new assignments.
	RecordRestarts(job *workload.Job, assigned []*workload.Assignment)
	// Stop requests that a task be stopped, with a grace period in which it may save a checkpoint.
	Stop(assignment *workload.Assignment, grace ids.Seconds, reason string)
	// RecordEvent adds an event to a job.
	RecordEvent(job *workload.Job, format string, args ...any)
	// QuotaForRelocated returns the part of its team's quota that a job must leave to tasks which are
	// being relocated.
	QuotaForRelocated(job *workload.Job) placement.Resources
	// YieldLock releases the cluster state's lock and takes it again, and reports whether planning may
	// go on.
	YieldLock() bool
}

// State is what the scheduler reads of its shard. It changes none of it, except through Cluster and in
// the scheduling fields of jobs.
type State struct {
	Settings  *config.Settings
	Jobs      *workload.Queue
	Machines  *worker.Registry
	Capacity  *capacity.Index
	Quota     *quota.Tracker
	Estimates *estimate.Estimator
}

// reportInterval returns how often workers report.
func (s *State) reportInterval() ids.Seconds { return s.Settings.Params.Workers.ReportS }

// valueBytes returns the size limit of a stored value.
func (s *State) valueBytes() float64 { return s.Settings.Params.State.ValueBytes() }

// Scheduler plans one shard during one term of its leader.
type Scheduler struct {
	*State
	// Reservations are the machines reserved for jobs.
	Reservations *Reservations

	cluster        Cluster
	ranker         *ranker
	admission      *admission
	quotaPreemptor *quotaPreemptor
	reserver       *machineReserver
	assigner       *assigner
	examined       examinedCount
}

// New returns the scheduler of one term.
func New(state State, cluster Cluster, rng *rand.Rand) *Scheduler {
	shared := &state
	reservations := newReservations()
	reservedQuotas := quotaReservations{}
	quotaPreemptor := &quotaPreemptor{State: shared, cluster: cluster, reservations: reservedQuotas}
	admission := &admission{State: shared, cluster: cluster, reservations: reservedQuotas, preemptor: quotaPreemptor}
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
			admission: admission, reserver: reserver, preemptor: preemptor},
	}
}

// Ranked returns the schedulable jobs that have tasks to assign, in the order in which a pass plans
// them: critical jobs first, then those that starve, then those within their team's guarantee, then by
// priority and size. It sets Job.Guaranteed of all schedulable jobs.
func (s *Scheduler) Ranked(now time.Time) []*workload.Job { return s.ranker.ranked(now) }

// QuotaLeft returns how many tasks like those of a spec, at most want, its team's quota has room for.
func (s *Scheduler) QuotaLeft(spec *record.Spec, want int) int {
	return s.admission.quotaLeft(spec, want)
}

// PreemptForOtherShards preempts work of teams whose allowance is owed to a more urgent demand of
// another shard.
func (s *Scheduler) PreemptForOtherShards() { s.quotaPreemptor.preemptForOtherShards() }

// CandidateView describes a node to the placement rules as a candidate for a task of a job. A nil retry stands
// for a task that has not failed.
func (s *Scheduler) CandidateView(node *capacity.Node, machine *worker.Machine, job *workload.Job, retry *workload.Retry, now time.Time) placement.Candidate {
	return s.reserver.view(node, machine, job, retry, now)
}

// MaxExaminedPerLock is how many machines a pass examines before it yields the cluster state's lock.
// Hundreds of jobs that meet thousands of empty machines, or preempt what runs there, would otherwise
// hold the lock, and with it all heartbeats, for longer than a worker waits for its answer. Ending the
// pass there instead does not work: the next one begins with the same jobs, and those behind them are
// never reached.
const MaxExaminedPerLock = 50000

// Run makes one planning pass: it assigns the tasks that have room, in the order of the jobs' ranks. It
// reports whether the pass was completed.
func (s *Scheduler) Run(now time.Time) bool {
	pass := newPlanningPass(now)
	s.examined.lockTaken(0)
	for _, job := range s.Ranked(now) {
		if s.examined.sinceLock(pass.machinesExamined) > MaxExaminedPerLock && !s.yieldLock(pass) {
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

// yieldLock lets heartbeats and commits take the cluster state's lock, and reports whether the pass may
// go on. They may change what the pass has learned, so it drops that.
func (s *Scheduler) yieldLock(pass *planningPass) bool {
	s.examined.lockReleased(pass.machinesExamined)
	mayContinue := s.cluster.YieldLock()
	s.examined.lockTaken(pass.machinesExamined)
	pass.dropFindings()
	return mayContinue
}

// logPendingReason logs why a job is pending when the reason has changed.
func logPendingReason(job *workload.Job) {
	if job.PendingReason == job.LoggedReason {
		return
	}
	job.LoggedReason = job.PendingReason
	slog.Debug("job pending", "class", job.Record.Spec.Class, "job", job.ID(), "why", job.PendingReason,
		"unfinished", job.Unfinished(), "assigned", len(job.Assignments))
}

// MachinesExamined returns how many machines the completed passes have examined, and the most that any
// pass has examined without yielding the lock.
func (s *Scheduler) MachinesExamined() (total, mostPerLock int) {
	return s.examined.total, s.examined.mostPerLock
}

// examinedCount counts the machines that passes examine. Its methods are given the count of the pass
// under way.
type examinedCount struct {
	total       int // by completed passes
	atLock      int // by completed passes and the one under way, when the lock was last taken
	mostPerLock int // the most while the lock was held without a break
}

func (c *examinedCount) lockTaken(inPass int) { c.atLock = c.total + inPass }

func (c *examinedCount) sinceLock(inPass int) int { return c.total + inPass - c.atLock }

func (c *examinedCount) lockReleased(inPass int) {
	c.mostPerLock = max(c.mostPerLock, c.sinceLock(inPass))
}
