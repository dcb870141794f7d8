package claim

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/dependency"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// waiting is the record of a job that awaits others, in the leader's memory.
type waiting struct {
	rec   *record.Record
	stamp ids.Revision
}

func (w *waiting) id() ids.Job { return w.rec.Spec.ID }

// pipelines is what the leader knows of jobs that await others.
type pipelines struct {
	graph  *dependency.Graph
	waits  map[ids.Job]*waiting
	lookUp map[ids.Job]time.Time // ended jobs of which it is not known how, and when to ask
	// left are jobs of which news told, before the records were loaded, that they wait
	// no more: the copy to load may be older. It is nil from then on.
	left map[ids.Job]ids.Revision
}

func newPipelines() pipelines {
	return pipelines{graph: dependency.New(), waits: map[ids.Job]*waiting{}, lookUp: map[ids.Job]time.Time{},
		left: map[ids.Job]ids.Revision{}}
}

// LearnWaiting takes in a job that awaits others, or that it no longer does; rec is
// nil then.
func (b *ClusterState) LearnWaiting(id ids.Job, stamp ids.Revision, rec *record.Record, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.pipes.waits[id]
	switch {
	case rec == nil && w != nil && stamp > w.stamp:
		// Its user cancelled it, or it is this leader's own move, whose answer is
		// on its way or lost: then the next try of it finds out.
		if !b.mine(id) || !b.pipes.graph.IsReady(id) && b.pipes.graph.CancelledBy(id) == "" {
			b.unwait(w)
			b.checkAwaited(id, now)
		}
	case rec == nil && w == nil && b.pipes.left != nil:
		b.pipes.left[id] = stamp
	case rec != nil && b.newWaiting(id):
		b.addWaiting(now, &waiting{rec, stamp})
	}
}

// LoadWaiting adds, at a takeover, the jobs that wait; those they await are loaded.
func (b *ClusterState) LoadWaiting(recs map[ids.Job]*record.Record, stamps map[ids.Job]ids.Revision, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var added []*waiting
	for id, r := range recs {
		if b.newWaiting(id) && b.pipes.left[id] <= stamps[id] {
			added = append(added, &waiting{r, stamps[id]})
		}
	}
	b.pipes.left = nil
	b.addWaiting(now, added...)
}

// newWaiting tells whether nothing is known of a job yet.
func (b *ClusterState) newWaiting(id ids.Job) bool {
	return b.pipes.waits[id] == nil && b.jobs[id] == nil && !b.gone[id]
}

func (b *ClusterState) addWaiting(now time.Time, added ...*waiting) {
	jobs := make([]dependency.Job, len(added))
	for i, w := range added {
		id, s := w.id(), &w.rec.Spec
		b.pipes.waits[id] = w
		delete(b.pipes.lookUp, id)
		jobs[i] = dependency.Job{ID: id, Awaits: s.Awaits, Duration: b.duration(s),
			Urgency: dependency.Urgency{Priority: int(s.Priority), Deadline: deadline(w.rec)}}
	}
	b.apply(b.pipes.graph.Add(jobs...))
	for _, w := range added {
		for _, need := range w.rec.Spec.Awaits {
			b.checkAwaited(need, now)
		}
	}
}

// checkAwaited tells the graph of an awaited job's cancellation that is not stored as
// an end yet, and has it looked up how the job ended if that is not known.
func (b *ClusterState) checkAwaited(id ids.Job, now time.Time) {
	if b.pipes.graph.Outcome(id) != dependency.Unknown {
		return
	}
	j := b.jobs[id]
	if !b.mine(id) && b.pipes.waits[id] == nil {
		b.checkElsewhere(id, now)
		return
	}
	switch {
	case j != nil && j.cancelled():
		b.cancelDependents(id)
	case j == nil && b.pipes.waits[id] == nil, j != nil && j.ended:
		b.ask(id, now)
	}
}

// unwait takes a job out of those that wait; those that need it stay indexed.
func (b *ClusterState) unwait(w *waiting) {
	delete(b.pipes.waits, w.id())
	b.apply(b.pipes.graph.Remove(w.id()))
}

// ask has it looked up how a job ended.
func (b *ClusterState) ask(id ids.Job, now time.Time) {
	if _, asked := b.pipes.lookUp[id]; !asked {
		b.pipes.lookUp[id] = now
	}
}

// askIfAwaited has it looked up how a job ended, if others await it.
func (b *ClusterState) askIfAwaited(id ids.Job) {
	if b.pipes.graph.Awaited(id) && b.pipes.graph.Outcome(id) == dependency.Unknown {
		b.ask(id, time.Now())
	}
}

// cancelDependents cancels the waiting jobs that need a cancelled one.
func (b *ClusterState) cancelDependents(id ids.Job) { b.apply(b.pipes.graph.Cancel(id)) }

// joinPipelines takes in that a job that others may await became claimable.
func (b *ClusterState) joinPipelines(j *Job) {
	id := j.Rec.Spec.ID
	delete(b.pipes.lookUp, id)
	j.inherited = b.pipes.graph.Inherited(id)
	if j.cancelled() && b.pipes.graph.Awaited(id) {
		b.cancelDependents(id)
	}
}

// finally takes in how a job ended, once that is stored.
func (b *ClusterState) finally(id ids.Job, how record.Status) {
	delete(b.pipes.lookUp, id)
	if how != record.Done {
		b.cancelDependents(id)
		return
	}
	b.apply(b.pipes.graph.Finish(id))
}

// apply takes in what a change of the graph means for claimable jobs, and has what is
// to be stored stored.
func (b *ClusterState) apply(changes dependency.Changes) {
	if changes.Resolved {
		poke(b.wakeCommit)
	}
	for _, id := range changes.Inherited {
		if j := b.jobs[id]; j != nil {
			j.inherited = b.pipes.graph.Inherited(id)
			poke(b.wakePlan)
		}
	}
}

// reestimate takes in that fetches may take another time than thought.
func (b *ClusterState) reestimate() {
	b.apply(b.pipes.graph.SetDurations(func(id ids.Job) time.Duration {
		return b.duration(&b.pipes.waits[id].rec.Spec)
	}))
}

// duration is how long a job takes once it may start, by its estimate.
func (b *ClusterState) duration(s *record.Spec) time.Duration {
	return ids.Seconds(float64(s.Estimate) + b.fetch(s)).Duration()
}

// deadline is when a job should be complete; it counts from its submission.
func deadline(r *record.Record) time.Time {
	if r.Spec.Due <= 0 {
		return time.Time{}
	}
	return r.Submitted.Time().Add(r.Spec.Due.Duration())
}

// priority is a job's own, or that of a job that needs it.
func (j *Job) priority() record.Priority {
	return max(j.Rec.Spec.Priority, record.Priority(j.inherited.Priority))
}
