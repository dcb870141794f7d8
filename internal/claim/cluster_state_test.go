package claim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

func testSet() *config.Settings {
	s := &config.Settings{Own: config.Defaults()}
	s.Params.Workers = config.Workers{ReportS: 2, LeaseS: 20, GangWaitS: 30, GangPeerS: 5, CancelS: 40}
	s.Params.State = config.State{RPS: 100, WriteRPS: 100, ValueKB: 8, TxnOps: 12}
	s.Params.Teams = []config.Team{{Name: "red", CPUs: 4, CPUsMax: 40}, {Name: "blue", CPUs: 4}}
	s.Params.Zones = []string{"north", "south"}
	return s
}

func testBook() *ClusterState {
	b := NewClusterState(testSet(), "w", 7, time.Now())
	b.SetTypes(testTypes())
	return b
}

// setTeams replaces the teams of the settings.
func (b *ClusterState) setTeams(teams ...config.Team) {
	b.set.Params.Teams = teams
	b.quota = quota.NewBook(0, 1, teamLimits(b.set), 0)
}

func testTypes() []placement.Type {
	return []placement.Type{{Label: "small", Cores: 4, RAM: 16, CacheGB: 20, PullGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 30, Zones: []string{"north", "south"}}}
}

func (b *ClusterState) hear(name ids.Machine, zone string, tick ids.Tick, pieces ...worker.Piece) []worker.Order {
	return b.Observe(&worker.Report{Machine: name, Addr: string(name) + ":1", Type: "small", Zone: zone, Session: 1, Tick: tick, Token: 7, Pieces: pieces}, true, true)
}

func rec(id ids.Job, team string, p record.Priority, tasks int, cores float64) *record.Record {
	return record.New(record.Spec{ID: id, Class: "c", Team: team, Shape: record.Array, Priority: p, Tasks: tasks, Estimate: 10,
		Need: placement.Room{Cores: cores, RAM: 1}, Image: "i", ImageGB: 1}, ids.WallOf(time.Now()), "user")
}

// store pretends that all changes were committed.
func (b *ClusterState) store() {
	for _, j := range b.jobs {
		j.saved = j.version
	}
	b.batches(1000)
}

func TestTheTransitionTableHasNoWayOutOfAnEnd(t *testing.T) {
	t.Parallel()
	for _, from := range []record.Status{record.Queued, record.Claimed, record.Cancelling, record.Cancelled, record.Done} {
		for _, to := range []record.Status{record.Queued, record.Claimed, record.Cancelling, record.Cancelled, record.Done} {
			if from.Over() && from.May(to) {
				t.Errorf("%s may become %s", from, to)
			}
		}
	}
	if record.Cancelling.May(record.Done) || !record.Claimed.May(record.Cancelling) || !record.Queued.May(record.Cancelled) {
		t.Error("the table is not the one meant")
	}
}

func TestRecordsStaySmallAndReadBack(t *testing.T) {
	t.Parallel()
	b := testBook()
	r := rec("job-1", "red", record.Low, 100000, 1)
	j := b.addJob(r, 1, time.Now())
	for i := range 99000 {
		if i%40 != 0 || i > 1000 {
			j.Rec.Finished.Add(i)
		}
	}
	for i := range b.openLimit(j) {
		b.putPlace(&Place{Job: j, Index: i * 40, Machine: ids.Machine(fmt.Sprintf("host-%06d", i)), Session: 1, Attempt: 9, Token: 7})
	}
	out := j.Rec
	out.Places = packPlaces(j.places)
	raw, ok := out.Encode(8 * 1024)
	if !ok {
		t.Fatal("does not fit")
	}
	back, err := record.Decode(raw)
	if err != nil || back.Open() != b.openLimit(j) || back.Finished.Len() != j.Rec.Finished.Len() {
		t.Fatalf("%v; %d open, %d finished", err, back.Open(), back.Finished.Len())
	}
}

