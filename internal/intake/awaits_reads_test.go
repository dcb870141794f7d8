package intake

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

func TestNothingIsRefusedForGoodWithoutAReadOfTheRecords(t *testing.T) {
	// Guards against 422 from a copy that is old or empty, and against a Retry-After that
	// sends users away for longer than the trouble, or not at all.
	later := func(t *testing.T, h http.Handler, body any) {
		t.Helper()
		began := time.Now()
		out := call(h, "POST", "/v2/runs", body)
		after, err := strconv.Atoi(out.Header().Get("Retry-After"))
		if out.Code != 503 || err != nil || after < 1 || after > 3 || time.Since(began) > 4500*time.Millisecond {
			t.Errorf("%d, Retry-After %q, after %v", out.Code, out.Header().Get("Retry-After"), time.Since(began))
		}
	}
	for name, trouble := range map[string]func(r *region) (end func()){
		"an outage":       func(r *region) func() { r.store.SetDown(true); return func() { r.store.SetDown(false) } },
		"refused alone":   func(r *region) func() { r.store.Refuse("b", true); return func() { r.store.Refuse("b", false) } },
		"cut off":         func(r *region) func() { return r.rule(fake.Swallow, "/") },
		"no list":         func(r *region) func() { r.start("b"); return r.rule(fake.Refuse, "/kv") },
		"no final record": func(r *region) func() { return r.rule(fake.Refuse, "/kv/end") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRegion(t)
				r.told("job-77", "404")
				r.put("job-1", record.Done)
				r.put("job-2", record.Queued)
				end := trouble(r)
				for _, d := range r.services {
					go d.State.Watch(t.Context(), record.KeysOf(0, 1).Generation())
				}
				later(t, r.nodes["b"], awaits("job-10", []string{"job-404"}))
				later(t, r.nodes["b"], awaits("job-11", []string{"job-1", "job-2"}))
				time.Sleep(5 * time.Second) // it knows by now that it is not served
				later(t, r.nodes["b"], awaits("job-10", []string{"job-404"}))
				if name != "an outage" {
					if code, _ := r.submit("a", awaits("job-12", []string{"job-404"})); code != 422 {
						t.Errorf("the other node answers %d", code)
					}
				}
				end()
				time.Sleep(3 * time.Second) // the longest Retry-After
				if code, _ := r.submit("b", awaits("job-10", []string{"job-404"})); code != 422 {
					t.Errorf("once it is served: %d", code)
				}
				if code, status := r.submit("b", awaits("job-11", []string{"job-1", "job-2"})); code != 201 || status != "pending" {
					t.Errorf("once it is served: %d %s", code, status)
				}
			})
		})
	}
}

// rule gives node b's calls of some paths a fate, until the function it returns is called.
func (r *region) rule(fate fake.Fate, path string) (end func()) {
	r.net.SetRule(func(from, _ string, req *http.Request, _ []byte) fake.Fate {
		if from == "b" && (req.URL.Path == path || strings.HasPrefix(req.URL.Path, path+"/") || path == "/") {
			return fate
		}
		return fake.Deliver
	})
	return func() { r.net.SetRule(nil) }
}

func TestHundredsOfEndedJobsAreNamedAtAFewCalls(t *testing.T) {
	// Guards against a call for each of them, for which a node has no tokens while its user
	// waits, and against missing one between two pages.
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t)
		var names []string
		for i := range 1500 {
			id := ids.Job(fmt.Sprintf("job-%d", i))
			r.put(id, record.Done)
			if i%10 == 0 { // the last digit is the least there is
				names = append(names, string(id))
			}
		}
		r.services["b"].State = state.NewClient("state:1", r.net.Client("b"), state.NewBudget(50, 50, 5, 0.45))
		r.services["b"].Jobs = state.NewMirror(r.services["b"].State, record.JobPrefix, time.Second)
		calls := 0
		r.net.SetRule(func(from, _ string, _ *http.Request, _ []byte) fake.Fate {
			if from == "b" {
				calls++
			}
			return fake.Deliver
		})
		if code, _ := r.submit("b", awaits("job-9000", append([]string{"job-1500"}, names...))); code != 422 {
			t.Errorf("with one that was never accepted: %d", code)
		}
		if code, status := r.submit("b", awaits("job-9001", names)); code != 201 || status != "pending" || r.keyOf("job-9001") != "job/job-9001" {
			t.Errorf("%d %s, stored at %s", code, status, r.keyOf("job-9001"))
		}
		if calls > 20 {
			t.Errorf("%d calls", calls)
		}
	})
}

