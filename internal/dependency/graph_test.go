package dependency

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

var epoch = time.Unix(1700000000, 0)

// jobID returns the ID of job number n.
func jobID(n int) ids.Job { return ids.Job(fmt.Sprintf("job-%d", n)) }

// newJob returns a job with a deadline after epoch and a duration, both in seconds. A deadline of 0 is none.
func newJob(id ids.Job, priority, deadline, duration int, dependsOn ...ids.Job) Job {
	j := Job{
		ID:        id,
		DependsOn: dependsOn,
		Urgency:   Urgency{Priority: priority},
		Duration:  time.Duration(duration) * time.Second,
	}
	if deadline > 0 {
		j.Urgency.Deadline = epoch.Add(time.Duration(deadline) * time.Second)
	}
	return j
}

// chain returns n jobs, each of which depends on the previous one. The first depends on job-0.
func chain(n int) (jobs []Job) {
	for i := range n {
		jobs = append(jobs, newJob(jobID(i+1), 0, 0, 1, jobID(i)))
	}
	return jobs
}

// layeredJobs returns layers of two jobs each. Each job depends on both jobs of the previous layer. All jobs
// have deadlines, and durations such that no two paths take the same time.
func layeredJobs(layers int) (jobs []Job) {
	for layer := 1; layer <= layers; layer++ {
		for side := range 2 {
			n := 2*layer + side
			j := newJob(jobID(n), n%4, 100000-37*n%1000, 1, jobID(2*layer-2), jobID(2*layer-1))
			j.Duration += time.Duration(side) << layer
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// shuffle returns the jobs in a random order.
func shuffle(jobs []Job, seed uint64) []Job {
	order := slices.Clone(jobs)
	rng := rand.New(rand.NewPCG(seed, 1))
	rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return order
}

// computations returns how many times the inherited urgency of any job was computed during a change.
func (g *Graph) computations(change func()) int {
	before := g.recomputed
	change()
	return g.recomputed - before
}

func TestUrgencyInLayeredGraphIsComputedPerJobAndNotPerPath(t *testing.T) {
	// Guards against a cost proportional to the number of paths, which is 2^40, instead of to the number
	// of jobs.
	jobs := layeredJobs(40)
	for seed := range uint64(3) {
		g := New()
		if n := g.computations(func() { g.Add(shuffle(jobs, seed)...) }); n > len(jobs)+2 {
			t.Fatalf("adding %d jobs took %d computations of an inherited urgency", len(jobs), n)
		}
		if g.raised > 0 {
			t.Fatalf("%d levels were corrected although all jobs were added together", g.raised)
		}
		first := g.InheritedUrgency(jobID(0))
		last := newJob(jobID(1000), 9, 900, 5, jobID(80), jobID(81))
		if n := g.computations(func() { g.Add(last) }); n > len(jobs)+2 {
			t.Fatalf("adding one more job took %d computations", n)
		}
		if got := g.InheritedUrgency(jobID(0)); got.Priority != 9 {
			t.Errorf("the first job inherits priority %d, want 9", got.Priority)
		}
		if n := g.computations(func() { g.Remove(last.ID) }); n > len(jobs)+2 {
			t.Fatalf("removing one job took %d computations", n)
		}
		if got := g.InheritedUrgency(jobID(0)); got != first {
			t.Errorf("the first job inherits %v after the removal, want %v as before the addition", got, first)
		}
		incremental := New() // the same jobs, added one by one in a random order
		for _, j := range shuffle(jobs, seed) {
			if n := incremental.computations(func() { incremental.Add(j) }); n > len(jobs)+2 {
				t.Fatalf("adding one of the jobs took %d computations", n)
			}
		}
		if got := incremental.InheritedUrgency(jobID(0)); got != first {
			t.Errorf("the first job inherits %v if jobs are added one by one, but %v if all are added at once", got, first)
		}
	}
}

func TestLongChainNeedsNoDeepStackAndOnePassPerChange(t *testing.T) {
	// Guards against a cost that grows with the square of a chain's length.
	const n = 5000
	g := New()
	jobs := chain(n)
	if computations := g.computations(func() { g.Add(shuffle(jobs, 1)...) }); computations > n+1 {
		t.Fatalf("adding %d jobs took %d computations of an inherited urgency", n, computations)
	}
	last := newJob(jobID(n+1), 3, 20000, 0, jobID(n))
	if computations := g.computations(func() { g.Add(last) }); computations > n+1 {
		t.Fatalf("adding an urgent job at the end took %d computations", computations)
	}
	if got := g.InheritedUrgency(jobID(0)); got.Priority != 3 || !got.Deadline.Equal(epoch.Add(15000*time.Second)) {
		t.Errorf("the first job inherits %v, want priority 3 and a deadline 15000 s after epoch", got)
	}
	if computations := g.computations(func() { g.Add(newJob(jobID(n+2), 2, 0, 1, jobID(n))) }); computations > 1 {
		t.Errorf("adding a job that changes no urgency took %d computations", computations)
	}
	if computations := g.computations(func() { g.Finish(jobID(0)) }); computations > 0 || !g.IsReady(jobID(1)) {
		t.Errorf("finishing the first job took %d computations, want none; the next is ready: %v", computations, g.IsReady(jobID(1)))
	}
}

func TestChainOfTwentyThousandIsCancelledWithItsFirstJob(t *testing.T) {
	// Guards against a stack frame, or a pass over the graph, for each dependent.
	const n = 20000
	g := New()
	g.Add(shuffle(append(chain(n), newJob(jobID(n+1), 3, 0, 1, jobID(n))), 2)...)
	if computations := g.computations(func() { g.Cancel(jobID(0)) }); computations > n+1 {
		t.Errorf("the cancellation took %d computations", computations)
	}
	if _, cancelled := g.Counts(); cancelled != n+1 || g.CancelledBy(jobID(n)) != jobID(0) {
		t.Errorf("%d jobs are cancelled, the last by %q; want all, by the first", cancelled, g.CancelledBy(jobID(n)))
	}
	for _, id := range slices.Collect(g.Cancelled()) {
		g.Remove(id)
	}
	if len(g.nodes) != 0 || g.Len() != 0 {
		t.Errorf("%d nodes are left after all jobs were removed", len(g.nodes))
	}
}

func TestCycleDoesNotCauseAnEndlessLoop(t *testing.T) {
	// Guards against a corrupt record with cyclic dependencies that makes the leader loop forever.
	g := New()
	g.Add(newJob(jobID(1), 1, 100, 5, jobID(2)), newJob(jobID(2), 2, 50, 5, jobID(1)), newJob(jobID(3), 3, 40, 5, jobID(3)))
	g.Add(newJob(jobID(4), 3, 10, 1, jobID(1), jobID(3)))
	g.Cancel(jobID(1))
	if ready, _ := g.Counts(); ready != 0 {
		t.Errorf("%d jobs are ready, want none", ready)
	}
}

func TestNewDurationsUpdateInheritedDeadlines(t *testing.T) {
	// Guards against wrong inherited deadlines: a new leader computes them before it knows how long
	// image pulls take, and must correct them later.
	g := New()
	g.Add(chain(3)...)
	g.Add(newJob(jobID(4), 1, 100, 1, jobID(3)))
	changes := g.UpdateDurations(func(ids.Job) time.Duration { return 11 * time.Second })
	if got := g.InheritedUrgency(jobID(0)).Deadline; !got.Equal(epoch.Add(56*time.Second)) || len(changes.InheritedChanged) != 4 {
		t.Errorf("the first job inherits a deadline %v after epoch, want 56s; %d inherited urgencies changed, want 4", got.Sub(epoch), len(changes.InheritedChanged))
	}
	if again := g.UpdateDurations(func(ids.Job) time.Duration { return 11 * time.Second }); len(again.InheritedChanged) != 0 {
		t.Errorf("the same durations again changed %d inherited urgencies", len(again.InheritedChanged))
	}
}

func TestCancelledJobStaysCancelledWhenItsPrerequisiteIsReportedDone(t *testing.T) {
	// Guards against starting a job that was already reported to users as cancelled.
	g := New()
	g.Add(newJob(jobID(2), 0, 0, 1, jobID(1)))
	g.Cancel(jobID(1))
	g.Finish(jobID(1))
	if g.IsReady(jobID(2)) || g.CancelledBy(jobID(2)) != jobID(1) {
		t.Errorf("the dependent is ready: %v, cancelled by %q; want not ready, cancelled by the prerequisite", g.IsReady(jobID(2)), g.CancelledBy(jobID(2)))
	}
}

func TestDoneJobsLeaveNoNodesAndBoundedOutcomes(t *testing.T) {
	// Guards against a graph that grows without bound during a leader's term.
	g := New()
	jobs := layeredJobs(10)
	g.Add(jobs...)
	g.Finish(jobID(0))
	g.Finish(jobID(1))
	for range jobs {
		for _, id := range slices.Collect(g.Ready()) {
			g.Remove(id)
			g.Finish(id)
		}
	}
	if len(g.nodes) != 0 || g.Len() != 0 || len(g.ready) != 0 {
		t.Errorf("%d nodes are left and %d jobs wait, want none", len(g.nodes), g.Len())
	}
	for n := range 3 * maxOutcomes {
		g.Finish(jobID(n))
	}
	if len(g.outcomes) > maxOutcomes+1 {
		t.Errorf("%d outcomes are remembered, more than the bound", len(g.outcomes))
	}
}