func TestPreemptionFollowsPriorityAndGuarantee(t *testing.T) {
	t.Parallel()
	now := time.Now()
	b := testBook()
	b.hear("m1", "north", 1)
	b.Learn("job-1", 1, rec("job-1", "blue", record.Normal, 4, 1), now)
	b.Plan(now)
	b.store()
	if len(b.placesOn("m1")) != 4 {
		t.Fatal("not placed")
	}
	// Same priority, beyond its guarantee: waits.
	b.Learn("job-2", 2, rec("job-2", "red", record.Normal, 5, 1), now)
	b.Plan(now)
	for p := range b.placesOn("m1") {
		if p.stopping {
			t.Fatal("displaced by work of the same priority")
		}
	}
	// Critical work displaces what is lower, and only as much as it needs.
	b.Learn("job-3", 3, rec("job-3", "red", record.Critical, 1, 2), now)
	b.Plan(now)
	stopped := 0
	for p := range b.placesOn("m1") {
		if p.stopping {
			stopped++
		}
	}
	if stopped != 2 {
		t.Fatalf("%d tasks of one core stopped for one of two", stopped)
	}
	if j := b.jobs["job-3"]; !strings.Contains(j.waiting, "m1") {
		t.Errorf("its waiting is explained as %q", j.waiting)
	}
}

func TestSmallJobsGoFirstUntilLargeOnesHaveWaited(t *testing.T) {
	t.Parallel()
	now := time.Now()
	b := testBook()
	large, small := rec("job-1", "blue", record.Normal, 60, 1), rec("job-2", "blue", record.Normal, 5, 1)
	large.Submitted = ids.WallOf(now.Add(-time.Second))
	b.Learn("job-1", 1, large, now)
	b.Learn("job-2", 2, small, now)
	if js := b.ranked(now); js[0].Rec.Spec.ID != "job-2" {
		t.Error("the large job goes first although both are new")
	}
	b.jobs["job-1"].Rec.Submitted = ids.WallOf(now.Add(-5 * time.Minute))
	if js := b.ranked(now); js[0].Rec.Spec.ID != "job-1" {
		t.Error("the large job never gets its turn")
	}
}

func TestLowPriorityRisesOneStepAndNoMore(t *testing.T) {
	t.Parallel()
	now := time.Now()
	b := testBook()
	low, high := rec("job-1", "blue", record.Low, 60, 1), rec("job-2", "blue", record.High, 60, 1)
	low.Submitted, low.Attempt = ids.WallOf(now.Add(-time.Hour)), 1
	b.Learn("job-1", 1, low, now)
	b.Learn("job-2", 2, high, now)
	if js := b.ranked(now); js[0].Rec.Spec.ID != "job-2" {
		t.Error("low work overtook high work")
	}
	// But what has not begun at all for so long does, for its first start.
	b.jobs["job-1"].Rec.Attempt = 0
	if js := b.ranked(now); js[0].Rec.Spec.ID != "job-1" {
		t.Error("a job that never began waits on")
	}
}

func TestAJobsOwnMistakeDoesNotCondemnMachines(t *testing.T) {
	t.Parallel()
	now := time.Now()
	b := testBook()
	b.Learn("job-1", 1, rec("job-1", "blue", record.Normal, 1, 1), now)
	fail := func(m ids.Machine, a ids.Attempt, tick ids.Tick) {
		b.hear(m, "north", tick, worker.Piece{Task: "job-1/0", Attempt: a, Status: worker.Running})
		b.hear(m, "north", tick+1, worker.Piece{Task: "job-1/0", Attempt: a, Status: worker.Ended, Cause: worker.CauseError})
	}
	for i := range 6 {
		fail(ids.Machine(fmt.Sprint("m", i)), ids.Attempt(i+1), 1)
	}
	for i := range 6 {
		if m := b.roster.Machines[ids.Machine(fmt.Sprint("m", i))]; m.Draining != "" {
			t.Errorf("%s is drained for one job that fails everywhere", m.Name)
		}
	}
	if r := b.jobs["job-1"].tries[0]; r.fails != 6 || time.Until(r.at) < 30*time.Second {
		t.Errorf("%d failures, next try in %v", r.fails, time.Until(r.at))
	}
	// Jobs that fail on one machine and complete on another condemn it.
	for n := range 2 {
		id := ids.Job(fmt.Sprint("job-10", n))
		b.Learn(id, ids.Revision(n+5), rec(id, "blue", record.Normal, 1, 1), now)
		b.hear("bad", "north", ids.Tick(2*n+1), worker.Piece{Task: string(id) + "/0", Attempt: 1, Status: worker.Running})
		b.hear("bad", "north", ids.Tick(2*n+2), worker.Piece{Task: string(id) + "/0", Attempt: 1, Status: worker.Ended, Cause: worker.CauseError})
		if b.roster.Machines["bad"].Draining != "" {
			t.Error("condemned by jobs of which nothing completed yet")
		}
	}
	for n := range 2 {
		task := fmt.Sprintf("job-10%d/0", n)
		b.hear("good", "north", ids.Tick(2*n+1), worker.Piece{Task: task, Attempt: 2, Status: worker.Running})
		b.hear("good", "north", ids.Tick(2*n+2), worker.Piece{Task: task, Attempt: 2, Status: worker.Ended, Cause: worker.CauseDone})
	}
	if b.roster.Machines["bad"].Draining == "" {
		t.Error("a machine on which different jobs fail is still used")
	}
}

