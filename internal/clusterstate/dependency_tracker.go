package clusterstate

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/dependency"
	"github.com/pebbletrail/pebbletrail/internal/estimate"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// dependencyTracker tracks the jobs that wait for other jobs: their records, their dependency graph, and
// the ended jobs whose outcomes are to be looked up. A leader assigns, stores and ends the jobs of its own
// shard only. Jobs may wait for jobs of other shards, so the graph of every leader holds the waiting jobs
// of all shards. A leader learns from its node's copy of the records that a job of another shard was
// cancelled or removed. The cluster state's lock guards the tracker.
type dependencyTracker struct {
	settings  *config.Settings
	shard     ids.Shard
	writer    string
	jobs      *workload.Queue
	changes   *workload.Changes
	estimates *estimate.Estimator
	cluster   dependencyCluster

	graph   *dependency.Graph
	waiting map[ids.Job]*workload.WaitingJob
	// lookups holds the ended jobs whose outcomes are not known, and when to look each one up.
	lookups map[ids.Job]time.Time
	// lastGroupMovedJobs is set if the last group of changes moved waiting jobs.
	lastGroupMovedJobs bool
	// removedBeforeLoad holds the jobs that, according to changes received before the records were loaded,
	// no longer wait: the records to load may be older than these changes. It is nil once the records are
	// loaded.
	removedBeforeLoad map[ids.Job]ids.Revision
}

// dependencyCluster is the part of the cluster state that the tracker uses. Its methods are called with the
// cluster state's lock held.
type dependencyCluster interface {
	// AddJob adds a job that became schedulable.
	AddJob(stored *record.Record, revision ids.Revision, now time.Time)
	// FencingToken returns the generation that this leader writes under.
	FencingToken() ids.Generation
	// StatusInOtherShard returns the status of a live job of another shard; live is false if there is none.
	StatusInOtherShard(id ids.Job) (status record.Status, live bool)
	// RequestCommit requests that changes be stored at once, RequestPlan requests a planning pass.
	RequestCommit()
	RequestPlan()
}

// newDependencyTracker returns the tracker of one term.
func newDependencyTracker(c *State) *dependencyTracker {
	return &dependencyTracker{
		settings:          c.settings,
		shard:             c.shard,
		writer:            c.writer,
		jobs:              c.jobs,
		changes:           c.changes,
		estimates:         c.estimates,
		cluster:           operations{c},
		graph:             dependency.New(),
		waiting:           map[ids.Job]*workload.WaitingJob{},
		lookups:           map[ids.Job]time.Time{},
		removedBeforeLoad: map[ids.Job]ids.Revision{},
	}
}

// inShard reports whether a job belongs to this leader's shard.
func (t *dependencyTracker) inShard(id ids.Job) bool {
	return ids.ShardOf(id, t.settings.ShardCount()) == t.shard
}

// handleWaitingJob implements State.HandleWaitingJob.
func (t *dependencyTracker) handleWaitingJob(id ids.Job, revision ids.Revision, rec *record.Record, now time.Time) {
	waiting := t.waiting[id]
	switch {
	case rec == nil && waiting != nil && revision > waiting.Revision:
		// Either the job's user cancelled it, or its shard's leader moved it. If this leader moved it and
		// the answer is in flight or lost, the job is kept, and the next attempt to move it shows the
		// outcome.
		if !t.inShard(id) || !t.graph.IsReady(id) && t.graph.CancelledBy(id) == "" {
			t.removeWaitingJob(waiting)
			t.checkPrerequisite(id, now)
		}
	case rec == nil && waiting == nil && t.removedBeforeLoad != nil:
		t.removedBeforeLoad[id] = revision
	case rec != nil && t.isUnknown(id):
		t.addWaitingJobs(now, &workload.WaitingJob{Record: rec, Revision: revision})
	}
}

// load implements State.LoadWaitingJobs.
func (t *dependencyTracker) load(records map[ids.Job]*record.Record, revisions map[ids.Job]ids.Revision, now time.Time) {
	var added []*workload.WaitingJob
	for id, rec := range records {
		if t.isUnknown(id) && t.removedBeforeLoad[id] <= revisions[id] {
			added = append(added, &workload.WaitingJob{Record: rec, Revision: revisions[id]})
		}
	}
	t.removedBeforeLoad = nil
	t.addWaitingJobs(now, added...)
}

// isUnknown reports whether this leader does not know a job.
func (t *dependencyTracker) isUnknown(id ids.Job) bool {
	return t.waiting[id] == nil && t.jobs.Get(id) == nil && !t.jobs.IsRetired(id)
}

