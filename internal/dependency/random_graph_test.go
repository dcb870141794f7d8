package dependency

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// model computes all results from scratch from the waiting jobs and the outcomes.
type model struct {
	waiting  map[ids.Job]Job
	outcomes map[ids.Job]Outcome
}

func (m *model) cancelled(id ids.Job) bool {
	if m.outcomes[id] == Cancelled {
		return true
	}
	return slices.ContainsFunc(m.waiting[id].DependsOn, m.cancelled)
}

func (m *model) inherited(id ids.Job) (urgency Urgency) {
	if m.outcomes[id] == Done {
		return urgency
	}
	for other, j := range m.waiting {
		if !slices.Contains(j.DependsOn, id) || m.cancelled(other) {
			continue
		}
		fromDependent := j.Urgency.merge(m.inherited(other))
		if !fromDependent.Deadline.IsZero() {
			fromDependent.Deadline = fromDependent.Deadline.Add(-j.Duration)
		}
		urgency = urgency.merge(fromDependent)
	}
	return urgency
}

func (m *model) ready(id ids.Job) bool {
	for _, prerequisite := range m.waiting[id].DependsOn {
		if m.outcomes[prerequisite] != Done {
			return false
		}
	}
	return true
}

// randomRun applies random changes to a graph and its model, and records the changes that the graph reports.
type randomRun struct {
	rng      *rand.Rand
	graph    *Graph
	model    *model
	reported map[ids.Job]Urgency // inherited urgency at the last change that included the job
	toAdd    []Job
}

const (
	independentJobs = 4  // number of jobs without dependencies, which have the lowest numbers
	allJobs         = 24 // number of all jobs; the others depend on jobs with lower numbers
)

func newRandomRun(seed uint64) *randomRun {
	rng := rand.New(rand.NewPCG(seed, 7))
	var jobs []Job
	for n := independentJobs; n < allJobs; n++ {
		var dependsOn []ids.Job
		for range 1 + rng.IntN(3) {
			dependsOn = append(dependsOn, jobID(rng.IntN(n)))
		}
		jobs = append(jobs, newJob(jobID(n), rng.IntN(4), rng.IntN(3)*(100+rng.IntN(500)), rng.IntN(20), dependsOn...))
	}
	return &randomRun{
		rng:      rng,
		graph:    New(),
		model:    &model{map[ids.Job]Job{}, map[ids.Job]Outcome{}},
		reported: map[ids.Job]Urgency{},
		toAdd:    shuffle(jobs, seed),
	}
}

// recordReported records the inherited urgency of the jobs that the graph reports as changed.
func (r *randomRun) recordReported(changes Changes) {
	for _, id := range changes.InheritedChanged {
		r.reported[id] = r.graph.InheritedUrgency(id)
	}
}

// check compares the graph, and the changes that it reported, with the model.
func (r *randomRun) check(t *testing.T, changes Changes) {
	t.Helper()
	r.recordReported(changes)
	for n := range allJobs {
		id := jobID(n)
		if r.model.outcomes[id] == Unknown {
			if got, want := r.graph.InheritedUrgency(id), r.model.inherited(id); got != want || r.reported[id] != want {
				t.Fatalf("%s inherits %v and was last reported with %v, want %v", id, got, r.reported[id], want)
			}
		}
		if _, waits := r.model.waiting[id]; !waits {
			continue
		}
		if got, want := r.graph.CancelledBy(id) != "", r.model.cancelled(id); got != want {
			t.Fatalf("%s is cancelled: %v, want %v", id, got, want)
		}
		if got, want := r.graph.IsReady(id), r.model.ready(id) && !r.model.cancelled(id); got != want {
			t.Fatalf("%s is ready: %v, want %v", id, got, want)
		}
	}
}

// addSome adds some of the jobs that have not been added yet.
func (r *randomRun) addSome(t *testing.T) {
	t.Helper()
	count := min(len(r.toAdd), 1+r.rng.IntN(5))
	for _, j := range r.toAdd[:count] {
		r.model.waiting[j.ID] = j
	}
	some := slices.Clone(r.toAdd[:count])
	r.toAdd = r.toAdd[count:]
	r.check(t, r.graph.Add(some...))
}

// endRandomJob picks a random job and finishes or cancels it if it has been added, no longer waits and has
// not ended. It reports whether it ended a job.
func (r *randomRun) endRandomJob(t *testing.T) bool {
	t.Helper()
	id := jobID(r.rng.IntN(allJobs))
	notAdded := slices.ContainsFunc(r.toAdd, func(j Job) bool { return j.ID == id })
	if _, waits := r.model.waiting[id]; waits || notAdded || r.model.outcomes[id] != Unknown {
		return false
	}
	if r.rng.IntN(6) > 0 {
		r.model.outcomes[id] = Done
		r.check(t, r.graph.Finish(id))
		return true
	}
	r.model.outcomes[id] = Cancelled
	r.check(t, r.graph.Cancel(id))
	return true
}

// removeResolved removes the waiting jobs that are ready or cancelled.
func (r *randomRun) removeResolved(t *testing.T) {
	t.Helper()
	for _, id := range slices.Sorted(maps.Keys(r.model.waiting)) {
		switch {
		case r.graph.IsReady(id):
			delete(r.model.waiting, id)
			r.check(t, r.graph.Remove(id))
		case r.graph.CancelledBy(id) != "":
			r.model.outcomes[id] = Cancelled // as if its final record were stored
			r.check(t, r.graph.Cancel(id))
			delete(r.model.waiting, id)
			r.check(t, r.graph.Remove(id))
		}
	}
}

// cancelWaiting cancels a waiting job, as its user may do.
func (r *randomRun) cancelWaiting(t *testing.T) {
	t.Helper()
	waiting := slices.Sorted(maps.Keys(r.model.waiting))
	if len(waiting) == 0 {
		return
	}
	id := waiting[0]
	r.model.outcomes[id] = Cancelled
	delete(r.model.waiting, id)
	r.recordReported(r.graph.Remove(id))
	r.check(t, r.graph.Cancel(id))
}

// finishIndependent finishes the jobs without dependencies, so that a run comes to an end.
func (r *randomRun) finishIndependent(t *testing.T) {
	t.Helper()
	for n := range independentJobs {
		if r.model.outcomes[jobID(n)] == Unknown {
			r.model.outcomes[jobID(n)] = Done
			r.check(t, r.graph.Finish(jobID(n)))
		}
	}
}

// change makes one random change.
func (r *randomRun) change(t *testing.T) {
	t.Helper()
	switch choice := r.rng.IntN(6); {
	case choice < 3 && len(r.toAdd) > 0:
		r.addSome(t)
	case choice == 3:
		if !r.endRandomJob(t) {
			return
		}
	case choice == 4:
		r.removeResolved(t)
	case choice == 5 && r.rng.IntN(8) == 0:
		r.cancelWaiting(t)
	}
	if len(r.toAdd) == 0 && len(r.model.waiting) > 0 && r.rng.IntN(3) == 0 {
		r.finishIndependent(t)
	}
}

func TestRandomGraphsAgreeWithModel(t *testing.T) {
	// Guards against differences between the incremental updates and a computation from the whole
	// graph, in any order of additions, removals and outcomes.
	for seed := range uint64(60) {
		run := newRandomRun(seed)
		for len(run.toAdd) > 0 || len(run.model.waiting) > 0 {
			run.change(t)
		}
	}
}