func TestOutcomesAreClearedOnlyOnceStored(t *testing.T) {
	t.Parallel()
	now := time.Now()
	b := testBook()
	b.hear("m1", "north", 1)
	b.Learn("job-1", 1, rec("job-1", "blue", record.Normal, 1, 1), now)
	b.Plan(now)
	b.store()
	m := b.roster.Machines["m1"]
	m.LateStarts = nil // its answer came
	done := worker.Piece{Task: "job-1/0", Attempt: 1, Status: worker.Ended, Cause: worker.CauseDone}
	if o := b.hear("m1", "north", 2, done); len(o) != 0 {
		t.Fatalf("ordered %v before the outcome was stored", o)
	}
	if o := b.hear("m1", "north", 3, done); len(o) != 0 {
		t.Fatalf("ordered %v before the outcome was stored", o)
	}
	b.store()
	if o := b.hear("m1", "north", 4, done); len(o) != 1 || o[0].Verb != "clear" {
		t.Fatalf("ordered %v", o)
	}
	// With a late start unaccounted for, a cleared attempt could begin anew.
	m.LateStarts = []worker.LateStart{{Task: "job-1/0", Attempt: 1, Token: 7, Session: 1}}
	if o := b.hear("m1", "north", 5, done); len(o) != 0 {
		t.Fatalf("ordered %v although a late start may come", o)
	}
}

func TestSilenceOfAWholeZoneIsLeftToTheLeases(t *testing.T) {
	t.Parallel()
	b := testBook()
	names := []ids.Machine{"n1", "n2", "n3", "n4", "n5", "s1", "s2", "s3"}
	for _, n := range names {
		zone := "north"
		if n[0] == 's' {
			zone = "south"
		}
		b.hear(n, zone, 1)
	}
	silence := func(ns ...ids.Machine) {
		for _, n := range ns {
			m := b.roster.Machines[n]
			m.Seen, m.Doubted, m.Probes = time.Now().Add(-6*time.Second), time.Now().Add(-5*time.Second), 2
		}
	}
	silence("n1")
	if gone := b.Returns(time.Now(), map[ids.Machine]bool{}); len(gone) != 1 || gone[0] != "n1" {
		t.Fatalf("one silent machine: returned %v", gone)
	}
	silence("s1", "s2", "s3")
	for _, n := range b.Returns(time.Now(), map[ids.Machine]bool{}) {
		if n[0] == 's' {
			t.Errorf("%s returned although all of its zone is silent", n)
		}
	}
	if !b.DarkZones()["south"] || b.DarkZones()["north"] {
		t.Errorf("dark: %v", b.DarkZones())
	}
}

func TestTeamLimitsHoldForWhatMayBeThere(t *testing.T) {
	t.Parallel()
	now := time.Now()
	b := testBook()
	for i := range 20 {
		b.hear(ids.Machine(fmt.Sprint("m", i)), "north", 1)
	}
	b.Learn("job-1", 1, rec("job-1", "red", record.Normal, 60, 1), now)
	b.Plan(now)
	b.Plan(now)
	if n := len(b.jobs["job-1"].places); n != 40 {
		t.Errorf("%d cores placed of a limit of 40", n)
	}
}

