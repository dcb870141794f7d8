package claim

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// TestNothingStarvesUnderASteadyStreamOfSmallerWork: "soonest complete first"
// must not leave the largest job of a class, low priority or the smallest team
// behind: each begins within four minutes, under more work than there is room.
func TestNothingStarvesUnderASteadyStreamOfSmallerWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := fleet(t, 10)
		const runs = 10 * time.Second
		tick, ended := ids.Tick(1), map[taskAttempt]bool{}
		begun := map[ids.Job]time.Duration{}
		large := map[ids.Job]time.Time{}
		add := func(id ids.Job, team string, p Priority, tasks int, cores float64, est ids.Seconds) {
			r := rec(id, team, p, tasks, cores)
			r.Spec.Estimate = est
			b.Learn(id, ids.Stamp(len(b.gone)+len(b.jobs)+1), r, time.Now())
		}
		for second := range 420 {
			if second == 30 {
				for id, f := range map[ids.Job]func(ids.Job){
					"job-90001": func(id ids.Job) { add(id, "blue", Normal, 700, 1, 60) },
					"job-90002": func(id ids.Job) { add(id, "blue", Low, 150, 4, 180) },
					"job-90003": func(id ids.Job) { add(id, "red", Low, 2, 4, 300) },
				} {
					f(id)
					large[id] = time.Now()
				}
			}
			// Half as much again as ten machines of four cores can do.
			for i := range 3 {
				add(ids.Job(fmt.Sprintf("job-%d", second*3+i)), "blue", Normal, 2, 1, 10)
			}
			b.Plan(time.Now())
			b.store()
			tick++
			for name := range b.roster.Machines {
				var ps []worker.Piece
				for p := range b.placesOn(name) {
					pc := worker.Piece{Task: p.Task().String(), Attempt: p.Attempt, Status: worker.Running}
					if time.Since(p.since) >= runs {
						pc.Status, pc.Cause = worker.Ended, worker.CauseDone
						ended[taskAttempt{p.Task(), p.Attempt, name}] = true
					}
					ps = append(ps, pc)
				}
				b.hear(name, "north", tick, ps...)
			}
			for id, since := range large {
				if j := b.jobs[id]; begun[id] == 0 && (j == nil || j.Rec.Attempt > 0) {
					begun[id] = time.Since(since) + 1
				}
			}
			for j := range b.dirty {
				if j.Rec.Status.Over() {
					j.saved = j.version
					b.forget(j)
				}
			}
			time.Sleep(time.Second)
		}
		if len(ended) < 1000 {
			t.Fatalf("only %d tasks ended: the stream did not flow", len(ended))
		}
		for id := range large {
			if begun[id] == 0 || begun[id] > 4*time.Minute {
				t.Errorf("%s (%d tasks) begun after %v", id, b.jobs[id].Rec.Spec.Tasks, begun[id])
			}
		}
		t.Log(begun)
	})
}
