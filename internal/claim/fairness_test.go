package claim

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// TestNothingStarvesUnderASteadyStreamOfSmallerWork: "soonest complete first"
// must not leave the largest job of a class, low priority or the smallest team
// behind: each begins within four minutes, under more work than there is room.
func TestNothingStarvesUnderASteadyStreamOfSmallerWork(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := fleet(t, 10)
		const runs = 10 * time.Second
		tick, ended := ids.Tick(1), map[taskAttempt]bool{}
		begun := map[ids.Job]time.Duration{}
		large := map[ids.Job]time.Time{}
		add := func(id ids.Job, team string, p record.Priority, tasks int, cores float64, est ids.Seconds) {
			r := rec(id, team, p, tasks, cores)
			r.Spec.Estimate = est
			b.Learn(id, ids.Revision(len(b.gone)+len(b.jobs)+1), r, time.Now())
		}
		for second := range 420 {
			if second == 30 {
				for id, f := range map[ids.Job]func(ids.Job){
					"job-90001": func(id ids.Job) { add(id, "blue", record.Normal, 700, 1, 60) },
					"job-90002": func(id ids.Job) { add(id, "blue", record.Low, 150, 4, 180) },
					"job-90003": func(id ids.Job) { add(id, "red", record.Low, 2, 4, 300) },
				} {
					f(id)
					large[id] = time.Now()
				}
			}
			// Half as much again as ten machines of four cores can do.
			for i := range 3 {
				add(ids.Job(fmt.Sprintf("job-%d", second*3+i)), "blue", record.Normal, 2, 1, 10)
			}
			b.Plan(time.Now())
			b.store()
			tick++
			b.serve(tick, runs, ended)
			for id, since := range large {
				if j := b.jobs[id]; begun[id] == 0 && (j == nil || j.Rec.Attempt > 0) {
					begun[id] = time.Since(since) + 1
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

func TestOfThoseThatStarveTheLongestWaitingGoesFirst(t *testing.T) {
	t.Parallel()
	// Guards against small jobs within their teams' guarantees that take every machine
	// set aside, as they come, while the largest job waits for one machine for ever.
	now := time.Now()
	b := fleet(t, 4)
	large := rec("job-1", "blue", record.Low, 150, 4)
	large.Submitted = ids.WallOf(now.Add(-3 * time.Minute))
	b.Learn("job-1", 1, large, now)
	for i := range 20 {
		small := rec(ids.Job(fmt.Sprintf("job-%d", 10+i)), "red", record.Normal, 1, 1)
		small.Submitted = ids.WallOf(now.Add(-2 * time.Minute))
		b.Learn(small.Spec.ID, ids.Revision(10+i), small, now)
	}
	if first := b.ranked(now)[0].Rec.Spec.ID; first != "job-1" {
		t.Errorf("%s goes first", first)
	}
}

func TestTheBeginningOfAJobThatStarvedIsKeptForAMoment(t *testing.T) {
	t.Parallel()
	// Guards against a task that is placed on the machine set aside for it and stopped in
	// the same pass for work within another team's guarantee.
	synctest.Test(t, func(t *testing.T) {
		b := fleet(t, 1)
		b.setTeams(config.Team{Name: "red", CPUs: 4}, config.Team{Name: "blue"})
		b.Learn("job-1", 1, rec("job-1", "blue", record.Low, 1, 4), time.Now())
		b.jobs["job-1"].reservationSought = time.Now() // machines were looked for to set aside
		b.Plan(time.Now())
		place := b.jobs["job-1"].places[0]
		if place == nil {
			t.Fatal("it did not begin")
		}
		b.store()
		b.Learn("job-2", 2, rec("job-2", "red", record.Normal, 1, 4), time.Now())
		b.Plan(time.Now())
		if place.stopping {
			t.Error("it is stopped at once for a guarantee")
		}
		time.Sleep(keptFor + time.Second)
		b.serve(2, time.Hour, map[taskAttempt]bool{})
		b.Plan(time.Now())
		if !place.stopping && b.jobs["job-1"].places[0] != nil {
			t.Error("the guarantee is kept waiting for longer")
		}
	})
}

func TestAJobStoppedRightAfterItsFirstStartDoesNotStarve(t *testing.T) {
	t.Parallel()
	// Guards against counting a start that was taken back at once as the beginning: such
	// a job waited for ever beside a stream of smaller work.
	synctest.Test(t, func(t *testing.T) {
		b := fleet(t, 10)
		tick, ended := ids.Tick(1), map[taskAttempt]bool{}
		b.Learn("job-90001", 1, rec("job-90001", "blue", record.Low, 150, 4), time.Now())
		b.Plan(time.Now())
		large := b.jobs["job-90001"]
		b.store()
		tick++
		b.serve(tick, time.Minute, ended)
		for _, i := range sortedTasks(large.places) {
			b.stop(large.places[i], 0, "for others")
		}
		tick++
		b.serve(tick, time.Minute, ended)
		if large.Rec.Attempt == 0 || len(large.places) > 0 {
			t.Fatalf("attempt %d, %d places: it did not begin and end", large.Rec.Attempt, len(large.places))
		}
		began := time.Now()
		for second := 0; len(large.places) == 0 && second < 400; second++ {
			jobs := 3
			if second == 0 {
				jobs = 30 // the machines are full from now on
			}
			for i := range jobs {
				id := ids.Job(fmt.Sprintf("job-%d", second*100+i))
				b.Learn(id, ids.Revision(second*100+i+2), rec(id, "blue", record.Normal, 2, 1), time.Now())
			}
			b.Plan(time.Now())
			b.store()
			tick++
			b.serve(tick, 10*time.Second, ended)
			time.Sleep(time.Second)
		}
		if took := time.Since(began); took > 4*time.Minute {
			t.Errorf("it ran again after %v", took)
		} else if took < 20*time.Second {
			t.Errorf("it ran again after %v: there was room beside the stream", took)
		}
	})
}

// serve lets a second pass on every machine: tasks placed run for a while, and
// end done.
func (b *ClusterState) serve(tick ids.Tick, runs time.Duration, ended map[taskAttempt]bool) {
	for name := range b.roster.Machines {
		var ps []worker.Piece
		for p := range b.placesOn(name) {
			pc := worker.Piece{Task: p.Task().String(), Attempt: p.Attempt, Status: worker.Running}
			if p.stopping {
				pc.Status, pc.Cause = worker.Ended, worker.CauseStopped
			} else if time.Since(p.since) >= runs {
				pc.Status, pc.Cause = worker.Ended, worker.CauseDone
				ended[taskAttempt{p.Task(), p.Attempt, name}] = true
			}
			ps = append(ps, pc)
		}
		b.hear(name, b.roster.Machines[name].Zone, tick, ps...)
	}
	for j := range b.dirty {
		if j.Rec.Status.Over() {
			j.saved = j.version
			b.forget(j)
		}
	}
}

func TestInABurstAfterALossEveryTeamAndTheLargestBegin(t *testing.T) {
	t.Parallel()
	// A third of the machines is lost with all that ran there, and three times as
	// much comes in as fits: each class, team and largest job, a gang over half of
	// what is left too, begins within four minutes.
	synctest.Test(t, func(t *testing.T) {
		b := fleet(t, 30)
		var teams []config.Team
		for i := range 10 {
			teams = append(teams, config.Team{Name: fmt.Sprint("team-", i), CPUs: 4})
		}
		b.setTeams(teams...)
		n, begun := 0, map[string]time.Duration{}
		last := map[string]time.Time{} // when a class or team last submitted
		jobs := map[ids.Job]string{}
		add := func(what string, team int, shape record.Shape, p record.Priority, tasks int, cores float64) {
			n++
			r := rec(ids.Job(fmt.Sprint("job-", n)), fmt.Sprint("team-", team), p, tasks, cores)
			r.Spec.Shape, r.Spec.Class, r.Spec.Image = shape, what, "image-"+what
			if shape == record.Service {
				r.Spec.Estimate = 0
			}
			b.Learn(r.Spec.ID, ids.Revision(n), r, time.Now())
			jobs[r.Spec.ID] = what
			for _, of := range []string{what, r.Spec.Team} {
				begun[of], last[of] = 0, time.Now()
			}
		}
		ended := map[taskAttempt]bool{}
		pass := func(second int) {
			b.Plan(time.Now())
			b.store()
			b.serve(ids.Tick(second+2), 10*time.Second, ended)
			time.Sleep(time.Second)
		}
		for i := range 40 {
			add("array", i%10, record.Array, record.Normal, 6, 1)
		}
		for second := range 20 {
			pass(second)
		}
		for i := range 10 {
			b.MachineGone(ids.Machine(fmt.Sprintf("host-%06d", i)))
		}
		clear(begun)
		add("largest array", 0, record.Array, record.Low, 150, 4)
		add("largest gang", 1, record.Gang, record.High, 10, 4)
		for second := range 120 + 240 { // the last of each has its four minutes too
			if second < 120 {
				for i := range 10 {
					add("array", i, record.Array, record.Normal, 3, 1)
				}
				if second%10 == 0 {
					add("service", second/10%10, record.Service, record.Critical, 2, 1)
					add("low", second/10%10, record.Array, record.Low, 4, 2)
				}
			}
			pass(20 + second)
			for id, what := range jobs {
				if j := b.jobs[id]; j != nil && j.Rec.Attempt > 0 && len(j.places) > 0 {
					for _, of := range []string{what, j.Rec.Spec.Team} {
						if begun[of] == 0 {
							begun[of] = time.Since(last[of])
						}
					}
				}
			}
		}
		for of, after := range begun {
			if after == 0 || after > 4*time.Minute {
				t.Errorf("%s: nothing begun (%v)", of, after)
			}
		}
		if len(begun) != 15 {
			t.Errorf("looked at %d classes and teams", len(begun))
		}
	})
}

func TestAGangOfTwoBeginsBesideAStreamOfGangsOfOne(t *testing.T) {
	t.Parallel()
	// Found on a day of the ops deployments: gangs that need two large machines of one
	// zone at once waited for up to six minutes, since each that became free was
	// taken by a gang of one, just as high.
	synctest.Test(t, func(t *testing.T) {
		b := fleet(t, 8) // four in each zone
		b.set.Params.Teams[1].CPUs = 0
		gang := func(id ids.Job, tasks int) {
			r := rec(id, "blue", record.High, tasks, 4)
			r.Spec.Shape, r.Spec.OneZone, r.Spec.Estimate = record.Gang, true, 100
			b.Learn(id, 1, r, time.Now())
		}
		began, submitted := time.Duration(0), time.Now()
		left := map[*Place]time.Duration{}
		for sec := range 400 {
			if sec%9 == 0 { // more than fits, all the time
				gang(ids.Job(fmt.Sprintf("job-%d", 100+sec)), 1)
			}
			if sec == 60 {
				gang("job-2", 2)
				submitted = time.Now()
			}
			b.Plan(time.Now())
			b.store()
			b.play(ids.Tick(sec+2), func(p *Place) string {
				if _, ok := left[p]; !ok {
					left[p] = time.Duration(70+p.Job.Rec.Submitted.Time().Second()) * time.Second // 70 to 130 s
				}
				if left[p] -= time.Second; left[p] <= 0 {
					return worker.CauseDone
				}
				return ""
			})
			if j := b.jobs["job-2"]; began == 0 && j != nil && len(j.places) == 2 {
				began = time.Since(submitted)
			}
			time.Sleep(time.Second)
		}
		if began == 0 || began > 3*time.Minute {
			t.Errorf("it began after %v", began)
		}
	})
}