func TestATeamsOwnLesserWorkMakesWayAtItsLimit(t *testing.T) {
	t.Parallel()
	now := time.Now()
	b := testBook()
	for i := range 20 {
		b.hear(ids.Machine(fmt.Sprint("m", i)), "north", 1)
	}
	b.Learn("job-1", 1, rec("job-1", "red", record.Normal, 60, 1), now)
	b.Plan(now)
	b.store()
	b.Learn("job-2", 2, rec("job-2", "red", record.Critical, 1, 2), now)
	b.Plan(now)
	b.Plan(now)
	stopping := 0
	for _, p := range b.jobs["job-1"].places {
		if p.stopping {
			stopping++
		}
	}
	if stopping != 2 || !strings.Contains(b.jobs["job-2"].waiting, "limit") {
		t.Errorf("%d tasks of one core stopped for one of two; it waits for %q", stopping, b.jobs["job-2"].waiting)
	}
}

func TestReplicasTakeRoomWhereTheirImageIs(t *testing.T) {
	t.Parallel()
	now := time.Now()
	b := testBook()
	b.hear("warm", "north", 1)
	b.hear("cold", "north", 1)
	b.holdsNow(b.hostOf("warm"), b.roster.Machines["warm"], "svc", 5, 20)
	b.Learn("job-1", 1, rec("job-1", "blue", record.Normal, 4, 1), now)
	b.holdsNow(b.hostOf("warm"), b.roster.Machines["warm"], "i", 1, 20) // so that the array goes there
	b.Plan(now)
	b.store()
	if len(b.placesOn("warm")) != 4 {
		t.Fatal("the array is elsewhere")
	}
	svc := rec("job-2", "blue", record.Critical, 1, 1)
	svc.Spec.Shape, svc.Spec.Image, svc.Spec.ImageGB = record.Service, "svc", 5
	b.Learn("job-2", 2, svc, now)
	b.Plan(now)
	b.Plan(now.Add(30 * time.Millisecond)) // while the stop is under way it waits
	if len(b.jobs["job-2"].places) != 0 {
		t.Fatal("placed where it has to fetch although its image is on a machine whose work makes way")
	}
	b.Plan(now.Add(3 * time.Second)) // the stop had no effect: better cold than never
	if p := b.jobs["job-2"].places[0]; p == nil || p.Machine != "cold" {
		t.Fatalf("placed %+v", p)
	}
}

func TestRoomFreedForOneJobIsNotLostToOthers(t *testing.T) {
	t.Parallel()
	now := time.Now()
	b := testBook()
	for _, m := range []ids.Machine{"m1", "m2", "m3"} {
		b.hear(m, "north", 1)
	}
	b.Learn("job-1", 1, rec("job-1", "blue", record.Normal, 3, 4), now)
	b.Plan(now)
	b.store()
	for m := range b.roster.Machines {
		for p := range b.placesOn(m) {
			p.seen = true
		}
	}
	for i := range 3 {
		id := ids.Job(fmt.Sprint("job-2", i))
		b.Learn(id, ids.Revision(i+2), rec(id, "blue", record.Critical, 1, 1), now)
	}
	b.Plan(now) // each displaces a task of four cores for one core
	for m := range b.roster.Machines {
		for p := range b.placesOn(m) {
			if p.stopping {
				b.dropPlace(p)
			}
		}
	}
	for i := range 9 {
		id := ids.Job(fmt.Sprint("job-3", i))
		b.Learn(id, ids.Revision(i+9), rec(id, "blue", record.Critical, 1, 1), now)
	}
	b.Plan(now.Add(50 * time.Millisecond))
	n := 0
	for id, j := range b.jobs {
		if id != "job-1" {
			n += len(j.places)
		}
	}
	if n != 12 {
		t.Errorf("%d of 12 critical tasks placed on twelve free cores", n)
	}
}

func TestCriticalWorkWaitsForASaveOnlyIfMuchWouldBeLost(t *testing.T) {
	t.Parallel()
	now := time.Now()
	j := &Job{Rec: *rec("job-1", "blue", record.Low, 1, 4)}
	j.Rec.Spec.Checkpoint, j.Rec.Spec.Save = 60, 5
	for ran, want := range map[time.Duration]bool{2 * time.Second: true, 40 * time.Second: false, 65 * time.Second: true} {
		p := &Place{Job: j, ranSince: now.Add(-ran)}
		if p.littleToSave(now) != want {
			t.Errorf("after %v of running: %v", ran, !want)
		}
	}
}

