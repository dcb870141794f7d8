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
				b.Learn(id, ids.Stamp(i+1), rec(id, "blue", Normal, 100, 1), now)
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
	// Guards against hundreds of silent machines using up the questions, again
	// and again the same ones, while one with a replica waits.
	b := fleet(t, 300)
	now := time.Now()
	svc := rec("job-1", "blue", Critical, 1, 1)
	svc.Spec.Shape = Service
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
	now := time.Now()
	b := testBook()
	b.hear("m1", "north", 1)
	b.Learn("job-1", 1, rec("job-1", "blue", Normal, 1, 1), now)
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
	if len(j.places) != 0 || len(b.roster.Machines["m2"].Lates) != 0 {
		t.Fatal("a start that surely never arrives is kept")
	}
	// One that may arrive is.
	b.hear("m3", "north", 1)
	b.Plan(now)
	j.saved = j.version
	b.settledUpTo(j)
	ba = b.batches(10)
	b.answered(ba[0], worker.Uncertain)
	if len(j.places) != 1 || len(b.roster.Machines["m3"].Lates) != 1 {
		t.Fatal("a start that may yet arrive was given up")
	}
}
