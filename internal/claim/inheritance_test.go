package claim

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// diamond is a low job, two low ones that await it, and a high one that awaits both.
func diamond(b *ClusterState, now time.Time) {
	b.Learn("job-1", 1, rec("job-1", "red", record.Low, 1, 1), now)
	b.LearnWaiting("job-2", 2, waits("job-2", record.Low, 0, "job-1"), now)
	b.LearnWaiting("job-3", 3, waits("job-3", record.Low, 0, "job-1"), now)
	b.LearnWaiting("job-4", 4, waits("job-4", record.High, 200, "job-2", "job-3"), now)
}

func TestUrgencyFlowsThroughADiamondAndOutAgain(t *testing.T) {
	// Guards against a priority that stays with jobs, and displaces others, when nobody
	// urgent needs them any more, whoever cancelled what; and against one branch losing
	// it because the other does.
	for name, c := range map[string]struct {
		change        func(b *ClusterState, now time.Time)
		first, branch record.Priority // of job-1 and job-3 afterwards
	}{
		"nothing": {func(*ClusterState, time.Time) {}, record.High, record.High},
		"the urgent one is cancelled at another node": {func(b *ClusterState, now time.Time) {
			b.LearnWaiting("job-4", 9, nil, now)
		}, record.Low, record.Low},
		"its end is read": {func(b *ClusterState, now time.Time) {
			b.LearnWaiting("job-4", 9, nil, now)
			b.finally("job-4", record.Cancelled)
		}, record.Low, record.Low},
		"one branch is cancelled at another node, so the urgent one is": {func(b *ClusterState, now time.Time) {
			b.LearnWaiting("job-2", 9, nil, now)
			b.finally("job-2", record.Cancelled)
		}, record.Low, record.Low},
		"one branch is done": {func(b *ClusterState, now time.Time) {
			b.LearnWaiting("job-2", 9, nil, now)
			b.finally("job-2", record.Done)
		}, record.High, record.High},
		"another urgent one needs one branch, the first goes": {func(b *ClusterState, now time.Time) {
			b.LearnWaiting("job-5", 5, waits("job-5", record.High, 100, "job-3"), now)
			b.LearnWaiting("job-4", 9, nil, now)
		}, record.High, record.High},
		"the first is cancelled": {func(b *ClusterState, now time.Time) {
			cancelled := rec("job-1", "red", record.Low, 1, 1)
			cancelled.Status = record.Cancelling
			b.Learn("job-1", 9, cancelled, now)
		}, record.Low, record.Low},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := time.Now()
				b := testBook()
				diamond(b, now)
				b.loaded = true
				first := b.jobs["job-1"]
				c.change(b, now)
				if got := first.priority(); got != c.first {
					t.Errorf("the first has priority %s, not %s", got, c.first)
				}
				if got := record.Priority(b.pipes.graph.Inherited("job-3").Priority); got != c.branch {
					t.Errorf("the other branch inherits %s, not %s", got, c.branch)
				}
			})
		})
	}
}

func TestABranchTakesItsPriorityAlongWhenItMoves(t *testing.T) {
	// Guards against a job that becomes claimable as what its user called it.
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		b := testBook()
		diamond(b, now)
		b.finally("job-1", record.Done)
		w := b.pipes.waits["job-2"]
		moved := *w.rec
		b.movedOn(pending{wait: w, moved: &moved}, 5, now)
		if j := b.jobs["job-2"]; j == nil || j.priority() != record.High || j.inherited.Deadline.Sub(now) != 189*time.Second {
			t.Errorf("the branch that moved is %+v", j)
		}
	})
}

func TestALowJobThatAHighOneNeedsDisplacesNormalWorkWithinItsTeamsLimit(t *testing.T) {
	// Guards against a pipeline held up by lesser work on a full fleet, and against its
	// priority lifting it over its team's limit.
	synctest.Test(t, func(t *testing.T) {
		for _, needed := range []bool{false, true} {
			now := time.Now()
			b := testBook()
			b.setTeams(config.Team{Name: "red", CPUsMax: 3}, b.set.Params.Teams[1])
			b.hear("m1", "north", 1)
			b.hear("m2", "north", 1)
			b.Learn("job-1", 1, rec("job-1", "blue", record.Normal, 8, 1), now)
			b.Plan(now)
			b.store()
			b.Learn("job-2", 2, rec("job-2", "red", record.Low, 8, 1), now)
			if needed {
				b.LearnWaiting("job-3", 3, waits("job-3", record.High, 0, "job-2"), now)
			}
			for range 10 {
				b.Plan(now)
				b.store()
				for p := range b.placesOn("m1") {
					if p.stopping {
						b.dropPlace(p)
					}
				}
				for p := range b.placesOn("m2") {
					if p.stopping {
						b.dropPlace(p)
					}
				}
				now = now.Add(time.Second)
				if used := b.quota.Used("red").Cores; used > 3 {
					t.Fatalf("its team has %v cores, 3 at most", used)
				}
			}
			want := 0
			if needed {
				want = 3
			}
			if low, normal := len(b.jobs["job-2"].places), len(b.jobs["job-1"].places); low != want || normal != 8-want {
				t.Errorf("needed by a high job: %v; %d of its tasks are placed, and %d of the normal job's", needed, low, normal)
			}
		}
	})
}