func TestReplicasAreNotSwappedForAnImage(t *testing.T) {
	t.Parallel()
	now := time.Now()
	b := testBook()
	b.hear("warm", "north", 1)
	b.hear("cold", "north", 1)
	b.holdsNow(b.hostOf("warm"), b.roster.Machines["warm"], "svc", 5, 20)
	svc := func(id ids.Job, team string, tasks int) *record.Record {
		r := rec(id, team, record.Critical, tasks, 1)
		r.Spec.Shape, r.Spec.Image, r.Spec.ImageGB = record.Service, "svc", 5
		return r
	}
	// red runs more than its guarantee of four cores, blue nothing yet.
	b.Learn("job-1", 1, svc("job-1", "red", 5), now)
	b.Plan(now)
	b.store()
	b.Learn("job-2", 2, svc("job-2", "blue", 1), now)
	b.Plan(now)
	for _, p := range b.jobs["job-1"].places {
		if p.stopping {
			t.Fatalf("replica on %s stopped although another machine has room", p.Machine)
		}
	}
	if len(b.jobs["job-2"].places) != 1 {
		t.Fatal("the other team's replica was not placed")
	}
}

func TestAMissWidensTheSampleToAll(t *testing.T) {
	t.Parallel()
	now := time.Now()
	b := testBook()
	one := func(id ids.Job, cores float64) {
		b.Learn(id, 1, rec(id, "blue", record.Normal, 1, cores), now)
		b.Plan(now)
	}
	for i := range 60 {
		b.hear(ids.Machine(fmt.Sprintf("m%02d", i)), "north", 1)
	}
	for i := range 59 {
		one(ids.Job(fmt.Sprintf("job-%d", i)), 3)
	}
	b.hear("wide", "north", 1)
	one("job-100", 4) // only two machines of sixty-one have room for it
	one("job-101", 4)
	one("job-102", 4)
	if n := len(b.jobs["job-100"].places) + len(b.jobs["job-101"].places) + len(b.jobs["job-102"].places); n != 2 {
		t.Fatalf("%d of 2 that fit were placed", n)
	}
	b.hear("warm", "north", 1)
	b.holdsNow(b.hostOf("warm"), b.roster.Machines["warm"], "other", 1, 20)
	for i := range 5 {
		b.hear(ids.Machine(fmt.Sprintf("cold%d", i)), "north", 1)
	}
	r := rec("job-200", "blue", record.Normal, 1, 1)
	r.Spec.Image = "other"
	b.Learn("job-200", 1, r, now)
	b.Plan(now)
	if p := b.jobs["job-200"].places[0]; p == nil || p.Machine != "warm" {
		t.Fatalf("placed %+v, not where its image is", p)
	}
}

func TestAMachineThatReportsButCannotBeReachedIsReplaced(t *testing.T) {
	t.Parallel()
	// Guards against a cut of one direction: its beats come in, so that it looks
	// well, but no start and no answer ever reaches it.
	now := time.Now()
	b := testBook()
	for i := range 6 {
		b.hear(ids.Machine(fmt.Sprint("m", i)), "north", 1)
	}
	b.Learn("job-1", 1, rec("job-1", "blue", record.Normal, 1, 1), now)
	b.Plan(now)
	for _, j := range b.jobs {
		j.saved = j.version
	}
	bas := b.batches(1000)
	if len(bas) != 1 {
		t.Fatalf("%d batches for one task", len(bas))
	}
	at := bas[0].machine
	b.answered(bas[0], worker.Uncertain)
	b.hear(at, "north", 2)
	b.Learn("job-2", 2, rec("job-2", "blue", record.Normal, 12, 1), now)
	b.Plan(now)
	if n := len(b.placesOn(at)); n != 1 {
		t.Fatalf("%d tasks on a machine that does not answer, not only the uncertain one", n)
	}
	m := b.roster.Machines[at]
	for tick := ids.Tick(3); tick < 6; tick++ {
		b.probed(at, false)
		for i := range 6 {
			b.hear(ids.Machine(fmt.Sprint("m", i)), "north", tick) // its own beats, too
		}
	}
	m.Unreached, m.Doubted = now.Add(-10*time.Second), now.Add(-10*time.Second)
	if p := b.jobs["job-1"].places[0]; p == nil || p.Machine != at {
		t.Fatal("the uncertain start was given up without evidence")
	}
	if gone := b.Returns(time.Now(), map[ids.Machine]bool{}); len(gone) != 1 || gone[0] != at {
		t.Fatalf("returned %v, not %s alone", gone, at)
	}
	b.MachineGone(at) // the cloud's word is the evidence
	b.Plan(now)
	if p := b.jobs["job-1"].places[0]; p == nil || p.Machine == at {
		t.Fatal("the job does not go on elsewhere")
	}
	// One answered question makes a machine whole again.
	other := ids.Machine("m0")
	if at == other {
		other = "m1"
	}
	b.probed(other, false)
	if b.roster.Machines[other].Usable(now, 2) {
		t.Error("a machine that left a question unanswered takes work")
	}
	b.probed(other, true)
	if !b.roster.Machines[other].Usable(now, 2) {
		t.Error("a machine that answers again takes no work")
	}
}

