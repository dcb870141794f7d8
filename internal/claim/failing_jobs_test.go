package claim

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// play lets every machine report what is placed on it: ends tells how a task ends
// at once, empty while it runs.
func (b *ClusterState) play(tick ids.Tick, ends func(p *Place) string) {
	on := map[ids.Machine][]worker.Piece{}
	for _, j := range b.jobs {
		for _, p := range j.places {
			if !p.sent {
				continue // nobody has told its machine yet
			}
			pc := worker.Piece{Task: p.Task().String(), Attempt: p.Attempt, Status: worker.Running}
			if how := ends(p); how != "" && p.seen {
				pc.Status, pc.Cause = worker.Ended, how
			}
			on[p.Machine] = append(on[p.Machine], pc)
		}
	}
	zones := map[ids.Machine]string{}
	for _, m := range b.roster.Machines {
		zones[m.Name] = m.Zone
	}
	for name, zone := range zones {
		b.hear(name, zone, tick, on[name]...)
	}
}

func TestAJobSubmittedWithAMistakeTakesLittleAndHarmsNobody(t *testing.T) {
	t.Parallel()
	// Found on days with such jobs: each cost machines their name and was rented
	// for, and all of its tasks were tried again and again.
	synctest.Test(t, func(t *testing.T) {
		b := fleet(t, 30)
		bad := rec("job-1", "blue", record.High, 60, 1)
		b.Learn("job-1", 1, bad, time.Now())
		good := rec("job-2", "blue", record.Normal, 60, 1)
		good.Spec.Class = "g"
		b.Learn("job-2", 1, good, time.Now())
		starts, most := 0, 0
		for tick := ids.Tick(2); tick < 180; tick++ { // three minutes, a report a second
			now := time.Now()
			before := b.jobs["job-1"].Rec.Attempt
			b.Plan(now)
			if tick > 10 && b.jobs["job-1"].Rec.Attempt > before {
				starts++
				most = max(most, len(b.jobs["job-1"].places))
			}
			b.store()
			if tick > 10 {
				ds, _, _ := b.Needs(now)
				for _, d := range ds {
					if d.Ask.Image == "i" && !d.Keep && d.Count > 0 && b.jobs["job-2"].pending() == 0 {
						t.Fatalf("rented for %d tasks that fail wherever they run", d.Count)
					}
				}
				for _, p := range b.jobs["job-2"].places {
					if p.stopping {
						t.Fatal("good work was stopped for it")
					}
				}
			}
			b.play(tick, func(p *Place) string {
				if p.Job.Rec.Spec.ID == "job-1" {
					return worker.CauseError
				}
				return ""
			})
			time.Sleep(time.Second)
		}
		if starts == 0 || starts > 8 || most != 1 {
			t.Errorf("tried %d times in three minutes, up to %d tasks at once", starts, most)
		}
		for _, m := range b.roster.Machines {
			if m.Draining != "" {
				t.Fatalf("%s is blamed for it", m.Name)
			}
		}
		if n := len(b.jobs["job-2"].places); n != 60 {
			t.Errorf("%d of 60 tasks of a good job run", n)
		}
		lines := strings.Join(b.Explain("job-1"), "\n")
		if !strings.Contains(lines, "fail wherever they run") || !strings.Contains(lines, "next try in") {
			t.Errorf("explained as %s", lines)
		}
		// A new leader knows it from the record, and does not start all of it again.
		heir := fleet(t, 30)
		r := b.jobs["job-1"].Rec
		r.Places = nil
		heir.Learn("job-1", 1, &r, time.Now())
		heir.Plan(time.Now())
		if n := len(heir.jobs["job-1"].places); n != 1 {
			t.Errorf("a new owner starts %d tasks of it", n)
		}
		// A cancel ends it at once.
		b.Learn("job-1", 99, &record.Record{Spec: bad.Spec, Status: record.Cancelling, Writer: "user"}, time.Now())
		for _, p := range b.jobs["job-1"].places {
			if !p.stopping {
				t.Error("a task goes on after the cancel")
			}
		}
	})
}