// addWaitingJobs adds jobs that wait for other jobs.
func (t *dependencyTracker) addWaitingJobs(now time.Time, added ...*workload.WaitingJob) {
	jobs := make([]dependency.Job, len(added))
	for i, waiting := range added {
		id, spec := waiting.ID(), &waiting.Record.Spec
		t.waiting[id] = waiting
		delete(t.lookups, id)
		jobs[i] = dependency.Job{ID: id, DependsOn: spec.DependsOn, Duration: t.estimates.JobDuration(spec),
			Urgency: dependency.Urgency{Priority: int(spec.Priority), Deadline: deadline(waiting.Record)}}
	}
	t.applyGraphChanges(t.graph.Add(jobs...))
	for _, waiting := range added {
		for _, prerequisite := range waiting.Record.Spec.DependsOn {
			t.checkPrerequisite(prerequisite, now)
		}
	}
}

// checkPrerequisite checks a job that waiting jobs depend on, unless its outcome is known. It cancels the
// dependents if the job is cancelled, even if its end is not stored yet, and schedules a lookup of its
// outcome if the job has ended or is not known.
func (t *dependencyTracker) checkPrerequisite(id ids.Job, now time.Time) {
	if t.graph.Outcome(id) != dependency.Unknown {
		return
	}
	job := t.jobs.Get(id)
	if !t.inShard(id) && t.waiting[id] == nil {
		t.checkPrerequisiteInOtherShard(id, now)
		return
	}
	switch {
	case job != nil && job.Cancelled():
		t.cancelDependents(id)
	case job == nil && t.waiting[id] == nil, job != nil && job.Ended:
		t.scheduleLookup(id, now)
	}
}

// checkPrerequisiteInOtherShard does the same as checkPrerequisite for a job of another shard. It schedules
// a lookup once the job is gone from the live records.
func (t *dependencyTracker) checkPrerequisiteInOtherShard(id ids.Job, now time.Time) {
	if t.graph.Outcome(id) != dependency.Unknown {
		return
	}
	status, live := t.cluster.StatusInOtherShard(id)
	switch {
	case !live:
		t.scheduleLookup(id, now)
	case status == record.Cancelling || status == record.Cancelled:
		t.cancelDependents(id)
	}
}

// handleOtherShardChange implements State.HandleOtherShardChange.
func (t *dependencyTracker) handleOtherShardChange(id ids.Job, now time.Time) {
	if t.graph.HasDependents(id) {
		t.checkPrerequisite(id, now)
	}
}

// removeWaitingJob removes a job from the waiting ones; the graph keeps its dependents.
func (t *dependencyTracker) removeWaitingJob(waiting *workload.WaitingJob) {
	delete(t.waiting, waiting.ID())
	t.applyGraphChanges(t.graph.Remove(waiting.ID()))
}

// cancelDependents cancels the waiting jobs that depend on a cancelled job.
func (t *dependencyTracker) cancelDependents(id ids.Job) {
	t.applyGraphChanges(t.graph.Cancel(id))
}

// handleAddedJob updates the tracker for a job that became schedulable and that waiting jobs may depend on.
func (t *dependencyTracker) handleAddedJob(job *workload.Job) {
	id := job.Record.Spec.ID
	delete(t.lookups, id)
	job.Inherited = t.graph.InheritedUrgency(id)
	if job.Cancelled() && t.graph.HasDependents(id) {
		t.cancelDependents(id)
	}
}

// recordOutcome records how a job ended, once that is stored.
func (t *dependencyTracker) recordOutcome(id ids.Job, status record.Status) {
	delete(t.lookups, id)
	if status != record.Done {
		t.cancelDependents(id)
		return
	}
	t.applyGraphChanges(t.graph.Finish(id))
}

// applyGraphChanges requests a commit if a change of the graph made waiting jobs ready or cancelled them,
// and updates the urgency that schedulable jobs inherit.
func (t *dependencyTracker) applyGraphChanges(changes dependency.Changes) {
	if changes.Resolved {
		t.cluster.RequestCommit()
	}
	for _, id := range changes.InheritedChanged {
		if job := t.jobs.Get(id); job != nil {
			job.Inherited = t.graph.InheritedUrgency(id)
			t.cluster.RequestPlan()
		}
	}
}

// refreshDurations updates the estimated durations of the waiting jobs, since the time for image pulls may
// have changed.
func (t *dependencyTracker) refreshDurations() {
	t.applyGraphChanges(t.graph.UpdateDurations(func(id ids.Job) time.Duration {
		return t.estimates.JobDuration(&t.waiting[id].Record.Spec)
	}))
}

// deadline returns when a job should be complete, counted from its submission; zero if it has no deadline.
func deadline(rec *record.Record) time.Time {
	if rec.Spec.Deadline <= 0 {
		return time.Time{}
	}
	return rec.Submitted.Time().Add(rec.Spec.Deadline.Duration())
}