func TestOnlyTheDeadlineCountsFromTheSubmission(t *testing.T) {
	// Guards against a job that waited long for others counting as one that starves, or
	// rising above its priority, at once; and against a deadline that begins anew.
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		waited := rec("job-1", "blue", record.Low, 50, 1)
		waited.Submitted, waited.Ready = ids.WallOf(now.Add(-200*time.Second)), ids.WallOf(now)
		waited.Spec.Due = 250
		b := testBook()
		b.set.Params.Teams[1].CPUs = 0
		b.Learn("job-1", 1, waited, now)
		b.Learn("job-2", 2, rec("job-2", "blue", record.Normal, 1, 1), now)
		b.jobs["job-2"].Rec.Submitted = ids.WallOf(now.Add(60 * time.Second))
		j := b.jobs["job-1"]
		for _, c := range []struct {
			after          time.Duration
			first, starves bool
		}{{0, false, false}, {44 * time.Second, false, false}, {99 * time.Second, false, false}, {101 * time.Second, true, true}} {
			at := now.Add(c.after)
			if first := b.ranked(at)[0] == j; first != c.first || j.starves(at) != c.starves {
				t.Errorf("%v after it is ready it goes first: %v, starves: %v", c.after, first, j.starves(at))
			}
		}
		b.Learn("job-3", 3, rec("job-3", "blue", record.Low, 1, 1), now) // among low jobs it rises after 45 s
		b.jobs["job-3"].Rec.Submitted = ids.WallOf(now.Add(20 * time.Second))
		for after, first := range map[time.Duration]bool{44 * time.Second: false, 46 * time.Second: true} {
			order := b.ranked(now.Add(after))
			if got := order[1] == j; got != first {
				t.Errorf("%v after it is ready it goes before a small low job: %v", after, got)
			}
		}
		if left := deadline(&j.Rec).Sub(now); left != 50*time.Second {
			t.Errorf("its deadline is in %v", left)
		}
		// Of 50 s 10 are its own; a quarter of the rest.
		if horizon := b.horizon(j); horizon != 10 {
			t.Errorf("it should get its turn within %v s", horizon)
		}
	})
}

func TestANewLeaderPassesOnFetchesOnceItKnowsTheMachineTypes(t *testing.T) {
	// Guards against deadlines that leave no time for fetches for as long as a leader
	// leads: it reads the records before it knows the types.
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		b := NewClusterState(testSet(), "w", 7, now)
		diamond(b, now)
		first := b.jobs["job-1"]
		before := first.inherited.Deadline.Sub(now)
		b.SetTypes(testTypes())
		if after := first.inherited.Deadline.Sub(now); before != 180*time.Second || after != 178*time.Second {
			t.Errorf("the first has %v without the fetches of two jobs, %v with them", before, after)
		}
	})
}

func TestNewsOutrunsTheRecordsOfATakeover(t *testing.T) {
	// Guards against a job that its user cancelled while the new leader read the
	// records: it would count as waiting, and what awaits it would not end.
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		b := testBook()
		b.LearnWaiting("job-2", 9, nil, now)
		b.LearnWaiting("job-4", 4, nil, now) // an earlier record of that key
		b.LoadWaiting(map[ids.Job]*record.Record{
			"job-2": waits("job-2", record.Low, 0, "job-1"), "job-3": waits("job-3", record.Low, 0, "job-2"), "job-4": waits("job-4", record.Low, 0, "job-1"),
		}, map[ids.Job]ids.Revision{"job-2": 5, "job-3": 6, "job-4": 7}, now)
		if _, asked := b.pipes.lookUp["job-2"]; !asked || b.pipes.waits["job-2"] != nil || b.pipes.waits["job-4"] == nil {
			t.Errorf("it is looked up: %v; those that wait: %v", asked, b.pipes.waits)
		}
		b.finally("job-2", record.Cancelled)
		if by := b.pipes.graph.CancelledBy("job-3"); by != "job-2" {
			t.Errorf("what awaits it is cancelled by %q", by)
		}
		b.LearnWaiting("job-9", 10, nil, now)
		if len(b.pipes.left) != 0 {
			t.Error("what came after the records is remembered")
		}
	})
}
