package intake

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/claim"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// region is two nodes, a and b, on one store, without a leader: what becomes of the
// records is up to the test.
type region struct {
	t     *testing.T
	net   *fake.Net
	store *fake.Store
	desks map[string]*Desk
	nodes map[string]http.Handler
	op    *state.Client // writes as the leader does
}

func newRegion(t *testing.T) *region {
	n, s, _ := desk()
	r := &region{t: t, net: n, store: s, desks: map[string]*Desk{}, nodes: map[string]http.Handler{},
		op: state.NewClient("state:1", n.Client("leader"), state.NewBudget(1e6, 1e6, 1, 0.6))}
	for _, name := range []string{"a", "b"} {
		r.start(name)
	}
	return r
}

// start starts a node, or starts it again, which then remembers nothing.
func (r *region) start(name string) {
	_, _, d := desk()
	d.State = state.NewClient("state:1", r.net.Client(name), state.NewBudget(1000, 1000, 1, 0.6))
	d.Jobs = state.NewMirror(d.State, claim.JobPrefix, time.Second)
	d.Writer = name
	d.Set.Params.Teams = append(d.Set.Params.Teams, config.Team{Name: "blue", CPUsMax: 8})
	r.desks[name] = d
	r.nodes[name] = (&Site{Desk: d, Ready: func() bool { return true }, Live: nobodyLeads}).Handler()
}

func nobodyLeads(context.Context, ids.Job) ([]string, ids.Node, error) { return nil, "", nil }

// awaits is a submission that awaits others.
func awaits(id string, names any) map[string]any {
	s := good()
	s["uid"], s["awaits"] = id, names
	return s
}

// submit submits at a node and returns code and status.
func (r *region) submit(node string, body any) (int, string) {
	return r.ask(node, "POST", "/v2/runs", body)
}

func (r *region) ask(node, method, path string, body any) (int, string) {
	out := call(r.nodes[node], method, path, body)
	var told struct{ Status string }
	json.Unmarshal(out.Body.Bytes(), &told)
	return out.Code, told.Status
}

// status is what a node calls a job.
func (r *region) status(node, id string) string {
	code, status := r.ask(node, "GET", "/v2/runs/"+id, nil)
	if code != 200 {
		return strconv.Itoa(code)
	}
	return status
}

// told checks what both nodes call a job.
func (r *region) told(id, want string) {
	r.t.Helper()
	for _, node := range []string{"a", "b"} {
		if got := r.status(node, id); got != want {
			r.t.Errorf("%s calls %s %q, not %q", node, id, got, want)
		}
	}
}

// put stores a job in any state, at the key that fits.
func (r *region) put(id ids.Job, how claim.Status, needs ...ids.Job) {
	r.t.Helper()
	spec, err := parse(strings.NewReader(string(jsonOf(awaits(string(id), needs)))))
	if err != nil {
		r.t.Fatal(err)
	}
	r.keep(recordOf(spec, how), len(needs) > 0)
}

func recordOf(spec claim.Spec, how claim.Status) *claim.Record {
	rec := claim.NewRecord(spec, ids.WallOf(time.Now()), "leader")
	rec.Status = how
	return rec
}

// keep stores a record.
func (r *region) keep(rec *claim.Record, waits bool) {
	r.t.Helper()
	id := rec.Spec.ID
	key, encode := claim.JobKey(id), rec.Encode
	switch {
	case rec.Status.Over():
		key = claim.EndKey(id)
	case waits:
		key, encode = claim.WaitKey(id), rec.EncodeWaiting
	}
	raw, ok := encode(64 * 1024)
	if !ok {
		r.t.Fatal("does not fit")
	}
	r.commit(state.Op{Put: key, Value: raw})
}

func (r *region) commit(ops ...state.Op) {
	r.t.Helper()
	if _, err := r.op.Commit(r.t.Context(), state.Txn{Then: ops}, state.Urgent); err != nil {
		r.t.Fatal(err)
	}
}

