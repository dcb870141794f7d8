package intake

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

func TestAwaitsIsAListOfJobIds(t *testing.T) {
	// Guards against names that are taken for others or passed over, so that a job starts
	// too early, and against refusing what the protocol allows.
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t)
		for _, bad := range []any{"job-1", "", 7, true, map[string]any{}, []any{1}, []any{nil}, []any{[]string{"job-1"}},
			[]string{""}, []string{"job-"}, []string{"job-1x"}, []string{"run-1"}, []string{"job-1", "JOB-2"}, []string{" job-1"}} {
			if code, _ := r.submit("a", awaits("job-9", bad)); code != 400 {
				t.Errorf("awaits %v gets %d", bad, code)
			}
			r.told("job-9", "404")
		}
		r.put("job-1", record.Queued)
		for k, c := range []struct {
			names any
			want  []ids.Job
		}{
			{nil, nil}, {[]string{}, nil}, {[]string{"job-1"}, []ids.Job{"job-1"}}, {[]string{"job-1", "job-1"}, []ids.Job{"job-1"}},
		} {
			id := ids.Job(fmt.Sprintf("job-1%d", k))
			if code, status := r.submit("a", awaits(string(id), c.names)); code != 201 || status != "pending" {
				t.Errorf("awaits %v gets %d %s", c.names, code, status)
			}
			key := record.JobKey(id)
			if c.want != nil {
				key = record.WaitKey(id)
			}
			if r.keyOf(id) != key {
				t.Errorf("awaits %v is stored at %s", c.names, r.keyOf(id))
			}
			if c.want == nil {
				continue
			}
			if rec, err := record.DecodeWaiting(r.store.Value(key)); err != nil || !slices.Equal(rec.Spec.Awaits, c.want) {
				t.Errorf("awaits %v is kept as %v, %v", c.names, rec, err)
			}
		}
	})
}

// namedJob is a job that was accepted before, in some state.
type namedJob struct {
	id    ids.Job
	how   record.Status
	needs []ids.Job
}

// named are cases of what a submission names, and its answer and where its record goes.
var named = map[string]struct {
	jobs   []namedJob
	names  []string
	code   int
	status string
	at     string
}{
	"queued":                    {[]namedJob{{"job-1", record.Queued, nil}}, []string{"job-1"}, 201, "pending", record.WaitPrefix},
	"claimed":                   {[]namedJob{{"job-1", record.Claimed, nil}}, []string{"job-1"}, 201, "pending", record.WaitPrefix},
	"done":                      {[]namedJob{{"job-1", record.Done, nil}}, []string{"job-1"}, 201, "pending", record.JobPrefix},
	"cancelled":                 {[]namedJob{{"job-1", record.Cancelled, nil}}, []string{"job-1"}, 201, "cancelled", record.EndPrefix},
	"cancelling":                {[]namedJob{{"job-1", record.Cancelling, nil}}, []string{"job-1"}, 201, "cancelled", record.EndPrefix},
	"waiting":                   {[]namedJob{{"job-1", record.Queued, nil}, {"job-2", record.Queued, []ids.Job{"job-1"}}}, []string{"job-2"}, 201, "pending", record.WaitPrefix},
	"waits for a cancelled one": {[]namedJob{{"job-1", record.Cancelled, nil}, {"job-2", record.Queued, []ids.Job{"job-1"}}}, []string{"job-2"}, 201, "cancelled", record.EndPrefix},
	"waits for a cancelling one, two steps on": {[]namedJob{{"job-1", record.Cancelling, nil}, {"job-2", record.Queued, []ids.Job{"job-1"}},
		{"job-3", record.Queued, []ids.Job{"job-2"}}}, []string{"job-3"}, 201, "cancelled", record.EndPrefix},
	"waits for a done one":  {[]namedJob{{"job-1", record.Done, nil}, {"job-2", record.Queued, []ids.Job{"job-1"}}}, []string{"job-2"}, 201, "pending", record.WaitPrefix},
	"one done, one queued":  {[]namedJob{{"job-1", record.Done, nil}, {"job-2", record.Queued, nil}}, []string{"job-1", "job-2"}, 201, "pending", record.WaitPrefix},
	"one queued, one ended": {[]namedJob{{"job-1", record.Queued, nil}, {"job-2", record.Cancelled, nil}}, []string{"job-1", "job-2"}, 201, "cancelled", record.EndPrefix},
	"all done":              {[]namedJob{{"job-1", record.Done, nil}, {"job-2", record.Done, nil}}, []string{"job-1", "job-2"}, 201, "pending", record.JobPrefix},
	"never accepted":        {nil, []string{"job-1"}, 422, "", ""},
	"one never accepted":    {[]namedJob{{"job-1", record.Queued, nil}}, []string{"job-1", "job-2"}, 422, "", ""},
	"cancelled and never":   {[]namedJob{{"job-1", record.Cancelled, nil}}, []string{"job-1", "job-2"}, 422, "", ""},
	"five ended, one of never": {[]namedJob{{"job-1", record.Done, nil}, {"job-2", record.Done, nil}, {"job-3", record.Done, nil}, {"job-4", record.Done, nil}},
		[]string{"job-1", "job-2", "job-3", "job-4", "job-5"}, 422, "", ""},
	"itself": {nil, []string{"job-90"}, 422, "", ""},
}

