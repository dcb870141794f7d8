package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// obey answers direct commands like a worker that does as told.
func obey(name ids.Machine) http.Handler {
	tick := ids.Tick(100)
	pieces := []worker.Piece{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var in worker.Reply
		json.NewDecoder(r.Body).Decode(&in)
		for _, o := range in.Orders {
			if o.Verb == "start" {
				pieces = append(pieces, worker.Piece{Task: o.Task, Attempt: o.Attempt, Status: worker.Running})
			}
		}
		tick++
		json.NewEncoder(w).Encode(&worker.Report{Machine: name, Addr: string(name) + ":1", Type: "small", Zone: "north", Session: 1,
			Tick: tick, Token: 7, Pieces: pieces})
	})
}

func TestLivingMachinesDoNotWaitForHundredsOfSilentOnes(t *testing.T) {
	t.Parallel()
	// Guards against sends to machines that were lost a moment ago, or long ago,
	// holding all the places of the dispatcher for seconds each.
	for _, known := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer synctest.Wait()
			defer cancel()
			const each = 200
			b, n := fleet(t, 0), fake.NewNet()
			n.SetRule(func(_, to string, _ *http.Request, _ []byte) fake.Fate {
				if strings.HasPrefix(to, "lost") {
					return fake.Swallow
				}
				return fake.Deliver
			})
			for i := range each {
				b.hear(ids.Machine(fmt.Sprintf("lost-%03d", i)), "south", 1)
			}
			time.Sleep(100 * time.Millisecond)
			for i := range each {
				name := ids.Machine(fmt.Sprintf("host-%03d", i))
				n.Listen(string(name)+":1", obey(name))
				b.hear(name, "north", 1)
			}
			now := time.Now()
			for i := range 2 * 4 * each / 100 {
				id := ids.Job(fmt.Sprint("job-", i))
				b.Learn(id, ids.Revision(i+1), rec(id, "blue", record.Normal, 100, 1), now)
			}
			b.Plan(now)
			for _, j := range b.jobs {
				j.saved = j.version
				b.settledUpTo(j)
			}
			if known {
				for name, m := range b.roster.Machines {
					if strings.HasPrefix(string(name), "lost") {
						m.Probes, m.Doubted, m.Asked = 2, now, now
					}
				}
			}
			d := NewDispatcher(b, &worker.Commander{HTTP: n.Client("a"), Timeout: 3 * time.Second}, 16)
			go d.Run(ctx)
			wait(ctx, time.Second)
			b.mu.Lock()
			defer b.mu.Unlock()
			seen, sent := 0, 0
			for name, h := range b.hosts {
				for p := range h.places {
					if p.seen {
						seen++
					} else if p.sent && strings.HasPrefix(string(name), "lost") {
						sent++
					}
				}
			}
			if seen != 4*each {
				t.Errorf("known %v: %d of %d tasks on living machines started within a second", known, seen, 4*each)
			}
			if known && sent > 0 {
				t.Errorf("%d starts went out to machines known to be silent", sent)
			}
		})
	}
}

func TestAskingTakesTurnsAndReplicasGoFirst(t *testing.T) {
	t.Parallel()
	// Guards against hundreds of silent machines using up the questions, again
	// and again the same ones, while one with a replica waits.
	b := fleet(t, 300)
	now := time.Now()
	svc := rec("job-1", "blue", record.Critical, 1, 1)
	svc.Spec.Shape = record.Service
	b.Learn("job-1", 1, svc, now)
	b.Plan(now)
	with := b.jobs["job-1"].places[0].Machine
	for _, m := range b.roster.Machines {
		m.Seen = now.Add(-time.Minute)
	}
	asked := map[ids.Machine]int{}
	for round := range 20 {
		b.probedAt = time.Time{}
		for k, pr := range b.toProbe(now.Add(time.Duration(round)*time.Second), 20) {
			if round == 0 && k == 0 && pr.machine != with {
				t.Errorf("%s was asked first, not %s, which has a replica", pr.machine, with)
			}
			asked[pr.machine]++
			b.probed(pr.machine, false)
		}
	}
	if len(asked) < 280 {
		t.Errorf("400 questions went to %d of 300 silent machines", len(asked))
	}
}

