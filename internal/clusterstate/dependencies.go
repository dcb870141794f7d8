package clusterstate

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/dependency"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/wait"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// dependencyState is what the leader knows of jobs that await others.
type dependencyState struct {
	graph   *dependency.Graph
	waiting map[ids.Job]*workload.WaitingJob
	lookups map[ids.Job]time.Time // ended jobs of which it is not known how, and when to ask
	// movedLast tells that the last group of changes moved waiting jobs.
	movedLast bool
	// departed are jobs of which a change told, before the records were loaded, that they wait
	// no more: the copy to load may be older. It is nil from then on.
	departed map[ids.Job]ids.Revision
}

func newDependencyState() dependencyState {
	return dependencyState{graph: dependency.New(), waiting: map[ids.Job]*workload.WaitingJob{}, lookups: map[ids.Job]time.Time{},
		departed: map[ids.Job]ids.Revision{}}
}

// HandleWaitingJob takes in a job that awaits others, or that it no longer does; rec is
// nil then.
func (c *State) HandleWaitingJob(id ids.Job, revision ids.Revision, rec *record.Record, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := c.dependencies.waiting[id]
	switch {
	case rec == nil && waiting != nil && revision > waiting.Revision:
		// Its user cancelled it, or it is this leader's own move, whose answer is
		// on its way or lost: then the next try of it finds out.
		if !c.inShard(id) || !c.dependencies.graph.IsReady(id) && c.dependencies.graph.CancelledBy(id) == "" {
			c.removeWaitingJob(waiting)
			c.checkAwaited(id, now)
		}
	case rec == nil && waiting == nil && c.dependencies.departed != nil:
		c.dependencies.departed[id] = revision
	case rec != nil && c.isUnknown(id):
		c.addWaitingJobs(now, &workload.WaitingJob{Record: rec, Revision: revision})
	}
}

// LoadWaitingJobs adds, at a takeover, the jobs that wait; those they await are loaded.
func (c *State) LoadWaitingJobs(records map[ids.Job]*record.Record, revisions map[ids.Job]ids.Revision, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var added []*workload.WaitingJob
	for id, rec := range records {
		if c.isUnknown(id) && c.dependencies.departed[id] <= revisions[id] {
			added = append(added, &workload.WaitingJob{Record: rec, Revision: revisions[id]})
		}
	}
	c.dependencies.departed = nil
	c.addWaitingJobs(now, added...)
}

// isUnknown tells whether nothing is known of a job yet.
func (c *State) isUnknown(id ids.Job) bool {
	return c.dependencies.waiting[id] == nil && c.jobs.Get(id) == nil && !c.jobs.IsRetired(id)
}

func (c *State) addWaitingJobs(now time.Time, added ...*workload.WaitingJob) {
	jobs := make([]dependency.Job, len(added))
	for i, waiting := range added {
		id, spec := waiting.ID(), &waiting.Record.Spec
		c.dependencies.waiting[id] = waiting
		delete(c.dependencies.lookups, id)
		jobs[i] = dependency.Job{ID: id, DependsOn: spec.DependsOn, Duration: c.estimates.JobDuration(spec),
			Urgency: dependency.Urgency{Priority: int(spec.Priority), Deadline: deadline(waiting.Record)}}
	}
	c.applyGraphChanges(c.dependencies.graph.Add(jobs...))
	for _, waiting := range added {
		for _, need := range waiting.Record.Spec.DependsOn {
			c.checkAwaited(need, now)
		}
	}
}

// checkAwaited tells the graph of an awaited job's cancellation that is not stored as
// an end yet, and has it looked up how the job ended if that is not known.
func (c *State) checkAwaited(id ids.Job, now time.Time) {
	if c.dependencies.graph.Outcome(id) != dependency.Unknown {
		return
	}
	job := c.jobs.Get(id)
	if !c.inShard(id) && c.dependencies.waiting[id] == nil {
		c.checkOtherShard(id, now)
		return
	}
	switch {
	case job != nil && job.Cancelled():
		c.cancelDependents(id)
	case job == nil && c.dependencies.waiting[id] == nil, job != nil && job.Ended:
		c.scheduleLookup(id, now)
	}
}

// removeWaitingJob takes a job out of those that wait; those that need it stay indexed.
func (c *State) removeWaitingJob(waiting *workload.WaitingJob) {
	delete(c.dependencies.waiting, waiting.ID())
	c.applyGraphChanges(c.dependencies.graph.Remove(waiting.ID()))
}

// scheduleLookup has it looked up how a job ended.
func (c *State) scheduleLookup(id ids.Job, now time.Time) {
	if _, scheduled := c.dependencies.lookups[id]; !scheduled {
		c.dependencies.lookups[id] = now
	}
}

// scheduleLookupIfAwaited has it looked up how a job ended, if others await it.
func (c *State) scheduleLookupIfAwaited(id ids.Job) {
	if c.dependencies.graph.HasDependents(id) && c.dependencies.graph.Outcome(id) == dependency.Unknown {
		c.scheduleLookup(id, time.Now())
	}
}

// cancelDependents cancels the waiting jobs that need a cancelled one.
func (c *State) cancelDependents(id ids.Job) {
	c.applyGraphChanges(c.dependencies.graph.Cancel(id))
}

// joinDependencies takes in that a job that others may await became claimable.
func (c *State) joinDependencies(job *workload.Job) {
	id := job.Record.Spec.ID
	delete(c.dependencies.lookups, id)
	job.Inherited = c.dependencies.graph.InheritedUrgency(id)
	if job.Cancelled() && c.dependencies.graph.HasDependents(id) {
		c.cancelDependents(id)
	}
}

// jobEnded takes in how a job ended, once that is stored.
func (c *State) jobEnded(id ids.Job, how record.Status) {
	delete(c.dependencies.lookups, id)
	if how != record.Done {
		c.cancelDependents(id)
		return
	}
	c.applyGraphChanges(c.dependencies.graph.Finish(id))
}

// applyGraphChanges takes in what a change of the graph means for claimable jobs, and has what is
// to be stored stored.
func (c *State) applyGraphChanges(changes dependency.Changes) {
	if changes.Resolved {
		wait.Signal(c.commitSignal)
	}
	for _, id := range changes.InheritedChanged {
		if job := c.jobs.Get(id); job != nil {
			job.Inherited = c.dependencies.graph.InheritedUrgency(id)
			wait.Signal(c.planSignal)
		}
	}
}

// refreshDurations takes in that image pulls may take another time than thought.
func (c *State) refreshDurations() {
	c.applyGraphChanges(c.dependencies.graph.UpdateDurations(func(id ids.Job) time.Duration {
		return c.estimates.JobDuration(&c.dependencies.waiting[id].Record.Spec)
	}))
}

// deadline is when a job should be complete; it counts from its submission.
func deadline(rec *record.Record) time.Time {
	if rec.Spec.Deadline <= 0 {
		return time.Time{}
	}
	return rec.Submitted.Time().Add(rec.Spec.Deadline.Duration())
}
