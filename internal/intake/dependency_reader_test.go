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

func TestJobIsRejectedOnlyAfterReadingTheRecords(t *testing.T) {
	// Guards against a 422 response based on a stale or empty watch cache, and against a Retry-After that is
	// longer than the fault lasts, or missing.
	expectRetryLater := func(t *testing.T, handler http.Handler, body any) {
		t.Helper()
		began := time.Now()
		response := serve(handler, "POST", "/v2/runs", body)
		after, err := strconv.Atoi(response.Header().Get("Retry-After"))
		if response.Code != 503 || err != nil || after < 1 || after > 3 || time.Since(began) > 4500*time.Millisecond {
			t.Errorf("got HTTP status %d, Retry-After %q, after %v", response.Code, response.Header().Get("Retry-After"), time.Since(began))
		}
	}
	for name, startFault := range map[string]func(cluster *testCluster) (endFault func()){
		"an outage": func(cluster *testCluster) func() {
			cluster.store.SetDown(true)
			return func() { cluster.store.SetDown(false) }
		},
		"refused alone": func(cluster *testCluster) func() {
			cluster.store.RefuseCaller("b", true)
			return func() { cluster.store.RefuseCaller("b", false) }
		},
		"cut off":         func(cluster *testCluster) func() { return cluster.setRule(fake.Drop, "/") },
		"no list":         func(cluster *testCluster) func() { cluster.start("b"); return cluster.setRule(fake.Refuse, "/kv") },
		"no final record": func(cluster *testCluster) func() { return cluster.setRule(fake.Refuse, "/kv/end") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newTestCluster(t)
				cluster.expectStatus("job-77", "404")
				cluster.storeJob("job-1", record.Done)
				cluster.storeJob("job-2", record.Queued)
				endFault := startFault(cluster)
				for _, service := range cluster.services {
					go service.Store.ProbeHealth(t.Context(), record.KeysOf(0, 1).Generation())
				}
				expectRetryLater(t, cluster.nodes["b"], dependentSubmission("job-10", []string{"job-404"}))
				expectRetryLater(t, cluster.nodes["b"], dependentSubmission("job-11", []string{"job-1", "job-2"}))
				time.Sleep(5 * time.Second) // by now the node has detected that the store is unavailable
				expectRetryLater(t, cluster.nodes["b"], dependentSubmission("job-10", []string{"job-404"}))
				if name != "an outage" {
					if code, _ := cluster.submit("a", dependentSubmission("job-12", []string{"job-404"})); code != 422 {
						t.Errorf("the node that reaches the store responds with HTTP status %d, want 422", code)
					}
				}
				endFault()
				time.Sleep(3 * time.Second) // the longest Retry-After
				if code, _ := cluster.submit("b", dependentSubmission("job-10", []string{"job-404"})); code != 422 {
					t.Errorf("after the fault, a submission with an unknown dependency got HTTP status %d, want 422", code)
				}
				if code, status := cluster.submit("b", dependentSubmission("job-11", []string{"job-1", "job-2"})); code != 201 || status != "pending" {
					t.Errorf("after the fault, a valid submission got HTTP status %d, job status %q", code, status)
				}
			})
		})
	}
}

// setRule sets the outcome of node b's calls to a path and the paths below it, until end is called.
func (c *testCluster) setRule(outcome fake.Outcome, path string) (end func()) {
	c.net.SetRule(func(from, _ string, req *http.Request, _ []byte) fake.Outcome {
		if from == "b" && (req.URL.Path == path || strings.HasPrefix(req.URL.Path, path+"/") || path == "/") {
			return outcome
		}
		return fake.Deliver
	})
	return func() { c.net.SetRule(nil) }
}

func TestHundredsOfEndedDependenciesTakeFewStoreCalls(t *testing.T) {
	// Guards against one call for each dependency, which exceeds the rate limit of a node within the time
	// that a user waits, and against missing a dependency at the boundary of two pages.
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		var names []string
		for i := range 1500 {
			id := ids.Job(fmt.Sprintf("job-%d", i))
			cluster.storeJob(id, record.Done)
			if i%10 == 0 { // names that end in 0, the lowest digit, test record.BeforeFinalRecord
				names = append(names, string(id))
			}
		}
		cluster.services["b"].Store = state.NewClient("state:1", cluster.net.Client("b"), state.NewBudget(50, 50, 5, 0.45))
		cluster.services["b"].RecordCache = state.NewWatchCache(cluster.services["b"].Store, record.JobPrefix, time.Second)
		calls := 0
		cluster.net.SetRule(func(from, _ string, _ *http.Request, _ []byte) fake.Outcome {
			if from == "b" {
				calls++
			}
			return fake.Deliver
		})
		if code, _ := cluster.submit("b", dependentSubmission("job-9000", append([]string{"job-1500"}, names...))); code != 422 {
			t.Errorf("a submission with a dependency that was never accepted got HTTP status %d, want 422", code)
		}
		if code, status := cluster.submit("b", dependentSubmission("job-9001", names)); code != 201 || status != "pending" || cluster.storedKey("job-9001") != "job/job-9001" {
			t.Errorf("submission got HTTP status %d, job status %q, and is stored at %s", code, status, cluster.storedKey("job-9001"))
		}
		if calls > 20 {
			t.Errorf("%d calls to the store, want at most 20", calls)
		}
	})
}

