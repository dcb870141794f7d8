package dependency

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

var epoch = time.Unix(1700000000, 0)

func job(n int) ids.Job { return ids.Job(fmt.Sprintf("job-%d", n)) }

// due is a job with a deadline and a duration, both in seconds.
func due(id ids.Job, priority, deadline, duration int, awaits ...ids.Job) Job {
	j := Job{ID: id, Awaits: awaits, Urgency: Urgency{Priority: priority}, Duration: time.Duration(duration) * time.Second}
	if deadline > 0 {
		j.Urgency.Deadline = epoch.Add(time.Duration(deadline) * time.Second)
	}
	return j
}

// chain is n jobs, each of which awaits the one before; the first awaits job-0.
func chain(n int) (jobs []Job) {
	for i := range n {
		jobs = append(jobs, due(job(i+1), 0, 0, 1, job(i)))
	}
	return jobs
}

// ladder is layers of two jobs, each of which awaits both of the layer before. All have
// deadlines of their own, and durations such that no two paths take the same time.
func ladder(layers int) (jobs []Job) {
	for layer := 1; layer <= layers; layer++ {
		for side := range 2 {
			n := 2*layer + side
			j := due(job(n), n%4, 100000-37*n%1000, 1, job(2*layer-2), job(2*layer-1))
			j.Duration += time.Duration(side) << layer
			jobs = append(jobs, j)
		}
	}
	return jobs
}

