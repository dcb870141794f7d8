package worker

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

func TestOnlyNewerReportsCountAndLeasesRunFromAnsweredOnes(t *testing.T) {
	now := time.Now()
	r := NewRegistry(20)
	m := r.Ensure("m", now, now.Add(time.Minute))
	if v := r.Note(m, &Report{Session: 2, Tick: 5, Token: 3}, now, true, 4); !v.Fresh {
		t.Fatal("the first report is new")
	}
	if !m.LapseAt.Equal(now.Add(time.Minute)) {
		t.Error("before the worker has seen our token an older owner may still answer it")
	}
	if v := r.Note(m, &Report{Session: 1, Tick: 90}, now, false, 4); v.Fresh {
		t.Error("a report of an earlier session counted")
	}
	if v := r.Note(m, &Report{Session: 2, Tick: 5}, now, false, 4); v.Fresh {
		t.Error("a report counted twice")
	}
	m.LateStarts = []LateStart{{Task: "job-1/0", Attempt: 1, Token: 4, Session: 2}}
	r.Note(m, &Report{Session: 2, Tick: 6, Token: 4}, now, true, 4)
	if d := m.LapseAt.Sub(now); d < 20*time.Second || d > 21*time.Second {
		t.Errorf("the lease surely lapses after %v", d)
	}
	if !m.MayRevive("job-1/0", 1) {
		t.Error("the late start was forgotten too early")
	}
	if v := r.Note(m, &Report{Session: 3, Tick: 7, Token: 4}, now, false, 4); !v.Moved || m.MayRevive("job-1/0", 1) {
		t.Error("a moved session turns late starts away")
	}
}

func TestASessionLastsALeaseEvenIfNoBeatOfItIsAnswered(t *testing.T) {
	// Guards against a machine that only answers questions, since its beats find
	// no way: its lease was taken to have lapsed before it began, and its tasks
	// were started a second time.
	now := time.Now()
	r := NewRegistry(20)
	m := r.Ensure("m", now, now.Add(-time.Minute))
	r.Note(m, &Report{Session: 1, Tick: 1}, now, false, 4)
	if d := m.LapseAt.Sub(now); d < 20*time.Second {
		t.Errorf("heard for the first time, it lapses in %v", d)
	}
	now = now.Add(30 * time.Second)
	r.Note(m, &Report{Session: 1, Tick: 2}, now, false, 4)
	if m.LapseAt.After(now) {
		t.Error("an answer to a question renewed the lease")
	}
	r.Note(m, &Report{Session: 2, Tick: 3}, now, false, 4)
	if d := m.LapseAt.Sub(now); d < 20*time.Second {
		t.Errorf("in a new session, it lapses in %v", d)
	}
}

func TestDirectCommandsTellNotSentFromUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := fake.NewNet()
		w := &fake.Worker{Name: "m", Addr: "m:1", Net: n, Nodes: []string{"a:1"}, Report: time.Second, Lease: 30 * time.Second}
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		go w.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		c := &Commander{HTTP: n.Client("a"), Timeout: time.Second}
		start := []Order{{Verb: "start", Task: "job-1/0", Attempt: 1}}
		for _, want := range []struct {
			fate    fake.Fate
			token   uint64
			outcome Outcome
		}{{fake.Refuse, 5, NotSent}, {fake.Swallow, 5, Uncertain}, {fake.LoseAnswer, 5, Uncertain}, {fake.Deliver, 5, Carried}, {fake.Deliver, 4, Refused}} {
			n.SetRule(func(from, _ string, _ *http.Request, _ []byte) fake.Fate {
				if from == "a" {
					return want.fate
				}
				return fake.Refuse
			})
			if got, _ := c.Send(ctx, "m:1", 5, 1, start); want.token == 5 && got != want.outcome {
				t.Errorf("fate %v: outcome %v", want.fate, got)
			}
			if want.token == 4 {
				if got, rep := c.Send(ctx, "m:1", 4, 1, start); got != Refused || rep == nil {
					t.Errorf("an older token: outcome %v", got)
				}
			}
		}
		if n := w.Started("job-1/0"); n != 1 {
			t.Errorf("started %d times", n)
		}
	})
}

func TestImagesFallOutOfTheCacheInOrderOfUse(t *testing.T) {
	var im Images
	im.Use("a", 5, 10)
	im.Use("b", 4, 10)
	im.Use("a", 5, 10)
	im.Use("c", 4, 10)
	if !im.Has("a") || !im.Has("c") || im.Has("b") {
		t.Errorf("holds %v", im.Names)
	}
}
