package claim

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// fleet is a cluster state with n machines of four cores, in two zones.
func fleet(t *testing.T, n int) *ClusterState {
	old := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	t.Cleanup(func() { slog.SetDefault(old) })
	b := testBook()
	for i := range n {
		b.hear(ids.Machine(fmt.Sprintf("host-%06d", i)), []string{"north", "south"}[i%2], 1)
	}
	return b
}

// Counts machines looked at, not time: that a pass costs what changed, and not
// the fleet times the jobs or tasks, must not be lost unseen.
func TestPlanningCostsWhatChangedAndNotTheFleet(t *testing.T) {
	t.Parallel()
	now := time.Now()
	const machines, jobs = 4000, 800
	b := fleet(t, machines)
	cost := func(f func()) int {
		before := b.machinesExamined
		f()
		b.Plan(now)
		return b.machinesExamined - before
	}
	add := func(id, tasks int, cores float64) {
		r := rec(ids.Job(fmt.Sprintf("job-%d", id)), "blue", Normal, tasks, cores)
		r.Spec.Image = fmt.Sprint("image-", id%20)
		b.Learn(r.Spec.ID, ids.Revision(id+1), r, now)
	}
	// Filling: a job may look at every machine once, however many tasks it has.
	full := cost(func() {
		for i := range jobs {
			add(i, 20, 1)
		}
	})
	placed := 0
	for _, j := range b.jobs {
		placed += len(j.places)
	}
	if placed != machines*4 {
		t.Fatalf("%d tasks on %d cores", placed, machines*4)
	}
	if most := jobs * (machines + 20*5); full > most {
		t.Errorf("placing %d tasks of %d jobs looked at %d machines, more than %d", placed, jobs, full, most)
	}
	b.store()
	// Full: hundreds of waiting jobs find that out once, not each anew.
	if n := cost(func() {
		for i := range 300 {
			add(1000+i, 20, 1)
		}
	}); n > 100 {
		t.Errorf("300 jobs that find no room looked at %d machines", n)
	}
	// One machine frees up: only it is worth a look, for the first that wait.
	if n := cost(func() {
		for p := range b.placesOn("host-000007") {
			b.dropPlace(p)
		}
	}); n > 100 {
		t.Errorf("a machine freed up, and %d were looked at", n)
	}
	if n := len(b.placesOn("host-000007")); n != 4 {
		t.Errorf("%d tasks placed on the four cores that became free", n)
	}
	// Nothing changed: nothing is looked at but the head of the queue.
	if n := cost(func() {}); n > 100 {
		t.Errorf("nothing changed, and %d machines were looked at", n)
	}
}

func TestIndexesAgreeWithWhatIsPlaced(t *testing.T) {
	t.Parallel()
	now := time.Now()
	b := fleet(t, 40)
	for i := range 30 {
		r := rec(ids.Job(fmt.Sprintf("job-%d", i)), "blue", Normal, 7, 1)
		r.Spec.Image = fmt.Sprint("image-", i%5)
		b.Learn(r.Spec.ID, ids.Revision(i+1), r, now)
	}
	b.Plan(now)
	b.store()
	check := func(when string) {
		t.Helper()
		on := map[ids.Machine]int{}
		for _, j := range b.jobs {
			for _, p := range j.places {
				on[p.Machine]++
			}
		}
		for name, h := range b.hosts {
			if len(h.places) != on[name] || h.used.Cores != float64(on[name]) {
				t.Fatalf("%s: %s has %d places and %v in use, the jobs know of %d", when, name, len(h.places), h.used, on[name])
			}
			open := h.shelf != nil
			if m := b.roster.Machines[name]; open != (m.Heard && on[name] < 4) {
				t.Fatalf("%s: %s with %d tasks is on a shelf: %v", when, name, on[name], open)
			}
			if open && h.shelf.open[h.at] != h {
				t.Fatalf("%s: %s is not where its shelf has it", when, name)
			}
		}
		for img, hs := range b.byImage {
			for h := range hs {
				if h.pulls[img] == nil && !b.roster.Machines[h.name].Images.Has(img) {
					t.Fatalf("%s: %s neither holds nor fetches %s", when, h.name, img)
				}
			}
		}
	}
	check("placed")
	for i, name := range []ids.Machine{"host-000001", "host-000002", "host-000003"} {
		var pieces []worker.Piece
		for p := range b.placesOn(name) {
			pieces = append(pieces, worker.Piece{Task: p.Task().String(), Attempt: p.Attempt, Status: worker.Running})
		}
		b.hear(name, "north", ids.Tick(i+2), pieces...)
		check("running")
		for k := range pieces {
			pieces[k].Status, pieces[k].Cause = worker.Ended, worker.CauseDone
		}
		b.hear(name, "north", ids.Tick(i+3), pieces...)
		check("done")
	}
	b.MachineGone("host-000004")
	check("returned")
	b.Plan(now)
	check("placed again")
}