func shuffled(jobs []Job, seed uint64) []Job {
	out := slices.Clone(jobs)
	rand.New(rand.NewPCG(seed, 1)).Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// cost is how often what a job inherits was worked out during f.
func (g *Graph) cost(f func()) int {
	before := g.recomputed
	f()
	return g.recomputed - before
}

func TestALadderIsWorkedOutJobByJobAndNotPathByPath(t *testing.T) {
	// Guards against work for each of the paths, of which there are 2^40.
	jobs := ladder(40)
	for seed := range uint64(3) {
		g := New()
		if n := g.cost(func() { g.Add(shuffled(jobs, seed)...) }); n > len(jobs)+2 {
			t.Fatalf("%d jobs were worked out %d times", len(jobs), n)
		}
		if g.raised > 0 {
			t.Fatalf("%d levels were corrected, though all was known", g.raised)
		}
		first := g.Inherited(job(0))
		last := due(job(1000), 9, 900, 5, job(80), job(81))
		if n := g.cost(func() { g.Add(last) }); n > len(jobs)+2 {
			t.Fatalf("one more job cost %d", n)
		}
		if got := g.Inherited(job(0)); got.Priority != 9 {
			t.Errorf("the first inherits priority %d", got.Priority)
		}
		if n := g.cost(func() { g.Remove(last.ID) }); n > len(jobs)+2 {
			t.Fatalf("one less cost %d", n)
		}
		if got := g.Inherited(job(0)); got != first {
			t.Errorf("the first inherits %v after, %v before", got, first)
		}
		one := New() // news comes one by one, and at worst in any order
		for _, j := range shuffled(jobs, seed) {
			if n := one.cost(func() { one.Add(j) }); n > len(jobs)+2 {
				t.Fatalf("one of them cost %d", n)
			}
		}
		if got := one.Inherited(job(0)); got != first {
			t.Errorf("the first inherits %v if added one by one, %v if all at once", got, first)
		}
	}
}

func TestALongChainNeedsNoDeepStackAndOnePassAChange(t *testing.T) {
	// Guards against work that grows with the square of a chain's length.
	const n = 5000
	g := New()
	jobs := chain(n)
	if cost := g.cost(func() { g.Add(shuffled(jobs, 1)...) }); cost > n+1 {
		t.Fatalf("%d jobs were worked out %d times", n, cost)
	}
	last := due(job(n+1), 3, 20000, 0, job(n))
	if cost := g.cost(func() { g.Add(last) }); cost > n+1 {
		t.Fatalf("an urgent one at the end cost %d", cost)
	}
	if got := g.Inherited(job(0)); got.Priority != 3 || !got.Deadline.Equal(epoch.Add(15000*time.Second)) {
		t.Errorf("the first inherits %v", got)
	}
	if cost := g.cost(func() { g.Add(due(job(n+2), 2, 0, 1, job(n))) }); cost > 1 {
		t.Errorf("one that changes nothing cost %d", cost)
	}
	if cost := g.cost(func() { g.Finish(job(0)) }); cost > 0 || !g.IsReady(job(1)) {
		t.Errorf("the first's end cost %d, the next is ready: %v", cost, g.IsReady(job(1)))
	}
}

func TestAChainOfTwentyThousandIsCancelledWithItsFirst(t *testing.T) {
	// Guards against a stack frame, or a pass, for each that depends on the first.
	const n = 20000
	g := New()
	g.Add(shuffled(append(chain(n), due(job(n+1), 3, 0, 1, job(n))), 2)...)
	if cost := g.cost(func() { g.Cancel(job(0)) }); cost > n+1 {
		t.Errorf("it cost %d", cost)
	}
	if _, cancelled := g.Counts(); cancelled != n+1 || g.CancelledBy(job(n)) != job(0) {
		t.Errorf("%d are cancelled, the last by %q", cancelled, g.CancelledBy(job(n)))
	}
	for _, id := range slices.Collect(g.Cancelled()) {
		g.Remove(id)
	}
	if len(g.nodes) != 0 || g.Len() != 0 {
		t.Errorf("%d are left", len(g.nodes))
	}
}

func TestWhatCannotBeSubmittedDoesNoHarm(t *testing.T) {
	// Guards against a broken record that makes the leader turn in a circle for ever.
	g := New()
	g.Add(due(job(1), 1, 100, 5, job(2)), due(job(2), 2, 50, 5, job(1)), due(job(3), 3, 40, 5, job(3)))
	g.Add(due(job(4), 3, 10, 1, job(1), job(3)))
	g.Cancel(job(1))
	if ready, _ := g.Counts(); ready != 0 {
		t.Errorf("%d are ready", ready)
	}
}

// model works everything out anew from the jobs that wait and what ended.
type model struct {
	waiting  map[ids.Job]Job
	outcomes map[ids.Job]Outcome
}

func (m *model) cancelled(id ids.Job) bool {
	if m.outcomes[id] == Cancelled {
		return true
	}
	return slices.ContainsFunc(m.waiting[id].Awaits, m.cancelled)
}

func (m *model) inherited(id ids.Job) (u Urgency) {
	if m.outcomes[id] == Done {
		return u
	}
	for other, j := range m.waiting {
		if slices.Contains(j.Awaits, id) && !m.cancelled(other) {
			own := j.Urgency.merge(m.inherited(other))
			if !own.Deadline.IsZero() {
				own.Deadline = own.Deadline.Add(-j.Duration)
			}
			u = u.merge(own)
		}
	}
	return u
}

func (m *model) ready(id ids.Job) bool {
	for _, need := range m.waiting[id].Awaits {
		if m.outcomes[need] != Done {
			return false
		}
	}
	return true
}

// check compares the graph, and what it said it changed, with the model.
func (m *model) check(t *testing.T, g *Graph, all int, told map[ids.Job]Urgency) {
	t.Helper()
	for n := range all {
		id := job(n)
		if m.outcomes[id] == Unknown {
			if got, want := g.Inherited(id), m.inherited(id); got != want || told[id] != want {
				t.Fatalf("%s inherits %v, was told %v, not %v", id, got, told[id], want)
			}
		}
		if _, waits := m.waiting[id]; !waits {
			continue
		}
		if got, want := g.CancelledBy(id) != "", m.cancelled(id); got != want {
			t.Fatalf("%s cancelled: %v, not %v", id, got, want)
		}
		if got, want := g.IsReady(id), m.ready(id) && !m.cancelled(id); got != want {
			t.Fatalf("%s ready: %v, not %v", id, got, want)
		}
	}
}

func TestRandomGraphsAgreeWithAModel(t *testing.T) {
	// Guards against any difference between what follows the changes and what a fresh
	// look at the whole graph would say, in whatever order things are learned.
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 7))
		const all = 24
		var jobs []Job
		for n := 4; n < all; n++ {
			var awaits []ids.Job
			for range 1 + r.IntN(3) {
				awaits = append(awaits, job(r.IntN(n)))
			}
			jobs = append(jobs, due(job(n), r.IntN(4), r.IntN(3)*(100+r.IntN(500)), r.IntN(20), awaits...))
		}
		g, m, told := New(), &model{map[ids.Job]Job{}, map[ids.Job]Outcome{}}, map[ids.Job]Urgency{}
		hear := func(c Changes) {
			for _, id := range c.Inherited {
				told[id] = g.Inherited(id)
			}
		}
		take := func(c Changes) {
			hear(c)
			m.check(t, g, all, told)
		}
		todo := shuffled(jobs, seed)
		for len(todo) > 0 || len(m.waiting) > 0 {
			switch k := r.IntN(6); {
			case k < 3 && len(todo) > 0: // some more are learned of
				n := min(len(todo), 1+r.IntN(5))
				for _, j := range todo[:n] {
					m.waiting[j.ID] = j
				}
				some := slices.Clone(todo[:n])
				todo = todo[n:]
				take(g.Add(some...))
			case k == 3: // one that does not wait ends
				id := job(r.IntN(all))
				unknown := slices.ContainsFunc(todo, func(j Job) bool { return j.ID == id })
				if _, waits := m.waiting[id]; waits || unknown || m.outcomes[id] != Unknown {
					continue
				}
				if r.IntN(6) > 0 {
					m.outcomes[id] = Done
					take(g.Finish(id))
				} else {
					m.outcomes[id] = Cancelled
					take(g.Cancel(id))
				}
			case k == 4: // those resolved move on
				for _, id := range slices.Sorted(maps.Keys(m.waiting)) {
					switch {
					case g.IsReady(id):
						delete(m.waiting, id)
						take(g.Remove(id))
					case g.CancelledBy(id) != "":
						m.outcomes[id] = Cancelled // its end is stored
						take(g.Cancel(id))
						delete(m.waiting, id)
						take(g.Remove(id))
					}
				}
			case k == 5 && r.IntN(8) == 0: // a user cancels one that waits
				for _, id := range slices.Sorted(maps.Keys(m.waiting))[:min(1, len(m.waiting))] {
					m.outcomes[id] = Cancelled
					delete(m.waiting, id)
					hear(g.Remove(id))
					take(g.Cancel(id))
				}
			}
			if len(todo) == 0 && len(m.waiting) > 0 && r.IntN(3) == 0 {
				for n := range 4 {
					if m.outcomes[job(n)] == Unknown {
						m.outcomes[job(n)] = Done
						take(g.Finish(job(n)))
					}
				}
			}
		}
	}
}