func TestWhatCannotBeStoredIsRefusedAndNoMore(t *testing.T) {
	// Guards against refusing a job for names that need not be kept, since their jobs are
	// done; and against an answer other than the documented one for what can't be kept.
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t)
		for _, d := range r.services {
			d.Set.Params.State.ValueKB = 2
		}
		var names []string
		for i := range 600 {
			id := ids.Job(fmt.Sprintf("job-%06d", 1000+i*17))
			how := record.Done
			if i%4 == 0 {
				how = record.Queued
			}
			r.put(id, how)
			names = append(names, string(id))
		}
		r.store.SetLimits(2048, 12)
		if code, status := r.submit("a", awaits("job-900000", names)); code != 201 || status != "pending" {
			t.Errorf("150 of 600 not done: %d %s", code, status)
		}
		rec, err := record.DecodeWaiting(r.store.Value(record.WaitKey("job-900000")))
		if err != nil || len(rec.Spec.Awaits) != 150 {
			t.Fatalf("kept as %v, %v", rec, err)
		}
		for i := range 300 {
			id := fmt.Sprintf("job-%06d", 500000+i*17)
			r.put(ids.Job(id), record.Queued)
			names = append(names, id)
		}
		out := call(r.nodes["b"], "POST", "/v2/runs", awaits("job-900001", names))
		if out.Code != 422 || !strings.Contains(out.Body.String(), errTooManyDependencies.reason) {
			t.Errorf("450 not done: %d %s", out.Code, out.Body)
		}
		if code, _ := r.submit("b", awaits("job-900000", names)); code != 200 {
			t.Errorf("a repeat of an accepted job: %d", code)
		}
		// What is full can still be cancelled.
		if code, status := r.ask("b", "POST", "/v2/runs/job-900000/cancel", nil); code != 200 || status != "cancelled" {
			t.Errorf("its cancellation: %d %s", code, status)
		}
		r.told("job-900000", "cancelled")
	})
}

func TestCancellationsWithinAPipeline(t *testing.T) {
	// Guards against a cancellation that does not reach those behind, reaches others, or
	// is undone; no leader is there to help, so all rests on the records.
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t)
		submit := func(id string, names ...string) {
			if code, _ := r.submit("a", awaits(id, names)); code != 201 {
				t.Fatal(id, code)
			}
		}
		cancel := func(node, id, want string) {
			t.Helper()
			if code, status := r.ask(node, "POST", "/v2/runs/"+id+"/cancel", nil); code != 200 || status != want {
				t.Errorf("cancelling %s: %d %s, not %s", id, code, status, want)
			}
		}
		submit("job-1")
		submit("job-2", "job-1")
		submit("job-3", "job-2")
		submit("job-4", "job-1")
		submit("job-5", "job-3", "job-4")
		r.told("job-5", "pending")
		// One in the middle, which waits: what needs it goes, what it needs stays.
		cancel("b", "job-2", "cancelled")
		for id, want := range map[string]string{"job-1": "pending", "job-2": "cancelled", "job-3": "cancelled", "job-4": "pending", "job-5": "cancelled"} {
			r.told(id, want)
		}
		// One that is cancelled already by another one's cancellation, which stays as it is.
		cancel("a", "job-5", "cancelled")
		cancel("b", "job-3", "cancelled")
		if r.keyOf("job-3") != record.WaitKey("job-3") {
			t.Errorf("stored at %s", r.keyOf("job-3"))
		}
		// One that runs, which others await.
		r.put("job-1", record.Cancelling)
		r.told("job-4", "cancelled")
		// One that is done: its followers go on.
		r.put("job-20", record.Done)
		r.put("job-21", record.Queued, "job-20")
		cancel("a", "job-20", "done")
		r.told("job-21", "pending")
	})
}