func TestAMarkedTaskGoesElsewhereOnceItsMachineDoesNotAnswer(t *testing.T) {
	t.Parallel()
	now := time.Now()
	b := testBook()
	b.hear("m1", "north", 1)
	b.Learn("job-1", 1, rec("job-1", "blue", record.Normal, 1, 1), now)
	b.Plan(now)
	j := b.jobs["job-1"]
	b.probed("m1", false)
	if len(j.places) != 0 {
		t.Fatal("a task whose start never went out is kept on a silent machine")
	}
	// A connection that did not come about leaves nothing under way either.
	b.hear("m2", "north", 1)
	b.Plan(now)
	b.jobs["job-1"].saved = j.version
	b.settledUpTo(j)
	ba := b.batches(10)
	if len(ba) != 1 || ba[0].machine != "m2" {
		t.Fatalf("batches %v", ba)
	}
	b.answered(ba[0], worker.NotSent)
	if len(j.places) != 0 || len(b.roster.Machines["m2"].LateStarts) != 0 {
		t.Fatal("a start that surely never arrives is kept")
	}
	// One that may arrive is.
	b.hear("m3", "north", 1)
	b.Plan(now)
	j.saved = j.version
	b.settledUpTo(j)
	ba = b.batches(10)
	b.answered(ba[0], worker.Uncertain)
	if len(j.places) != 1 || len(b.roster.Machines["m3"].LateStarts) != 1 {
		t.Fatal("a start that may yet arrive was given up")
	}
}

func TestAZoneThatGoesDarkIsNotMistakenForItsFirstSilentMachines(t *testing.T) {
	t.Parallel()
	// Machines with replicas are asked sooner than others, so of a zone cut off
	// they alone look silent for some seconds. And when the zone is heard again,
	// those not heard yet must not be given up for having been silent in the cut.
	b := testBook()
	b.set.Params.Workers.ReportS = 10
	start := time.Now()
	zone := func(i int) string { return []string{"north", "south"}[i%2] }
	for i := range 40 {
		b.hear(ids.Machine(fmt.Sprintf("m%02d", i)), zone(i), 1)
	}
	svc := rec("job-1", "blue", record.Critical, 20, 2)
	svc.Spec.Shape = record.Service
	b.Learn("job-1", 1, svc, start)
	b.Plan(start)
	heard := func(name string, ago time.Duration) {
		m := b.roster.Machines[ids.Machine(name)]
		m.Seen, m.Probes = start.Add(-ago), 0
		m.Reached(true, start)
	}
	// The south fell silent 5 s ago; ten of its machines were asked twice since.
	asked := 0
	for i := range 40 {
		name := fmt.Sprintf("m%02d", i)
		heard(name, time.Duration(i)*20*time.Millisecond)
		if zone(i) == "south" {
			heard(name, 5*time.Second)
			if asked++; asked <= 10 {
				m := b.roster.Machines[ids.Machine(name)]
				m.Probes, m.Doubted, m.Unreached = 2, start.Add(-2500*time.Millisecond), start.Add(-1500*time.Millisecond)
			}
		}
	}
	if gone := b.Returns(start, map[ids.Machine]bool{}); len(gone) != 0 {
		t.Fatalf("returned %v of a zone that is dark", gone)
	}
	if !b.DarkZones()["south"] || b.DarkZones()["north"] {
		t.Fatalf("dark: %v", b.DarkZones())
	}
	// A minute later one of them is heard.
	for i := range 40 {
		if m := b.roster.Machines[ids.Machine(fmt.Sprintf("m%02d", i))]; zone(i) == "south" {
			m.Probes, m.Seen, m.Doubted, m.Unreached, m.Failures = 20, start.Add(-time.Minute), start.Add(-58*time.Second), start.Add(-57*time.Second), 20
		}
	}
	b.hear("m01", "south", 2)
	b.probed("m01", true)
	if gone := b.Returns(start, map[ids.Machine]bool{}); len(gone) != 0 {
		t.Fatalf("returned %v when the zone came back", gone)
	}
	// Whoever stays silent although the others came back is given up.
	for i := range 40 {
		if name := fmt.Sprintf("m%02d", i); name != "m03" {
			heard(name, 0)
		}
	}
	m := b.roster.Machines["m03"]
	m.Probes, m.Doubted = 2, start.Add(-3*time.Second)
	if gone := b.Returns(start, map[ids.Machine]bool{}); len(gone) != 1 || gone[0] != "m03" {
		t.Fatalf("returned %v, not the one that did not come back", gone)
	}
}