func jsonOf(v any) []byte {
	raw, _ := json.Marshal(v)
	return raw
}

// keyOf is the one key at which a job's record is.
func (r *region) keyOf(id ids.Job) (at string) {
	for _, key := range []string{claim.JobKey(id), claim.WaitKey(id), claim.EndKey(id)} {
		if r.store.Value(key) != nil {
			at += key
		}
	}
	return at
}

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
		r.put("job-1", claim.Queued)
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
			key := claim.JobKey(id)
			if c.want != nil {
				key = claim.WaitKey(id)
			}
			if r.keyOf(id) != key {
				t.Errorf("awaits %v is stored at %s", c.names, r.keyOf(id))
			}
			if c.want == nil {
				continue
			}
			if rec, err := claim.DecodeWaiting(r.store.Value(key)); err != nil || !slices.Equal(rec.Spec.Awaits, c.want) {
				t.Errorf("awaits %v is kept as %v, %v", c.names, rec, err)
			}
		}
	})
}

func TestWhatASubmissionMayName(t *testing.T) {
	// Guards against refusing an accepted job, in whatever state, and against accepting
	// what can never start; and against a job that waits though all it needs is decided.
	type job struct {
		id    ids.Job
		how   claim.Status
		needs []ids.Job
	}
	const wait, claimable, over = claim.WaitPrefix, claim.JobPrefix, claim.EndPrefix
	for name, c := range map[string]struct {
		jobs   []job
		names  []string
		code   int
		status string
		at     string
	}{
		"queued":                    {[]job{{"job-1", claim.Queued, nil}}, []string{"job-1"}, 201, "pending", wait},
		"claimed":                   {[]job{{"job-1", claim.Claimed, nil}}, []string{"job-1"}, 201, "pending", wait},
		"done":                      {[]job{{"job-1", claim.Done, nil}}, []string{"job-1"}, 201, "pending", claimable},
		"cancelled":                 {[]job{{"job-1", claim.Cancelled, nil}}, []string{"job-1"}, 201, "cancelled", over},
		"cancelling":                {[]job{{"job-1", claim.Cancelling, nil}}, []string{"job-1"}, 201, "cancelled", over},
		"waiting":                   {[]job{{"job-1", claim.Queued, nil}, {"job-2", claim.Queued, []ids.Job{"job-1"}}}, []string{"job-2"}, 201, "pending", wait},
		"waits for a cancelled one": {[]job{{"job-1", claim.Cancelled, nil}, {"job-2", claim.Queued, []ids.Job{"job-1"}}}, []string{"job-2"}, 201, "cancelled", over},
		"waits for a cancelling one, two steps on": {[]job{{"job-1", claim.Cancelling, nil}, {"job-2", claim.Queued, []ids.Job{"job-1"}},
			{"job-3", claim.Queued, []ids.Job{"job-2"}}}, []string{"job-3"}, 201, "cancelled", over},
		"waits for a done one":  {[]job{{"job-1", claim.Done, nil}, {"job-2", claim.Queued, []ids.Job{"job-1"}}}, []string{"job-2"}, 201, "pending", wait},
		"one done, one queued":  {[]job{{"job-1", claim.Done, nil}, {"job-2", claim.Queued, nil}}, []string{"job-1", "job-2"}, 201, "pending", wait},
		"one queued, one ended": {[]job{{"job-1", claim.Queued, nil}, {"job-2", claim.Cancelled, nil}}, []string{"job-1", "job-2"}, 201, "cancelled", over},
		"all done":              {[]job{{"job-1", claim.Done, nil}, {"job-2", claim.Done, nil}}, []string{"job-1", "job-2"}, 201, "pending", claimable},
		"never accepted":        {nil, []string{"job-1"}, 422, "", ""},
		"one never accepted":    {[]job{{"job-1", claim.Queued, nil}}, []string{"job-1", "job-2"}, 422, "", ""},
		"cancelled and never":   {[]job{{"job-1", claim.Cancelled, nil}}, []string{"job-1", "job-2"}, 422, "", ""},
		"five ended, one of never": {[]job{{"job-1", claim.Done, nil}, {"job-2", claim.Done, nil}, {"job-3", claim.Done, nil}, {"job-4", claim.Done, nil}},
			[]string{"job-1", "job-2", "job-3", "job-4", "job-5"}, 422, "", ""},
		"itself": {nil, []string{"job-90"}, 422, "", ""},
	} {
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
				r.put("job-1", claim.Done)
				r.put("job-2", claim.Queued, "job-1")
				waiting, err := claim.DecodeWaiting(r.store.Value(claim.WaitKey("job-2")))
				if err != nil {
					t.Fatal(err)
				}
				live, _ := waiting.Encode(64 * 1024)
				waiting.Status = claim.Done
				end, _ := waiting.Encode(64 * 1024)
				calls := 0
				r.net.SetRule(func(from, _ string, _ *http.Request, _ []byte) fake.Fate {
					if from != "b" {
						return fake.Deliver
					}
					calls++
					if calls == first {
						r.commit(state.Op{Remove: claim.WaitKey("job-2")}, state.Op{Put: claim.JobKey("job-2"), Value: live})
					}
					if calls == second {
						r.commit(state.Op{Remove: claim.JobKey("job-2")}, state.Op{Put: claim.EndKey("job-2"), Value: end})
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
		r.put("job-1", claim.Queued)
		r.put("job-2", claim.Cancelled)
		r.put("job-3", claim.Done)
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
				r.put("job-1", claim.Done)
				r.put("job-2", claim.Queued)
				end := trouble(r)
				for _, d := range r.desks {
					go d.State.Watch(t.Context(), claim.GenerationKey)
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
			r.put(id, claim.Done)
			if i%10 == 0 { // the last digit is the least there is
				names = append(names, string(id))
			}
		}
		r.desks["b"].State = state.NewClient("state:1", r.net.Client("b"), state.NewBudget(50, 50, 5, 0.45))
		r.desks["b"].Jobs = state.NewMirror(r.desks["b"].State, claim.JobPrefix, time.Second)
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
		for _, d := range r.desks {
			d.Set.Params.State.ValueKB = 2
		}
		var names []string
		for i := range 600 {
			id := ids.Job(fmt.Sprintf("job-%06d", 1000+i*17))
			how := claim.Done
			if i%4 == 0 {
				how = claim.Queued
			}
			r.put(id, how)
			names = append(names, string(id))
		}
		r.store.SetLimits(2048, 12)
		if code, status := r.submit("a", awaits("job-900000", names)); code != 201 || status != "pending" {
			t.Errorf("150 of 600 not done: %d %s", code, status)
		}
		rec, err := claim.DecodeWaiting(r.store.Value(claim.WaitKey("job-900000")))
		if err != nil || len(rec.Spec.Awaits) != 150 {
			t.Fatalf("kept as %v, %v", rec, err)
		}
		for i := range 300 {
			id := fmt.Sprintf("job-%06d", 500000+i*17)
			r.put(ids.Job(id), claim.Queued)
			names = append(names, id)
		}
		out := call(r.nodes["b"], "POST", "/v2/runs", awaits("job-900001", names))
		if out.Code != 422 || !strings.Contains(out.Body.String(), errManyAwaits.why) {
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
		if r.keyOf("job-3") != claim.WaitKey("job-3") {
			t.Errorf("stored at %s", r.keyOf("job-3"))
		}
		// One that runs, which others await.
		r.put("job-1", claim.Cancelling)
		r.told("job-4", "cancelled")
		// One that is done: its followers go on.
		r.put("job-20", claim.Done)
		r.put("job-21", claim.Queued, "job-20")
		cancel("a", "job-20", "done")
		r.told("job-21", "pending")
	})
}