func gangBook(now time.Time) (*ClusterState, *Job) {
	b := testBook()
	b.hear("warm", "north", 1)
	b.hear("cold", "north", 1)
	b.holdsNow(b.hostOf("warm"), b.roster.Machines["warm"], "i", 1, 20)
	r := rec("job-1", "blue", record.High, 2, 3)
	r.Spec.Shape = record.Gang
	b.Learn("job-1", 1, r, now)
	b.Plan(now)
	for _, j := range b.jobs {
		j.saved = j.version
		b.settledUpTo(j)
	}
	return b, b.jobs["job-1"]
}

// startsFor lists the machines that get a start now.
func (b *ClusterState) startsFor() map[ids.Machine]bool {
	out := map[ids.Machine]bool{}
	for _, ba := range b.batches(1000) {
		for _, o := range ba.orders {
			out[ba.machine] = out[ba.machine] || o.Verb == "start"
		}
	}
	return out
}

func TestAGangsTaskThatHasItsImageStartsWhenTheOthersHaveTheirs(t *testing.T) {
	t.Parallel()
	// Guards against tasks that give up waiting while others fetch a large
	// image, again and again.
	b, j := gangBook(time.Now())
	if len(j.places) != 2 {
		t.Fatal("not placed")
	}
	if s := b.startsFor(); !s["cold"] || s["warm"] {
		t.Fatalf("started on %v", s)
	}
	task := map[ids.Machine]string{}
	for _, p := range j.places {
		task[p.Machine] = p.Task().String()
	}
	if o := b.hear("warm", "north", 2); len(o) != 0 {
		t.Fatalf("a beat was answered with %v", o)
	}
	b.hear("cold", "north", 2, worker.Piece{Task: task["cold"], Attempt: 1, Status: worker.Pulling})
	if s := b.startsFor(); s["warm"] {
		t.Fatal("started while the other still fetches")
	}
	b.hear("cold", "north", 3, worker.Piece{Task: task["cold"], Attempt: 1, Status: worker.Waiting})
	if s := b.startsFor(); !s["warm"] {
		t.Fatal("not started although the other waits for it")
	}
}

func TestATaskReplacedWhereItEndedIsClearedFirst(t *testing.T) {
	t.Parallel()
	// Guards against taking the old outcome of an attempt for that of its
	// replacement on the same machine, which then was placed anew at each pass.
	now := time.Now()
	b, j := gangBook(now)
	b.startsFor()
	task := map[ids.Machine]string{}
	for _, p := range j.places {
		task[p.Machine] = p.Task().String()
	}
	b.hear("cold", "north", 2, worker.Piece{Task: task["cold"], Attempt: 1, Status: worker.Waiting})
	b.startsFor()
	for _, m := range b.roster.Machines {
		m.LateStarts = nil // the commands were answered
	}
	b.hear("warm", "north", 2, worker.Piece{Task: task["warm"], Attempt: 1, Status: worker.Waiting})
	ended := worker.Piece{Task: task["warm"], Attempt: 1, Status: worker.Ended, Cause: worker.CauseIncomplete}
	b.hear("warm", "north", 3, ended)
	b.Plan(now)
	p := j.places[0]
	if p == nil || p.Machine != "warm" {
		p = j.places[1]
	}
	if p == nil || p.Machine != "warm" || p.Attempt != 1 {
		t.Fatalf("replaced by %+v", p)
	}
	j.saved = j.version
	b.settledUpTo(j)
	if s := b.startsFor(); s["warm"] {
		t.Fatal("started while the worker still lists the ended one")
	}
	if o := b.hear("warm", "north", 4, ended); len(o) != 1 || o[0].Verb != "clear" {
		t.Fatalf("ordered %v", o)
	}
	if j.places[p.Index] != p {
		t.Fatal("the old outcome was taken for the new one's")
	}
	if o := b.hear("warm", "north", 5); len(o) != 1 || o[0].Verb != "start" {
		t.Fatalf("after it was cleared, ordered %v", o)
	}
}