func TestAGoodJobOnABadMachineRunsSoonAndTheMachineIsFoundOut(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := fleet(t, 4)
		b.Learn("job-1", 1, rec("job-1", "blue", record.Normal, 8, 1), time.Now())
		var bad ids.Machine
		for tick := ids.Tick(2); tick < 30; tick++ {
			b.Plan(time.Now())
			b.store()
			if bad == "" {
				bad = b.jobs["job-1"].places[0].Machine
			}
			b.play(tick, func(p *Place) string {
				if p.Machine == bad {
					return worker.CauseError
				}
				return worker.CauseDone
			})
			time.Sleep(time.Second)
		}
		if s := b.jobs["job-1"].Rec.Status; s != record.Done {
			t.Errorf("half a minute later it is %s: %v", s, b.Explain("job-1"))
		}
		if b.roster.Machines[bad].Draining == "" {
			t.Error("the machine on which it failed is still used")
		}
	})
}

func TestAReplicaThatLastsClearsItsJob(t *testing.T) {
	t.Parallel()
	// It failed on three machines that were bad, and never completes by nature: it
	// must not count as failing for ever.
	synctest.Test(t, func(t *testing.T) {
		b := fleet(t, 8)
		r := rec("job-1", "blue", record.Critical, 2, 1)
		r.Spec.Shape = record.Service
		b.Learn("job-1", 1, r, time.Now())
		failed := map[ids.Machine]bool{}
		for tick := ids.Tick(2); tick < 120; tick++ {
			b.Plan(time.Now())
			b.store()
			b.play(tick, func(p *Place) string {
				if failed[p.Machine] || len(failed) < 3 {
					failed[p.Machine] = true
					return worker.CauseError
				}
				return ""
			})
			time.Sleep(time.Second)
		}
		j := b.jobs["job-1"]
		if j.failing() || len(j.places) != 2 {
			t.Errorf("failing %v, %d of 2 replicas run", j.failing(), len(j.places))
		}
	})
}

func TestAVastArrayIsNotHeldUpByItsRecord(t *testing.T) {
	t.Parallel()
	// Found by hunt: 25,000 tasks of seconds on values of 8 KiB, of which 150 were
	// under way at a time, were not done in seven minutes.
	synctest.Test(t, func(t *testing.T) {
		b := fleet(t, 200)
		r := rec("job-1", "blue", record.Low, 25000, 0.25)
		r.Spec.Need.RAM = 0.9
		b.Learn("job-1", 1, r, time.Now())
		j := b.jobs["job-1"]
		limit := int(b.set.Params.State.ValueKB * 1024)
		most, seconds := 0, 0
		for tick := ids.Tick(2); j.left() > 0 && seconds < 600; tick++ {
			b.Plan(time.Now())
			full := j.Rec
			full.Gen, full.Writer, full.Seq = b.gen, b.writer, j.version
			full.Places = packPlaces(j.places)
			raw, ok := full.Encode(limit)
			if !ok {
				t.Fatalf("%d places do not fit", len(j.places))
			}
			j.measured(full.Places, len(raw))
			b.store()
			most = max(most, len(j.places))
			b.play(tick, func(p *Place) string {
				if time.Since(p.since) >= 4*time.Second && (p.Index*7+int(tick))%3 > 0 {
					return worker.CauseDone // out of order, so that ranges break up
				}
				return ""
			})
			time.Sleep(time.Second)
			seconds++
		}
		if most < 700 || seconds > 200 {
			t.Errorf("at most %d tasks under way, done after %d s", most, seconds)
		}
	})
}

func TestOnlyWorkersThatAreOverdueAndMissingMakeALeaderGiveWay(t *testing.T) {
	t.Parallel()
	// Found on a day of an earlier deployment: a leader gave way nine seconds after its
	// takeover for workers that were there, since their peer's word took longer than
	// they did.
	synctest.Test(t, func(t *testing.T) {
		b := fleet(t, 40)
		b.set.Params.Workers.ReportS = 10
		sent := func(ago time.Duration) (out []Strand) {
			for i := range 40 {
				out = append(out, Strand{ids.Machine(fmt.Sprintf("host-%06d", i)), ago})
			}
			return out
		}
		time.Sleep(9 * time.Second) // all reported at once, and none since
		if b.cutOff(sent(9*time.Second), time.Now()) || b.cutOff(sent(3*time.Second), time.Now()) {
			t.Error("gives way for workers that are not overdue")
		}
		time.Sleep(4 * time.Second)
		if b.cutOff(sent(13*time.Second-50*time.Millisecond), time.Now()) {
			t.Error("gives way for workers that arrived right after they were sent on")
		}
		if !b.cutOff(sent(3*time.Second), time.Now()) {
			t.Error("keeps the pool, though nobody is heard and others reach another node")
		}
	})
}

