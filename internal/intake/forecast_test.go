package intake

import (
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
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// timed is a submission with an estimate and, if above zero, a deadline.
func timed(id string, estimate, due float64, names ...string) map[string]any {
	s := awaits(id, names)
	s["guessS"] = estimate
	if due > 0 {
		s["dueS"] = due
	}
	return s
}

func (r *region) submitAll(jobs ...map[string]any) {
	r.t.Helper()
	for _, s := range jobs {
		if code, _ := r.submit("a", s); code != 201 {
			r.t.Fatalf("%v gets %d", s["uid"], code)
		}
	}
}

// explained is what a node's explanation of a job says of now.
func (r *region) explained(node, id string) (now []string, note string) {
	r.t.Helper()
	out := call(r.nodes[node], "GET", "/v2/runs/"+id+"/explain", nil)
	var x Explanation
	if err := json.Unmarshal(out.Body.Bytes(), &x); err != nil || out.Code != 200 {
		r.t.Fatalf("explain %s: %d %s", id, out.Code, out.Body)
	}
	return x.Now, x.Note
}

func (r *region) explainedAs(id string, want ...string) {
	r.t.Helper()
	now, note := r.explained("b", id)
	if got := strings.Join(now, "\n"); got != strings.Join(want, "\n") || note != "" {
		r.t.Errorf("%s is explained as\n%s\n%s\nnot\n%s", id, got, note, strings.Join(want, "\n"))
	}
}

func TestAPipelinesRiskIsTracedToTheJobThatItHangsOn(t *testing.T) {
	// Guards against telling of a late pipeline only once its last job is overdue, of the
	// last job only, or of the wrong cause: the longest way counts, without what is done.
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t)
		go r.services["b"].State.Watch(t.Context(), record.KeysOf(0, 1).Generation())
		r.submitAll(timed("job-1", 30, 0), timed("job-2", 50, 0), timed("job-3", 20, 0, "job-1", "job-2"),
			timed("job-4", 10, 100.4, "job-3", "job-1"), timed("job-5", 5, 300.4, "job-4"))
		const hangs = "; it hangs on job-2 first"
		inTime := "the pipeline is in time: by the estimates it ends 20s before its deadline" + hangs
		behind := "needed by job-5: the pipeline is in time: by the estimates it ends 215s before its deadline" + hangs
		r.explainedAs("job-4", "awaits job-3: pending, 0 of 2 tasks done", "awaits job-1: pending, 0 of 2 tasks done", inTime, behind)
		r.explainedAs("job-2", "needed by job-4: "+inTime, behind)
		time.Sleep(34500 * time.Millisecond)
		atRisk := "the pipeline is at risk: by the estimates it ends 15s after its deadline" + hangs
		behind = strings.Replace(behind, "215s", "180s", 1)
		r.explainedAs("job-4", "awaits job-3: pending, 0 of 2 tasks done", "awaits job-1: pending, 0 of 2 tasks done", atRisk, behind)
		r.explainedAs("job-1", "needed by job-4: "+atRisk, behind)
		// The long one is done: the other way is the longer now.
		r.endAs("job-2", record.Done)
		r.explainedAs("job-3", "awaits job-1: pending, 0 of 2 tasks done", "awaits job-2: done, 0 of 2 tasks done",
			"needed by job-4: the pipeline is in time: by the estimates it ends 5s before its deadline; it hangs on job-1 first",
			"needed by job-5: the pipeline is in time: by the estimates it ends 200s before its deadline; it hangs on job-1 first")
	})
}

// endAs ends a job as the leader would.
func (r *region) endAs(id ids.Job, how record.Status) {
	r.t.Helper()
	rec, err := record.Decode(r.store.Value(record.JobKey(id)))
	if err != nil {
		r.t.Fatal(err)
	}
	r.remove(record.JobKey(id))
	rec.Status = how
	r.keep(rec, false)
}

func TestACancelledJobIsExplainedByTheOneItsUserCancelled(t *testing.T) {
	// Guards against an explanation that names one in between, or none, whether or not the
	// ends are stored, and once that of the first is.
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t)
		r.submitAll(timed("job-1", 30, 0), timed("job-2", 50, 0, "job-1"), timed("job-3", 20, 0, "job-2"), timed("job-4", 20, 0, "job-3"))
		r.ask("a", "POST", "/v2/runs/job-1/cancel", nil)
		r.submitAll(timed("job-5", 20, 0, "job-4"))
		for _, id := range []string{"job-2", "job-4", "job-5"} {
			r.explainedAs(id, "cancelled with job-1, whose user cancelled it")
		}
		r.explainedAs("job-1")
		// The leader may learn of one in between first.
		for id, by := range map[ids.Job]ids.Job{"job-2": "job-1", "job-3": "job-2"} {
			rec, err := record.DecodeWaiting(r.store.Value(record.WaitKey(id)))
			if err != nil {
				t.Fatal(err)
			}
			rec.EndedBy(by)
			r.remove(record.WaitKey(id))
			r.keep(rec, false)
		}
		r.explainedAs("job-3", "cancelled with job-1, whose user cancelled it, through job-2")
		r.explainedAs("job-4", "cancelled with job-1, whose user cancelled it, through job-2")
	})
}

func (r *region) remove(key string) {
	r.t.Helper()
	r.commit(state.Op{Remove: key})
}

func TestExplainingALargePipelineCostsAFewCallsAndLines(t *testing.T) {
	// Guards against following a job anew for each that awaits it, a call for each ended
	// one, and an answer without bounds: a long chain, each of which awaits many.
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t)
		var ended []ids.Job
		for i := range 150 {
			id := ids.Job(fmt.Sprintf("job-%d", 5000+i))
			r.put(id, record.Done)
			ended = append(ended, id)
		}
		before := []ids.Job{}
		for i := range 700 {
			id := ids.Job(fmt.Sprintf("job-%d", 1000+i))
			r.put(id, record.Queued, append(before[max(0, len(before)-20):], ended...)...)
			before = append(before, id)
		}
		last := timed("job-9", 10, 60, "job-1699")
		r.submitAll(last)
		calls := 0
		r.net.SetRule(func(from, _ string, _ *http.Request, _ []byte) fake.Fate {
			if from == "b" {
				calls++
			}
			return fake.Deliver
		})
		for _, id := range []string{"job-9", "job-1699", "job-1350"} {
			now, note := r.explained("b", id)
			text := strings.Join(now, "\n")
			if len(now) > forecastDependencies+10 || note != "" || !strings.Contains(text, "at risk") || !strings.Contains(text, "more than 500 jobs") {
				t.Errorf("%s: %d lines: %.500s %s", id, len(now), text, note)
			}
		}
		if calls > 15 {
			t.Errorf("%d calls", calls)
		}
	})
}

func TestADeadlineCountsFromTheSubmission(t *testing.T) {
	// Guards against a deadline that moves with the end of what a job awaited.
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t)
		spec, err := parse(strings.NewReader(string(jsonOf(timed("job-1", 30, 100.4)))))
		if err != nil {
			t.Fatal(err)
		}
		rec := recordOf(spec, record.Queued)
		rec.Ready = rec.Submitted + 60000
		r.keep(rec, false)
		time.Sleep(60 * time.Second)
		r.explainedAs("job-1", "the pipeline is in time: by the estimates it ends 10s before its deadline; it hangs on job-1 first")
	})
}
