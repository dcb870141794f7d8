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

// dependencyTracker keeps the jobs that wait for others: their graph, their records, and which ended jobs are
// to be looked up. A leader assigns, stores and ends the jobs of its own shard only. Jobs may wait for jobs of
// other shards, so the graph of every leader holds the waiting jobs of all shards; of a job of another shard it
// learns from its node's copy of the records that it was cancelled or went away. The cluster state's lock guards
// it.
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
	// lookups are the ended jobs of which it is not known how they ended, and when to look them up.
	lookups map[ids.Job]time.Time
	// movedLast tells that the last group of changes moved waiting jobs.
	movedLast bool
	// departed are the jobs of which a change told, before the records were loaded, that they wait no more: the
	// copy to load may be older. It is nil from then on.
	departed map[ids.Job]ids.Revision
}

// dependencyCluster is what the tracker asks of the cluster state, under its lock.
type dependencyCluster interface {
	// AddJob adds a job that became schedulable.
	AddJob(stored *record.Record, revision ids.Revision, now time.Time)
	// FencingToken is the generation that this leader writes under.
	FencingToken() ids.Generation
	// StatusInOtherShard is the status of a live job of another shard; live is false if there is none.
	StatusInOtherShard(id ids.Job) (status record.Status, live bool)
	// RequestCommit has changes stored at once, RequestPlan has planning look again.
	RequestCommit()
	RequestPlan()
}

// newDependencyTracker makes the tracker of one term.
func newDependencyTracker(c *State) *dependencyTracker {
	return &dependencyTracker{
		settings:  c.settings,
		shard:     c.shard,
		writer:    c.writer,
		jobs:      c.jobs,
		changes:   c.changes,
		estimates: c.estimates,
		cluster:   operations{c},
		graph:     dependency.New(),
		waiting:   map[ids.Job]*workload.WaitingJob{},
		lookups:   map[ids.Job]time.Time{},
		departed:  map[ids.Job]ids.Revision{},
	}
}

// inShard tells whether a job belongs to this leader's shard.
func (t *dependencyTracker) inShard(id ids.Job) bool {
	return ids.ShardOf(id, t.settings.ShardCount()) == t.shard
}

// handleWaitingJob implements State.HandleWaitingJob.
func (t *dependencyTracker) handleWaitingJob(id ids.Job, revision ids.Revision, rec *record.Record, now time.Time) {
	waiting := t.waiting[id]
	switch {
	case rec == nil && waiting != nil && revision > waiting.Revision:
		// Its user cancelled it, or it is this leader's own move, whose answer is
		// on its way or lost: then the next try of it finds out.
		if !t.inShard(id) || !t.graph.IsReady(id) && t.graph.CancelledBy(id) == "" {
			t.removeWaitingJob(waiting)
			t.checkAwaited(id, now)
		}
	case rec == nil && waiting == nil && t.departed != nil:
		t.departed[id] = revision
	case rec != nil && t.isUnknown(id):
		t.addWaitingJobs(now, &workload.WaitingJob{Record: rec, Revision: revision})
	}
}

// load implements State.LoadWaitingJobs.
func (t *dependencyTracker) load(records map[ids.Job]*record.Record, revisions map[ids.Job]ids.Revision, now time.Time) {
	var added []*workload.WaitingJob
	for id, rec := range records {
		if t.isUnknown(id) && t.departed[id] <= revisions[id] {
			added = append(added, &workload.WaitingJob{Record: rec, Revision: revisions[id]})
		}
	}
	t.departed = nil
	t.addWaitingJobs(now, added...)
}

// isUnknown tells whether nothing is known of a job yet.
func (t *dependencyTracker) isUnknown(id ids.Job) bool {
	return t.waiting[id] == nil && t.jobs.Get(id) == nil && !t.jobs.IsRetired(id)
}

// addWaitingJobs adds jobs that wait for others.
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
		for _, need := range waiting.Record.Spec.DependsOn {
			t.checkAwaited(need, now)
		}
	}
}

// checkAwaited tells the graph of an awaited job's cancellation that is not stored as
// an end yet, and has it looked up how the job ended if that is not known.
func (t *dependencyTracker) checkAwaited(id ids.Job, now time.Time) {
	if t.graph.Outcome(id) != dependency.Unknown {
		return
	}
	job := t.jobs.Get(id)
	if !t.inShard(id) && t.waiting[id] == nil {
		t.checkOtherShard(id, now)
		return
	}
	switch {
	case job != nil && job.Cancelled():
		t.cancelDependents(id)
	case job == nil && t.waiting[id] == nil, job != nil && job.Ended:
		t.scheduleLookup(id, now)
	}
}

// checkOtherShard tells the graph of the cancellation of an awaited job of another shard, and
// has it looked up how the job ended once it is gone from the records.
func (t *dependencyTracker) checkOtherShard(id ids.Job, now time.Time) {
	if t.graph.Outcome(id) != dependency.Unknown {
		return
	}
	how, live := t.cluster.StatusInOtherShard(id)
	switch {
	case !live:
		t.scheduleLookup(id, now)
	case how == record.Cancelling || how == record.Cancelled:
		t.cancelDependents(id)
	}
}

// handleOtherShardChange implements State.HandleOtherShardChange.
func (t *dependencyTracker) handleOtherShardChange(id ids.Job, now time.Time) {
	if t.graph.HasDependents(id) {
		t.checkAwaited(id, now)
	}
}

// removeWaitingJob takes a job out of those that wait; those that need it stay indexed.
func (t *dependencyTracker) removeWaitingJob(waiting *workload.WaitingJob) {
	delete(t.waiting, waiting.ID())
	t.applyGraphChanges(t.graph.Remove(waiting.ID()))
}

// cancelDependents cancels the waiting jobs that need a cancelled one.
func (t *dependencyTracker) cancelDependents(id ids.Job) {
	t.applyGraphChanges(t.graph.Cancel(id))
}

// join takes in that a job that others may await became claimable.
func (t *dependencyTracker) join(job *workload.Job) {
	id := job.Record.Spec.ID
	delete(t.lookups, id)
	job.Inherited = t.graph.InheritedUrgency(id)
	if job.Cancelled() && t.graph.HasDependents(id) {
		t.cancelDependents(id)
	}
}

// jobEnded takes in how a job ended, once that is stored.
func (t *dependencyTracker) jobEnded(id ids.Job, how record.Status) {
	delete(t.lookups, id)
	if how != record.Done {
		t.cancelDependents(id)
		return
	}
	t.applyGraphChanges(t.graph.Finish(id))
}

// applyGraphChanges takes in what a change of the graph means for claimable jobs, and has what is
// to be stored stored.
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

// refreshDurations takes in that image pulls may take another time than thought.
func (t *dependencyTracker) refreshDurations() {
	t.applyGraphChanges(t.graph.UpdateDurations(func(id ids.Job) time.Duration {
		return t.estimates.JobDuration(&t.waiting[id].Record.Spec)
	}))
}

// deadline is when a job should be complete; it counts from its submission.
func deadline(rec *record.Record) time.Time {
	if rec.Spec.Deadline <= 0 {
		return time.Time{}
	}
	return rec.Submitted.Time().Add(rec.Spec.Deadline.Duration())
}