func TestWorkersSentToAnEarlierLeaderSayNothingOfThisOne(t *testing.T) {
	t.Parallel()
	// Found on a day with a crash: the workers that had been sent on to the dead leader,
	// or had been here since, made each new one give way a few seconds after its
	// takeover.
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(testSet(), nil, nil, "a.1")
		now := ""
		p.known = func() (ids.Node, bool) { return ids.Node(now), now != "" }
		now = "b"
		p.noteRedirect("m1", "b")
		time.Sleep(3 * time.Second)
		if got := p.Stranded(); len(got) != 1 {
			t.Errorf("not told of a worker that should have been there: %v", got)
		}
		now = "c"
		if got := p.Stranded(); len(got) != 0 {
			t.Errorf("%v was sent to an earlier owner", got)
		}
		p.noteRedirect("m1", "c")
		time.Sleep(time.Second)
		if got := p.Stranded(); len(got) != 0 {
			t.Errorf("%v is only on its way", got)
		}
		p.noteRedirect("m1", "c")
		if got := p.Stranded(); len(got) != 1 {
			t.Errorf("not told of one that came back: %v", got)
		}
	})
}

func TestANewLeaderKnowsWhatItsPredecessorRented(t *testing.T) {
	t.Parallel()
	// Guards against renting twice after a takeover: the cloud's list lags by more
	// than a takeover takes.
	synctest.Test(t, func(t *testing.T) {
		a := fleet(t, 2)
		a.Hired([]ids.Machine{"host-000100"}, hireOf("small", "south"), time.Now())
		time.Sleep(40 * time.Second)
		hs, to := a.Hints(HintMark{})
		p := &Pool{}
		p.Hear(hs, to)
		time.Sleep(25 * time.Second)
		b := testBook()
		b.Seed(p.hints, time.Now())
		m := b.roster.Machines["host-000100"]
		if m == nil || !m.Booting {
			t.Fatal("it is not known to be on its way")
		}
		if late, _ := b.late(m, time.Now()); !late {
			t.Errorf("rented %v ago, with boots of 30 s, it is not late", time.Since(m.HeldSince))
		}
		b.Learn("job-1", 1, rec("job-1", "blue", record.Normal, 40, 1), time.Now())
		b.Plan(time.Now())
		if lines := fmt.Sprint(b.Explain("job-1")); !strings.Contains(lines, "1 machines it could use are booting, 1 of them late") {
			t.Errorf("explained as %s", lines)
		}
	})
}

func hireOf(label, zone string) placement.Hire {
	return placement.Hire{Type: label, Zone: zone, Count: 1}
}

func TestPlacesReadBackAsTheyWere(t *testing.T) {
	t.Parallel()
	// Sessions, attempts and tokens apart, and names of which one begins another.
	places := map[int]*Place{}
	for i := range 400 {
		places[i*7%1000] = &Place{Index: i * 7 % 1000, Machine: ids.Machine(fmt.Sprintf("host-%d", i%37)), Session: ids.Session(1 + i%11/10),
			Attempt: ids.Attempt(1 + i%5/3*i), Token: ids.Generation(3 + i%100/97)}
	}
	r := &record.Record{Places: packPlaces(places)}
	raw, ok := r.Encode(1 << 20)
	if !ok {
		t.Fatal("not encoded")
	}
	back, err := record.Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	back.EachPlace(func(i int, at record.Location) {
		n++
		if p := places[i]; p == nil || at != (record.Location{Machine: p.Machine, Session: p.Session, Attempt: p.Attempt, Token: p.Token}) {
			t.Errorf("task %d is read back as %v", i, at)
		}
	})
	if n != len(places) {
		t.Errorf("%d of %d places read back", n, len(places))
	}
}