func TestAfterATakeoverReplicasOfADarkZoneMoveOnTheCloudsWord(t *testing.T) {
	t.Parallel()
	// Guards against a new leader that waits for leases it knows nothing of: the
	// replicas had ended long before. Where the rule of zones leaves no room
	// elsewhere, returning the machines would gain nothing.
	now := time.Now()
	b := testBook()
	for i := range 9 {
		b.hear(ids.Machine(fmt.Sprint("n", i)), "north", 1)
	}
	service := func(id ids.Job, tasks int, at map[int]string) {
		r := rec(id, "blue", record.Critical, tasks, 1)
		r.Spec.Shape, r.Spec.Spread, r.Status = record.Service, true, record.Claimed
		places := map[int]*Place{}
		for i, m := range at {
			places[i] = &Place{Index: i, Machine: ids.Machine(m), Session: 1, Attempt: 1, Token: 3}
		}
		r.Places = packPlaces(places)
		b.Load(map[ids.Job]*record.Record{id: r}, map[ids.Job]ids.Revision{id: 1}, 0, now)
	}
	service("job-1", 5, map[int]string{0: "n0", 1: "n1", 2: "s0", 3: "s0", 4: "s1"}) // one may move
	service("job-2", 4, map[int]string{0: "n2", 1: "n3", 2: "s2", 3: "s3"})          // none may
	for i := range 4 {
		name := ids.Machine(fmt.Sprint("s", i))
		m := b.roster.Ensure(name, now, now.Add(time.Minute))
		m.Zone, m.Type, m.Addr = "south", "small", string(name)+":1"
		m.Probes, m.Doubted = 5, now.Add(time.Second)
	}
	b.trustSilence = now.Add(17*time.Second + 500*time.Millisecond)
	if gone := b.Returns(now.Add(3*time.Second), map[ids.Machine]bool{}); len(gone) != 0 {
		t.Fatalf("returned %v while the leases may still last", gone)
	}
	gone := b.Returns(now.Add(5*time.Second), map[ids.Machine]bool{})
	if len(gone) != 2 || gone[0] != "s0" || gone[1] != "s1" {
		t.Fatalf("returned %v, not s0 and s1", gone)
	}
}

func TestAUserIsToldWhatMovedAndWhatWaits(t *testing.T) {
	t.Parallel()
	now := time.Now()
	b := testBook()
	for i := range 4 {
		b.hear(ids.Machine(fmt.Sprint("s", i)), "south", 1)
	}
	b.Learn("job-1", 1, rec("job-1", "blue", record.Normal, 16, 1), now)
	b.Plan(now)
	b.store()
	for i := range 4 {
		b.hear(ids.Machine(fmt.Sprint("n", i)), "north", 1)
		m := b.roster.Machines[ids.Machine(fmt.Sprint("s", i))]
		m.Probes, m.Doubted = 3, time.Now()
	}
	if !b.DarkZones()["south"] {
		t.Fatal("the south is not dark")
	}
	if got := strings.Join(b.Explain("job-1"), "\n"); !strings.Contains(got, "nothing is heard of south (16)") || !strings.Contains(got, "leases") {
		t.Errorf("in the dark: %s", got)
	}
	// The leases of all but one lapse; two of the tasks find a place.
	for i := range 3 {
		b.roster.Machines[ids.Machine(fmt.Sprint("s", i))].LapseAt = now
	}
	b.Lapses(now.Add(time.Second))
	trail := func() (out []string) {
		for _, e := range b.jobs["job-1"].Rec.Trail {
			out = append(out, e.What)
		}
		return out
	}
	if tr := trail(); len(tr) > 3 || !strings.Contains(strings.Join(tr, "\n"), "tasks gone in south") {
		t.Errorf("the trail of twelve tasks lost at once: %q", tr)
	}
	b.jobs["job-1"].maxClaimed = 4 + 2
	b.Plan(now)
	got := strings.Join(append(trail(), b.Explain("job-1")...), "\n")
	for _, want := range []string{"tasks lost in south (2) start again: north (2)", "lost in south (10) and not started again yet", "on machines in north (2)", "nothing is heard of south (4)"} {
		if !strings.Contains(got, want) {
			t.Errorf("not told: %q, only\n%s", want, got)
		}
	}
}

func TestATaskMarkedForASessionThatEndsMeanwhileIsPlacedAnew(t *testing.T) {
	t.Parallel()
	// Found on a day with a zone cut off: when it came back, replicas were marked
	// for workers whose sessions ended before the marker was stored. No start went
	// out, nothing reported them, and they stayed down for good.
	now := time.Now()
	b := testBook()
	b.hear("m1", "north", 1)
	b.Learn("job-1", 1, rec("job-1", "blue", record.Normal, 2, 1), now)
	b.Plan(now)
	rep := &worker.Report{Machine: "m1", Addr: "m1:1", Type: "small", Zone: "north", Session: 2, Tick: 2, Token: 7}
	b.Observe(rep, true, true)
	j := b.jobs["job-1"]
	j.saved = j.version
	b.settledUpTo(j)
	b.Plan(now)
	j.saved = j.version
	b.settledUpTo(j)
	if got := b.batches(10); len(got) != 1 || got[0].session != 2 || len(got[0].orders) != 2 {
		t.Fatalf("sent %+v", got)
	}
}