func TestWhatASubmissionMayName(t *testing.T) {
	// Guards against refusing an accepted job, in whatever state, and against accepting
	// what can never start; and against a job that waits though all it needs is decided.
	for name, c := range named {
		for _, node := range []string{"a", "b"} {
			t.Run(name+" at "+node, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newRegion(t)
					r.told("job-77", "404") // both have read the records before there was any
					for _, j := range c.jobs {
						r.put(j.id, j.how, j.needs...)
					}
					code, status := r.submit(node, awaits("job-90", c.names))
					if code != c.code || status != c.status {
						t.Fatalf("answered %d %q, not %d %q", code, status, c.code, c.status)
					}
					want := ""
					if c.at != "" {
						want = c.at + "job-90"
					}
					if got := r.keyOf("job-90"); got != want {
						t.Errorf("stored at %q, not %q", got, want)
					}
					if code == 422 {
						r.told("job-90", "404")
					} else {
						r.told("job-90", c.status)
					}
				})
			})
		}
	}
}

func TestServicesAndOtherTeamsJobsAreNamed(t *testing.T) {
	// Guards against a job that waits for a service, which is never done, and against
	// looking for what is named in its own team only.
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t)
		service := good()
		service["uid"], service["shape"] = "job-1", "standing"
		other := good()
		other["uid"], other["owner"] = "job-2", "blue"
		for _, s := range []map[string]any{service, other} {
			if code, _ := r.submit("a", s); code != 201 {
				t.Fatal(code)
			}
		}
		if code, _ := r.submit("b", awaits("job-10", []string{"job-1"})); code != 422 {
			t.Errorf("a service is named: %d", code)
		}
		if code, status := r.submit("b", awaits("job-11", []string{"job-2"})); code != 201 || status != "pending" {
			t.Errorf("another team's job is named: %d %s", code, status)
		}
		r.ask("a", "POST", "/v2/runs/job-1/cancel", nil)
		for _, node := range []string{"a", "b"} { // a remembers its end, b reads it
			if code, _ := r.submit(node, awaits("job-12", []string{"job-1"})); code != 422 {
				t.Errorf("a cancelled service is named at %s: %d", node, code)
			}
		}
	})
}

func TestAJobIsNamedWhileItMoves(t *testing.T) {
	// Guards against reading the places where a job's record may be in an order in which it
	// slips through, and so is taken for never accepted: it leaves those that wait, and
	// ends, between any two calls that a node makes to the store.
	for first := 1; first < 9; first++ {
		for second := first; second < 9; second++ {
			synctest.Test(t, func(t *testing.T) {
				r := newRegion(t)
				r.put("job-1", record.Done)
				r.put("job-2", record.Queued, "job-1")
				waiting, err := record.DecodeWaiting(r.store.Value(record.WaitKey("job-2")))
				if err != nil {
					t.Fatal(err)
				}
				live, _ := waiting.Encode(64 * 1024)
				waiting.Status = record.Done
				end, _ := waiting.Encode(64 * 1024)
				calls := 0
				r.net.SetRule(func(from, _ string, _ *http.Request, _ []byte) fake.Fate {
					if from != "b" {
						return fake.Deliver
					}
					calls++
					if calls == first {
						r.commit(state.Op{Remove: record.WaitKey("job-2")}, state.Op{Put: record.JobKey("job-2"), Value: live})
					}
					if calls == second {
						r.commit(state.Op{Remove: record.JobKey("job-2")}, state.Op{Put: record.EndKey("job-2"), Value: end})
					}
					return fake.Deliver
				})
				if code, status := r.submit("b", awaits("job-9", []string{"job-2"})); code != 201 || status != "pending" {
					t.Errorf("moved at calls %d and %d: %d %s", first, second, code, status)
				}
				if got := r.status("b", "job-2"); got != "pending" && got != "done" {
					t.Errorf("moved at calls %d and %d: called %s", first, second, got)
				}
			})
		}
	}
}

func TestARepeatIsKnownWhateverItNames(t *testing.T) {
	// Guards against refusing the repeat of an accepted job because what it names would be
	// refused now, and against letting a repeat change what the job awaits.
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t)
		r.put("job-1", record.Queued)
		r.put("job-2", record.Cancelled)
		r.put("job-3", record.Done)
		for id, names := range map[string][]string{"job-10": {"job-1"}, "job-11": {"job-2"}, "job-12": {"job-3"}, "job-13": nil} {
			code, status := r.submit("a", awaits(id, names))
			if code != 201 {
				t.Fatal(code)
			}
			key := r.keyOf(ids.Job(id))
			stored := string(r.store.Value(key))
			for _, again := range []any{names, nil, []string{}, []string{"job-2"}, []string{"job-3"}, []string{"job-404"}, []string{id}, []string{"job-1", "job-3"}} {
				for _, node := range []string{"a", "b"} {
					if code, told := r.submit(node, awaits(id, again)); code != 200 || told != status {
						t.Errorf("%s answers %d %s to a repeat of %s, which is %s, with %v", node, code, told, id, status, again)
					}
				}
			}
			if code, _ := r.submit("b", awaits(id, "job-1")); code != 400 {
				t.Errorf("a malformed body gets %d", code)
			}
			r.told(id, status)
			if got := string(r.store.Value(key)); got != stored || r.keyOf(ids.Job(id)) != key {
				t.Errorf("a repeat changed %s into %s", stored, got)
			}
		}
	})
}