func TestDurationsMayChange(t *testing.T) {
	// Guards against deadlines that a new leader passes on before it knows how long
	// fetches take, and never corrects.
	g := New()
	g.Add(chain(3)...)
	g.Add(due(job(4), 1, 100, 1, job(3)))
	changes := g.SetDurations(func(ids.Job) time.Duration { return 11 * time.Second })
	if got := g.Inherited(job(0)).Deadline; !got.Equal(epoch.Add(56*time.Second)) || len(changes.Inherited) != 4 {
		t.Errorf("the first is to be done by %v; %d changed", got.Sub(epoch), len(changes.Inherited))
	}
	if again := g.SetDurations(func(ids.Job) time.Duration { return 11 * time.Second }); len(again.Inherited) != 0 {
		t.Errorf("the same again changed %d", len(again.Inherited))
	}
}

func TestWhatIsCancelledStaysCancelled(t *testing.T) {
	// Guards against a start of what users were told is cancelled, whatever is learned
	// afterwards.
	g := New()
	g.Add(due(job(2), 0, 0, 1, job(1)))
	g.Cancel(job(1))
	g.Finish(job(1))
	if g.IsReady(job(2)) || g.CancelledBy(job(2)) != job(1) {
		t.Errorf("it is ready: %v, cancelled by %q", g.IsReady(job(2)), g.CancelledBy(job(2)))
	}
}

func TestNothingIsLeftOfWhatIsDone(t *testing.T) {
	// Guards against a graph that grows as long as its owner lives.
	g := New()
	jobs := ladder(10)
	g.Add(jobs...)
	g.Finish(job(0))
	g.Finish(job(1))
	for range jobs {
		for _, id := range slices.Collect(g.Ready()) {
			g.Remove(id)
			g.Finish(id)
		}
	}
	if len(g.nodes) != 0 || g.Len() != 0 || len(g.ready) != 0 {
		t.Errorf("%d jobs are left, %d wait", len(g.nodes), g.Len())
	}
	for n := range 3 * maxOutcomes {
		g.Finish(job(n))
	}
	if len(g.outcomes) > maxOutcomes+1 {
		t.Errorf("%d outcomes are remembered", len(g.outcomes))
	}
}