func TestOfGangsAlikeTheOneThatNeedNotFetchGoesFirst(t *testing.T) {
	t.Parallel()
	now := time.Now()
	b := testBook()
	b.set.Params.Teams[1].CPUs = 0 // neither is guaranteed
	b.hear("m1", "north", 1)
	b.holdsNow(b.hostOf("m1"), b.roster.Machines["m1"], "held", 8, 20)
	for id, image := range map[ids.Job]string{"job-1": "other", "job-2": "held"} {
		r := rec(id, "blue", record.High, 1, 4)
		r.Spec.Shape, r.Spec.Image, r.Spec.ImageGB = record.Gang, image, 8
		b.Learn(id, 1, r, now)
	}
	b.Plan(now)
	if len(b.jobs["job-2"].places) != 1 || len(b.jobs["job-1"].places) != 0 {
		t.Fatal("the machine fetches although a gang waits whose image it holds")
	}
}

func TestReplicasOnASilentMachineDoNotWaitForALongReportInterval(t *testing.T) {
	t.Parallel()
	b := testBook()
	b.set.Params.Workers.ReportS = 10
	now := time.Now()
	for i := range 8 {
		b.hear(ids.Machine(fmt.Sprint("m", i)), "north", 1)
	}
	svc := rec("job-1", "blue", record.Critical, 1, 4)
	svc.Spec.Shape = record.Service
	b.Learn("job-1", 1, svc, now)
	b.Learn("job-2", 2, rec("job-2", "blue", record.Normal, 1, 4), now)
	b.Plan(now)
	b.store()
	with, without := b.jobs["job-1"].places[0].Machine, b.jobs["job-2"].places[0].Machine
	for _, m := range b.roster.Machines {
		m.Seen = now.Add(-3 * time.Second)
	}
	asked := map[ids.Machine]bool{}
	for _, pr := range b.toProbe(now, 100) {
		asked[pr.machine] = true
	}
	if !asked[with] || len(asked) != 1 {
		t.Fatalf("asked %v, not only %s, which has a replica", asked, with)
	}
	for _, m := range b.roster.Machines {
		m.Seen = now
	}
	for _, name := range []ids.Machine{with, without} {
		m := b.roster.Machines[name]
		m.Seen, m.Doubted, m.Probes = now.Add(-4500*time.Millisecond), now.Add(-2*time.Second), 2
	}
	if gone := b.Returns(now, map[ids.Machine]bool{}); len(gone) != 1 || gone[0] != with {
		t.Fatalf("returned %v, not %s", gone, with)
	}
	// One unanswered question may be bad luck.
	b.roster.Machines[without].Probes = 1
	b.roster.Machines[without].Seen = now.Add(-12 * time.Second)
	if gone := b.Returns(now, map[ids.Machine]bool{}); len(gone) != 1 {
		t.Fatalf("returned %v after one question", gone)
	}
}

