package intake

import (
	"bytes"
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

// validSubmission returns a submission with all fields of the protocol and an unknown one.
func validSubmission() map[string]any {
	return map[string]any{"uid": "job-1", "jobkind": "c", "owner": "red", "shape": "array", "urgency": "low", "pieces": 2,
		"cores": 1.5, "accelerators": 0, "ramGb": 1, "bundle": "img", "pullGb": 1, "builds": nil, "yard": nil, "together": false,
		"spread": false, "loaners": true, "guessS": 10, "bookmarkS": 0, "stashS": 0, "dueS": nil, "novel": "ignored"}
}

// submissionOf returns a valid submission with the given job identifier.
func submissionOf(id string) map[string]any {
	body := validSubmission()
	body["uid"] = id
	return body
}

func TestMalformedSubmissionsAreRejected(t *testing.T) {
	for name, testCase := range map[string]struct {
		key   string
		value any
		valid bool
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
		body := validSubmission()
		body[testCase.key] = testCase.value
		if _, err := parseSubmission(bytes.NewReader(marshal(body))); (err == nil) != testCase.valid {
			t.Errorf("submission %q: parsing returned the error %v", name, err)
		}
	}
	for _, raw := range []string{"", "[]", "null", "{", `"x"`, "{}", `{"uid":"job-1"} x`, "{" + strings.Repeat(" ", maxBodyBytes) + "}"} {
		if _, err := parseSubmission(strings.NewReader(raw)); err == nil {
			t.Errorf("malformed body was accepted: %.20q", raw)
		}
	}
}

// immediateNotifier implements LeaderNotifier. It reports every notification as delivered immediately.
type immediateNotifier struct{}

func (immediateNotifier) NotifyLeader(ids.Job, ids.Revision, *record.Record, json.RawMessage) <-chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}

// newJobService returns the job service of a node with its own network and store.
func newJobService() (*fake.Network, *fake.Store, *JobService) {
	network, store := fake.NewNetwork(), fake.NewStore()
	network.Listen("state:1", store)
	settings := &config.Settings{Operator: config.DefaultOperator()}
	settings.Params.State = config.StateLimits{RPS: 500, WriteRPS: 500, ValueKB: 8, TxnOps: 12}
	settings.Params.Teams = []config.Team{{Name: "red", CPUsMax: 8}}
	client := state.NewClient("state:1", network.Client("a"), state.NewBudget(500, 500, 1, 0.6))
	types := []placement.InstanceType{{Label: "small", Cores: 4, RAM: 16, Zones: []string{"north"}}}
	return network, store, &JobService{Settings: settings, Store: client, RecordCache: state.NewWatchCache(client, record.JobPrefix, time.Second),
		LeaderNotifier: immediateNotifier{}, Writer: "a", MachineTypes: func() []placement.InstanceType { return types }}
}

// newHandler returns the HTTP handler of a node with its own network and store.
func newHandler() (*fake.Network, *fake.Store, http.Handler) {
	network, store, service := newJobService()
	return network, store, (&Server{Jobs: service, Ready: func() bool { return true }, NodeStatus: func() any { return nil },
		ExplainByLeader: explainWithoutLeader}).Handler()
}

// serve sends a request to a handler and returns the response.
func serve(handler http.Handler, method, path string, body any) *httptest.ResponseRecorder {
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, httptest.NewRequest(method, path, bytes.NewReader(marshal(body))))
	return response
}

func TestUserRequestsReturnExpectedHTTPStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, store, handler := newHandler()
		with := func(key string, value any) map[string]any {
			body := submissionOf("job-7")
			body[key] = value
			return body
		}
		for _, testCase := range []struct {
			name string
			body any
			code int
		}{
			{"unknown team", with("owner", "green"), 422},
			{"too large for any type", with("cores", 5), 422},
			{"no type of that name", with("builds", []string{"huge"}), 422},
			{"a zone nobody offers", with("yard", "west"), 422},
			{"a gang over the limit", func() any { body := with("shape", "gang"); body["pieces"] = 9; return body }(), 422},
			{"an array beyond its team", with("pieces", 90), 201},
			{"not an object", []int{1}, 400},
		} {
			if got := serve(handler, "POST", "/v2/runs", testCase.body).Code; got != testCase.code {
				t.Errorf("%s: got HTTP status %d, want %d", testCase.name, got, testCase.code)
			}
		}
		if got := serve(handler, "GET", "/v2/runs/job-999", nil).Code; got != 404 {
			t.Errorf("polling an unknown job got HTTP status %d, want 404", got)
		}
		if got := serve(handler, "POST", "/v2/runs/job-999/cancel", nil).Code; got != 404 {
			t.Errorf("cancelling an unknown job got HTTP status %d, want 404", got)
		}
		// An accepted job is never rejected, even if a repeated submission could not be accepted.
		if got := serve(handler, "POST", "/v2/runs", with("cores", 50)).Code; got != 200 {
			t.Errorf("a repeated submission that fits no machine type got HTTP status %d, want 200", got)
		}
		if response := serve(handler, "POST", "/v2/runs/job-7/cancel", nil); response.Code != 200 || !strings.Contains(response.Body.String(), "cancelled") {
			t.Errorf("cancelling a job got HTTP status %d, body %s", response.Code, response.Body)
		}
		if response := serve(handler, "GET", "/v2/runs/job-7", nil); !strings.Contains(response.Body.String(), "cancelled") {
			t.Errorf("polling a cancelled job returned the body %s", response.Body)
		}
		store.SetDown(true)
		began := time.Now()
		response := serve(handler, "POST", "/v2/runs", submissionOf("job-8"))
		if response.Code != 503 || response.Header().Get("Retry-After") == "" || time.Since(began) > time.Second {
			t.Errorf("submitting during an outage: HTTP status %d, Retry-After %q, after %v", response.Code, response.Header().Get("Retry-After"), time.Since(began))
		}
		if response := serve(handler, "GET", "/v2/runs/job-7", nil); response.Code != 200 {
			t.Errorf("polling an ended job during an outage got HTTP status %d, want 200", response.Code)
		}
		if response := serve(handler, "GET", "/v2/runs/job-8", nil); response.Code != 503 {
			t.Errorf("polling an unknown job during an outage got HTTP status %d, want 503", response.Code)
		}
	})
}

func TestSubmissionIsReadBackWhenStoreResponseIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, store, handler := newHandler()
		network.SetRule(func(_, _ string, request *http.Request, _ []byte) fake.Outcome {
			if request.URL.Path == "/commit" {
				return fake.DropResponse
			}
			return fake.Deliver
		})
		response := serve(handler, "POST", "/v2/runs", validSubmission())
		if response.Code != 200 || store.Value("job/job-1") == nil {
			t.Fatalf("submission without a store response got HTTP status %d, body %s", response.Code, response.Body)
		}
		network.SetRule(func(_, _ string, request *http.Request, _ []byte) fake.Outcome {
			if request.URL.Path == "/commit" {
				return fake.Drop
			}
			return fake.Deliver
		})
		if response := serve(handler, "POST", "/v2/runs", submissionOf("job-2")); response.Code != 503 {
			t.Fatalf("a submission that never reached the store got HTTP status %d, want 503", response.Code)
		}
	})
}