func TestSubmissionIsRejectedOnlyIfUnfinishedDependenciesDoNotFit(t *testing.T) {
	// Guards against rejecting a job because of dependencies that are done and need not be stored, and
	// against an undocumented response if the unfinished ones do not fit.
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		for _, service := range cluster.services {
			service.Settings.Params.State.ValueKB = 2
		}
		var names []string
		for i := range 600 {
			id := ids.Job(fmt.Sprintf("job-%06d", 1000+i*17))
			status := record.Done
			if i%4 == 0 {
				status = record.Queued
			}
			cluster.storeJob(id, status)
			names = append(names, string(id))
		}
		cluster.store.SetLimits(2048, 12)
		if code, status := cluster.submit("a", dependentSubmission("job-900000", names)); code != 201 || status != "pending" {
			t.Errorf("a submission with 150 of 600 dependencies unfinished got HTTP status %d, job status %q", code, status)
		}
		rec, err := record.DecodeWaiting(cluster.store.Value(record.WaitKey("job-900000")))
		if err != nil || len(rec.Spec.DependsOn) != 150 {
			t.Fatalf("job is stored as %v, decoding error %v", rec, err)
		}
		for i := range 300 {
			id := fmt.Sprintf("job-%06d", 500000+i*17)
			cluster.storeJob(ids.Job(id), record.Queued)
			names = append(names, id)
		}
		response := serve(cluster.nodes["b"], "POST", "/v2/runs", dependentSubmission("job-900001", names))
		if response.Code != 422 || !strings.Contains(response.Body.String(), errTooManyDependencies.reason) {
			t.Errorf("a submission with 450 unfinished dependencies got HTTP status %d, body %s", response.Code, response.Body)
		}
		if code, _ := cluster.submit("b", dependentSubmission("job-900000", names)); code != 200 {
			t.Errorf("a repeated submission of an accepted job got HTTP status %d, want 200", code)
		}
		// A job whose record fills the value can still be cancelled.
		if code, status := cluster.request("b", "POST", "/v2/runs/job-900000/cancel", nil); code != 200 || status != "cancelled" {
			t.Errorf("cancelling the job got HTTP status %d, job status %q", code, status)
		}
		cluster.expectStatus("job-900000", "cancelled")
	})
}

func TestCancellationReachesAllDependentsAndNoOthers(t *testing.T) {
	// Guards against a cancellation that misses dependents, reaches other jobs, or is undone. There is no
	// leader, so the result depends only on the records.
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		submit := func(id string, names ...string) {
			if code, _ := cluster.submit("a", dependentSubmission(id, names)); code != 201 {
				t.Fatal(id, code)
			}
		}
		cancel := func(node, id, want string) {
			t.Helper()
			if code, status := cluster.request(node, "POST", "/v2/runs/"+id+"/cancel", nil); code != 200 || status != want {
				t.Errorf("cancelling %s got HTTP status %d, job status %q, want status %q", id, code, status, want)
			}
		}
		submit("job-1")
		submit("job-2", "job-1")
		submit("job-3", "job-2")
		submit("job-4", "job-1")
		submit("job-5", "job-3", "job-4")
		cluster.expectStatus("job-5", "pending")
		// Cancelling a blocked job cancels its dependents but not its dependencies.
		cancel("b", "job-2", "cancelled")
		for id, want := range map[string]string{"job-1": "pending", "job-2": "cancelled", "job-3": "cancelled", "job-4": "pending", "job-5": "cancelled"} {
			cluster.expectStatus(id, want)
		}
		// Cancelling a job that was cancelled with its dependency changes nothing.
		cancel("a", "job-5", "cancelled")
		cancel("b", "job-3", "cancelled")
		if cluster.storedKey("job-3") != record.WaitKey("job-3") {
			t.Errorf("job-3 is stored at %s, want its waiting key", cluster.storedKey("job-3"))
		}
		// A job with assigned tasks and a dependent is cancelled.
		cluster.storeJob("job-1", record.Cancelling)
		cluster.expectStatus("job-4", "cancelled")
		// Cancelling a job that is done does not affect its dependents.
		cluster.storeJob("job-20", record.Done)
		cluster.storeJob("job-21", record.Queued, "job-20")
		cancel("a", "job-20", "done")
		cluster.expectStatus("job-21", "pending")
	})
}