func TestWhatOnlyThisLeaderKnowsIsStoredAtOnce(t *testing.T) {
	t.Parallel()
	// Outcomes wait for one another, since workers report them until they are
	// cleared. That a machine is gone, the next leader would learn much later.
	now := time.Now()
	b := testBook()
	b.hear("m1", "north", 1)
	b.Learn("job-1", 1, rec("job-1", "blue", record.Normal, 2, 1), now)
	b.Plan(now)
	c := &Committer{Cluster: b, State: state.NewClient("s", nil, state.NewBudget(100, 100, 1, 0.6))}
	store := func() int {
		group := c.collect()
		for _, p := range group {
			b.stored(p, p.job.stamp+1)
		}
		b.batches(1000)
		return len(group)
	}
	if store() != 1 {
		t.Fatal("the marker is not stored at once")
	}
	b.roster.Machines["m1"].LateStarts = nil
	b.hear("m1", "north", 2, worker.Piece{Task: "job-1/0", Attempt: 1, Status: worker.Ended, Cause: worker.CauseDone},
		worker.Piece{Task: "job-1/1", Attempt: 1, Status: worker.Running})
	if store() != 0 {
		t.Fatal("an outcome that may wait is stored by itself")
	}
	b.MachineGone("m1")
	if store() != 1 {
		t.Fatal("that a machine is gone waits")
	}
}

func TestAJobTooLargeForItsRecordSaysSoAndHoldsNoRoom(t *testing.T) {
	t.Parallel()
	now := time.Now()
	b := fleet(t, 100)
	limit := b.openLimit(&Job{Rec: *rec("job-2", "blue", record.Normal, 200, 1)}) // it follows from what the description leaves
	gang := rec("job-1", "blue", record.High, limit+1, 1)
	gang.Spec.Shape = record.Gang
	b.Learn("job-1", 1, gang, now)
	b.Learn("job-2", 2, rec("job-2", "blue", record.Normal, limit+50, 1), now)
	b.Plan(now)
	b.Plan(now)
	if j := b.jobs["job-1"]; len(j.places) != 0 || !strings.Contains(j.waiting, "record") {
		t.Errorf("the gang has %d places and waits for %q", len(j.places), j.waiting)
	}
	if j := b.jobs["job-2"]; len(j.places) != limit || !strings.Contains(j.waiting, "record") {
		t.Errorf("the array has %d places, not %d, and waits for %q", len(j.places), limit, j.waiting)
	}
	// A record that comes out larger all the same gives up what has not
	// started, and the job goes on in smaller batches.
	b.tooLarge(b.jobs["job-2"], 8192)
	b.Plan(now)
	if n := len(b.jobs["job-2"].places); n == 0 || n > limit/2 {
		t.Errorf("%d places after the record did not fit", n)
	}
}

func TestNewsOfTheLastLeadersWritesBeforeTheRecordsAreRead(t *testing.T) {
	// Found by transactions without answers around a takeover, two starts of one task:
	// the last leader's marker reached the new one as news, before it had read the
	// records, and was taken for a user's write, which places nothing.
	t.Parallel()
	now := time.Now()
	marked := func(gen ids.Generation) *record.Record {
		r := rec("job-1", "red", record.Normal, 2, 1)
		r.Status, r.Attempt, r.Gen, r.Writer = record.Claimed, 1, gen, "a.1/6"
		r.Places = []record.PlaceGroup{{Token: gen, Session: 1, Attempt: 1, Prefix: "m1", On: ":0-1"}}
		return r
	}
	for name, listed := range map[string]ids.Revision{"the list is as new": 26, "the list is older": 25, "not in the list": 0, "newer": 27} {
		b := testBook()
		b.Learn("job-1", 25, rec("job-1", "red", record.Normal, 2, 1), now)
		b.Learn("job-1", 26, marked(6), now)
		recs, stamps := map[ids.Job]*record.Record{}, map[ids.Job]ids.Revision{}
		switch listed {
		case 25:
			recs["job-1"], stamps["job-1"] = rec("job-1", "red", record.Normal, 2, 1), 25
		case 26, 27:
			recs["job-1"], stamps["job-1"] = marked(6), listed
		}
		b.Load(recs, stamps, max(listed, 25), now)
		if j := b.jobs["job-1"]; j == nil || len(j.places) != 2 || j.stamp != max(26, listed) {
			t.Errorf("%s: the places are lost: %+v", name, j)
		}
	}
	// What ended before the records were read is not there either.
	b := testBook()
	b.Learn("job-1", 26, marked(6), now)
	b.Learn("job-1", 27, nil, now)
	b.Load(map[ids.Job]*record.Record{}, map[ids.Job]ids.Revision{}, 27, now)
	if len(b.jobs) != 0 || b.quota.Used("red").Cores != 0 {
		t.Errorf("%d jobs, %v cores of an ended job", len(b.jobs), b.quota.Used("red").Cores)
	}
}
