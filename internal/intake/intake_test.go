package intake

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

func good() map[string]any {
	return map[string]any{"uid": "job-1", "jobkind": "c", "owner": "red", "shape": "array", "urgency": "low", "pieces": 2,
		"cores": 1.5, "accelerators": 0, "ramGb": 1, "bundle": "img", "pullGb": 1, "builds": nil, "yard": nil, "together": false,
		"spread": false, "loaners": true, "guessS": 10, "bookmarkS": 0, "stashS": 0, "dueS": nil, "novel": "ignored"}
}

func TestWhatIsMalformedIsToldApart(t *testing.T) {
	for name, c := range map[string]struct {
		key string
		v   any
		ok  bool
	}{
		"as it should be":     {"uid", "job-000412", true},
		"a type list":         {"builds", []string{"g8"}, true},
		"id of another form":  {"uid", "run-1", false},
		"id missing":          {"uid", nil, false},
		"no pieces":           {"pieces", 0, false},
		"half a piece":        {"pieces", 1.5, false},
		"too many pieces":     {"pieces", 100001, false},
		"a string for cores":  {"cores", "4", false},
		"negative ram":        {"ramGb", -1, false},
		"unknown shape":       {"shape", "ring", false},
		"unknown urgency":     {"urgency", "soon", false},
		"spread missing":      {"spread", nil, false},
		"empty bundle":        {"bundle", "", false},
		"negative due":        {"dueS", -5, false},
		"types of a bad kind": {"builds", "g8", false},
	} {
		s := good()
		s[c.key] = c.v
		raw, _ := json.Marshal(s)
		if _, err := parse(strings.NewReader(string(raw))); (err == nil) != c.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
	for _, raw := range []string{"", "[]", "null", "{", `"x"`, "{}", `{"uid":"job-1"} x`, "{" + strings.Repeat(" ", bodyLimit) + "}"} {
		if _, err := parse(strings.NewReader(raw)); err == nil {
			t.Errorf("taken: %.20q", raw)
		}
	}
}

type mute struct{}

func (mute) NotifyLeader(ids.Job, ids.Revision, *record.Record, json.RawMessage) <-chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}

func jobService() (*fake.Net, *fake.Store, *JobService) {
	n, s := fake.NewNet(), fake.NewStore()
	n.Listen("state:1", s)
	set := &config.Settings{Own: config.Defaults()}
	set.Params.State = config.State{RPS: 500, WriteRPS: 500, ValueKB: 8, TxnOps: 12}
	set.Params.Teams = []config.Team{{Name: "red", CPUsMax: 8}}
	st := state.NewClient("state:1", n.Client("a"), state.NewBudget(500, 500, 1, 0.6))
	return n, s, &JobService{Set: set, State: st, Jobs: state.NewMirror(st, record.JobPrefix, time.Second), LeaderNotifier: mute{}, Writer: "a",
		Types: func() []placement.Type {
			return []placement.Type{{Label: "small", Cores: 4, RAM: 16, Zones: []string{"north"}}}
		}}
}

func site() (*fake.Net, *fake.Store, http.Handler) {
	n, s, d := jobService()
	return n, s, (&Site{Jobs: d, Ready: func() bool { return true }, Status: func() any { return nil },
		Live: func(context.Context, ids.Job) ([]string, ids.Node, error) { return nil, "", nil }}).Handler()
}

func call(h http.Handler, method, path string, body any) *httptest.ResponseRecorder {
	raw, _ := json.Marshal(body)
	out := httptest.NewRecorder()
	h.ServeHTTP(out, httptest.NewRequest(method, path, bytes.NewReader(raw)))
	return out
}

func TestUsersGetTheStatusThatFits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, s, h := site()
		with := func(key string, v any) map[string]any { m := good(); m["uid"] = "job-7"; m[key] = v; return m }
		for _, c := range []struct {
			name string
			body any
			code int
		}{
			{"unknown team", with("owner", "green"), 422},
			{"too large for any type", with("cores", 5), 422},
			{"no type of that name", with("builds", []string{"huge"}), 422},
			{"a zone nobody offers", with("yard", "west"), 422},
			{"a gang over the limit", func() any { m := with("shape", "gang"); m["pieces"] = 9; return m }(), 422},
			{"an array beyond its team", with("pieces", 90), 201},
			{"not an object", []int{1}, 400},
		} {
			if got := call(h, "POST", "/v2/runs", c.body).Code; got != c.code {
				t.Errorf("%s: %d, want %d", c.name, got, c.code)
			}
		}
		if got := call(h, "GET", "/v2/runs/job-999", nil).Code; got != 404 {
			t.Errorf("a job nobody submitted: %d", got)
		}
		if got := call(h, "POST", "/v2/runs/job-999/cancel", nil).Code; got != 404 {
			t.Errorf("cancelling a job nobody submitted: %d", got)
		}
		// Once accepted it is never refused, even if it would be by now.
		if got := call(h, "POST", "/v2/runs", with("cores", 50)).Code; got != 200 {
			t.Errorf("a repeat that no longer fits: %d", got)
		}
		if out := call(h, "POST", "/v2/runs/job-7/cancel", nil); out.Code != 200 || !strings.Contains(out.Body.String(), "cancelled") {
			t.Errorf("cancel: %d %s", out.Code, out.Body)
		}
		if out := call(h, "GET", "/v2/runs/job-7", nil); !strings.Contains(out.Body.String(), "cancelled") {
			t.Errorf("after the cancel: %s", out.Body)
		}
		s.SetDown(true)
		began := time.Now()
		m := good()
		m["uid"] = "job-8"
		out := call(h, "POST", "/v2/runs", m)
		if out.Code != 503 || out.Header().Get("Retry-After") == "" || time.Since(began) > time.Second {
			t.Errorf("in an outage: %d, Retry-After %q, after %v", out.Code, out.Header().Get("Retry-After"), time.Since(began))
		}
		if out := call(h, "GET", "/v2/runs/job-7", nil); out.Code != 200 {
			t.Errorf("a final answer in an outage: %d", out.Code)
		}
		if out := call(h, "GET", "/v2/runs/job-8", nil); out.Code != 503 {
			t.Errorf("what can't be read in an outage: %d", out.Code)
		}
	})
}

func TestASubmissionWhoseAnswerWasLostIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s, h := site()
		n.SetRule(func(_, _ string, r *http.Request, _ []byte) fake.Fate {
			if r.URL.Path == "/commit" {
				return fake.LoseAnswer
			}
			return fake.Deliver
		})
		out := call(h, "POST", "/v2/runs", good())
		if out.Code != 200 || s.Value("job/job-1") == nil {
			t.Fatalf("%d %s", out.Code, out.Body)
		}
		n.SetRule(func(_, _ string, r *http.Request, _ []byte) fake.Fate {
			if r.URL.Path == "/commit" {
				return fake.Swallow
			}
			return fake.Deliver
		})
		m := good()
		m["uid"] = "job-2"
		if out := call(h, "POST", "/v2/runs", m); out.Code != 503 {
			t.Fatalf("what may never arrive was answered %d", out.Code)
		}
	})
}

func TestQuestionsManyTimesAsOftenCrowdOutNothing(t *testing.T) {
	// Guards against each question costing a call of its own: thousands ask at once,
	// with the calls a second that one of five controllers has, and meanwhile jobs are
	// submitted and cancelled.
	synctest.Test(t, func(t *testing.T) {
		n, _, d := jobService()
		calls := 0
		var mu sync.Mutex
		n.SetRule(func(string, string, *http.Request, []byte) fake.Fate {
			mu.Lock()
			defer mu.Unlock()
			calls++
			return fake.Deliver
		})
		d.State = state.NewClient("state:1", n.Client("a"), state.NewBudget(200, 50, 5, 0.45))
		d.Jobs = state.NewMirror(d.State, record.JobPrefix, time.Second)
		h := (&Site{Jobs: d, Ready: func() bool { return true }}).Handler()
		if got := call(h, "POST", "/v2/runs", good()).Code; got != 201 {
			t.Fatal(got)
		}
		var wg sync.WaitGroup
		codes := map[int]int{}
		for range 5000 {
			wg.Go(func() {
				began := time.Now()
				got := call(h, "GET", "/v2/runs/job-1", nil).Code
				mu.Lock()
				defer mu.Unlock()
				codes[got]++
				if time.Since(began) > time.Second {
					t.Errorf("answered after %v", time.Since(began))
				}
			})
			time.Sleep(400 * time.Microsecond)
		}
		for i := range 3 {
			m := good()
			m["uid"] = fmt.Sprint("job-2", i)
			if got := call(h, "POST", "/v2/runs", m).Code; got != 201 {
				t.Errorf("a submission meanwhile got %d", got)
			}
		}
		if got := call(h, "POST", "/v2/runs/job-20/cancel", nil).Code; got != 200 {
			t.Errorf("a cancel meanwhile got %d", got)
		}
		wg.Wait()
		if codes[200] != 5000 || calls > 60 {
			t.Errorf("answers %v, %d calls to the store", codes, calls)
		}
	})
}

func TestANodeThatTheStoreDoesNotAnswerSaysSoAtOnce(t *testing.T) {
	// Guards against every user finding out by a call that hangs: a cut says nothing.
	synctest.Test(t, func(t *testing.T) {
		n, _, d := jobService()
		served := true
		h := (&Site{Jobs: d, Ready: func() bool { return served }}).Handler()
		if got := call(h, "POST", "/v2/runs", good()).Code; got != 201 {
			t.Fatal(got)
		}
		if got := call(h, "GET", "/v2/runs/job-1", nil).Code; got != 200 {
			t.Fatal(got)
		}
		n.SetRule(func(string, string, *http.Request, []byte) fake.Fate { return fake.Swallow })
		time.Sleep(3 * time.Second)
		served = false
		for _, c := range []struct{ method, path string }{
			{"GET", "/v2/runs/job-1"}, {"POST", "/v2/runs/job-1/cancel"}, {"POST", "/v2/runs"},
		} {
			began := time.Now()
			m := good()
			m["uid"] = "job-5"
			out := call(h, c.method, c.path, m)
			if out.Code != 503 || out.Header().Get("Retry-After") == "" || out.Header().Get("Connection") != "close" || time.Since(began) > 50*time.Millisecond {
				t.Errorf("%s %s: %d after %v, %v", c.method, c.path, out.Code, time.Since(began), out.Header())
			}
		}
		// Operators are told what it knows, as what it is.
		out := call(h, "GET", "/v2/runs/job-1/explain", nil)
		if out.Code != 200 || !strings.Contains(out.Body.String(), "knew last") || !strings.Contains(out.Body.String(), "unknown") {
			t.Errorf("explain: %d %s", out.Code, out.Body)
		}
	})
}

func TestHealthAnswersTellTheVersion(t *testing.T) {
	// Guards against a fleet in the middle of an upgrade whose controllers can't be told
	// apart from outside.
	synctest.Test(t, func(t *testing.T) {
		handler := (&Site{Ready: func() bool { return true }, Version: "9.8.7"}).Handler()
		if got := call(handler, "GET", "/up", nil).Header().Get("Pebbletrail-Version"); got != "9.8.7" {
			t.Errorf("the version told is %q", got)
		}
	})
}