func TestThousandsOfPollsLeaveStoreCallsForSubmissions(t *testing.T) {
	// Guards against one store call for each poll. Thousands of users poll at once at one of five
	// controllers that share the store's rate limit, while other jobs are submitted and cancelled.
	synctest.Test(t, func(t *testing.T) {
		network, _, service := newJobService()
		calls := 0
		var mu sync.Mutex
		network.SetRule(func(string, string, *http.Request, []byte) fake.Outcome {
			mu.Lock()
			defer mu.Unlock()
			calls++
			return fake.Deliver
		})
		service.Store = state.NewClient("state:1", network.Client("a"), state.NewBudget(200, 50, 5, 0.45))
		service.RecordCache = state.NewWatchCache(service.Store, record.JobPrefix, time.Second)
		handler := (&Server{Jobs: service, Ready: func() bool { return true }}).Handler()
		if got := serve(handler, "POST", "/v2/runs", validSubmission()).Code; got != 201 {
			t.Fatal(got)
		}
		var wg sync.WaitGroup
		codes := map[int]int{}
		for range 5000 {
			wg.Go(func() {
				began := time.Now()
				got := serve(handler, "GET", "/v2/runs/job-1", nil).Code
				mu.Lock()
				defer mu.Unlock()
				codes[got]++
				if time.Since(began) > time.Second {
					t.Errorf("a poll took %v, want at most 1s", time.Since(began))
				}
			})
			time.Sleep(400 * time.Microsecond)
		}
		for i := range 3 {
			if got := serve(handler, "POST", "/v2/runs", submissionOf(fmt.Sprint("job-2", i))).Code; got != 201 {
				t.Errorf("a submission during the polls got HTTP status %d, want 201", got)
			}
		}
		if got := serve(handler, "POST", "/v2/runs/job-20/cancel", nil).Code; got != 200 {
			t.Errorf("a cancellation during the polls got HTTP status %d, want 200", got)
		}
		wg.Wait()
		if codes[200] != 5000 || calls > 60 {
			t.Errorf("HTTP statuses of the polls: %v; %d calls to the store, want at most 60", codes, calls)
		}
	})
}

func TestRequestsFailFastWhileStoreIsUnreachable(t *testing.T) {
	// Guards against requests that wait for a timeout: an unreachable store does not respond at all.
	synctest.Test(t, func(t *testing.T) {
		network, _, service := newJobService()
		served := true
		handler := (&Server{Jobs: service, Ready: func() bool { return served }}).Handler()
		if got := serve(handler, "POST", "/v2/runs", validSubmission()).Code; got != 201 {
			t.Fatal(got)
		}
		if got := serve(handler, "GET", "/v2/runs/job-1", nil).Code; got != 200 {
			t.Fatal(got)
		}
		network.SetRule(func(string, string, *http.Request, []byte) fake.Outcome { return fake.Drop })
		time.Sleep(3 * time.Second)
		served = false
		for _, request := range []struct{ method, path string }{
			{"GET", "/v2/runs/job-1"}, {"POST", "/v2/runs/job-1/cancel"}, {"POST", "/v2/runs"},
		} {
			began := time.Now()
			response := serve(handler, request.method, request.path, submissionOf("job-5"))
			if response.Code != 503 || response.Header().Get("Retry-After") == "" || response.Header().Get("Connection") != "close" || time.Since(began) > 50*time.Millisecond {
				t.Errorf("%s %s: got HTTP status %d after %v, header %v", request.method, request.path, response.Code, time.Since(began), response.Header())
			}
		}
		// Operators get the last known state, marked as such.
		response := serve(handler, "GET", "/v2/runs/job-1/explain", nil)
		if response.Code != 200 || !strings.Contains(response.Body.String(), "knew last") || !strings.Contains(response.Body.String(), "unknown") {
			t.Errorf("explaining a job got HTTP status %d, body %s", response.Code, response.Body)
		}
	})
}

func TestHealthResponsesContainTheVersion(t *testing.T) {
	// Guards against controllers whose versions cannot be distinguished from outside during an upgrade.
	synctest.Test(t, func(t *testing.T) {
		handler := (&Server{Ready: func() bool { return true }, Version: "9.8.7"}).Handler()
		if got := serve(handler, "GET", "/up", nil).Header().Get("Pebbletrail-Version"); got != "9.8.7" {
			t.Errorf("the version header is %q, want 9.8.7", got)
		}
	})
}
