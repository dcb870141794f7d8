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

func TestDependenciesMustBeAListOfJobIDs(t *testing.T) {
	// Guards against names that are misread or ignored, which would start a job too early, and against
	// refusing lists that the protocol allows.
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		for _, bad := range []any{"job-1", "", 7, true, map[string]any{}, []any{1}, []any{nil}, []any{[]string{"job-1"}},
			[]string{""}, []string{"job-"}, []string{"job-1x"}, []string{"run-1"}, []string{"job-1", "JOB-2"}, []string{" job-1"}} {
			if code, _ := cluster.submit("a", dependentSubmission("job-9", bad)); code != 400 {
				t.Errorf("a submission that awaits %v gets HTTP status %d, want 400", bad, code)
			}
			cluster.expectStatus("job-9", "404")
		}
		cluster.storeJob("job-1", record.Queued)
		for i, testCase := range []struct {
			names any
			want  []ids.Job
		}{
			{nil, nil}, {[]string{}, nil}, {[]string{"job-1"}, []ids.Job{"job-1"}}, {[]string{"job-1", "job-1"}, []ids.Job{"job-1"}},
		} {
			id := ids.Job(fmt.Sprintf("job-1%d", i))
			if code, status := cluster.submit("a", dependentSubmission(string(id), testCase.names)); code != 201 || status != "pending" {
				t.Errorf("a submission that awaits %v gets HTTP status %d, job status %q", testCase.names, code, status)
			}
			key := record.JobKey(id)
			if testCase.want != nil {
				key = record.WaitKey(id)
			}
			if cluster.storedKey(id) != key {
				t.Errorf("a job that awaits %v is stored at %s", testCase.names, cluster.storedKey(id))
			}
			if testCase.want == nil {
				continue
			}
			if rec, err := record.DecodeWaiting(cluster.store.Value(key)); err != nil || !slices.Equal(rec.Spec.DependsOn, testCase.want) {
				t.Errorf("a job that awaits %v is stored as %v, decoding error %v", testCase.names, rec, err)
			}
		}
	})
}

// acceptedJob is a job that is already in the store when the test submits another one.
type acceptedJob struct {
	id           ids.Job
	status       record.Status
	dependencies []ids.Job
}

// dependencyCases lists the stored jobs, the dependencies that a submission names, the expected response,
// and where the submission's record is expected.
var dependencyCases = map[string]struct {
	jobs      []acceptedJob
	names     []string
	code      int
	status    string
	storedKey string // prefix of the expected key; empty: not stored
}{
	"queued":                    {[]acceptedJob{{"job-1", record.Queued, nil}}, []string{"job-1"}, 201, "pending", record.WaitPrefix},
	"claimed":                   {[]acceptedJob{{"job-1", record.Claimed, nil}}, []string{"job-1"}, 201, "pending", record.WaitPrefix},
	"done":                      {[]acceptedJob{{"job-1", record.Done, nil}}, []string{"job-1"}, 201, "pending", record.JobPrefix},
	"cancelled":                 {[]acceptedJob{{"job-1", record.Cancelled, nil}}, []string{"job-1"}, 201, "cancelled", record.FinalRecordPrefix},
	"cancelling":                {[]acceptedJob{{"job-1", record.Cancelling, nil}}, []string{"job-1"}, 201, "cancelled", record.FinalRecordPrefix},
	"waiting":                   {[]acceptedJob{{"job-1", record.Queued, nil}, {"job-2", record.Queued, []ids.Job{"job-1"}}}, []string{"job-2"}, 201, "pending", record.WaitPrefix},
	"waits for a cancelled one": {[]acceptedJob{{"job-1", record.Cancelled, nil}, {"job-2", record.Queued, []ids.Job{"job-1"}}}, []string{"job-2"}, 201, "cancelled", record.FinalRecordPrefix},
	"waits for a cancelling one, two steps on": {[]acceptedJob{{"job-1", record.Cancelling, nil}, {"job-2", record.Queued, []ids.Job{"job-1"}},
		{"job-3", record.Queued, []ids.Job{"job-2"}}}, []string{"job-3"}, 201, "cancelled", record.FinalRecordPrefix},
	"waits for a done one":  {[]acceptedJob{{"job-1", record.Done, nil}, {"job-2", record.Queued, []ids.Job{"job-1"}}}, []string{"job-2"}, 201, "pending", record.WaitPrefix},
	"one done, one queued":  {[]acceptedJob{{"job-1", record.Done, nil}, {"job-2", record.Queued, nil}}, []string{"job-1", "job-2"}, 201, "pending", record.WaitPrefix},
	"one queued, one ended": {[]acceptedJob{{"job-1", record.Queued, nil}, {"job-2", record.Cancelled, nil}}, []string{"job-1", "job-2"}, 201, "cancelled", record.FinalRecordPrefix},
	"all done":              {[]acceptedJob{{"job-1", record.Done, nil}, {"job-2", record.Done, nil}}, []string{"job-1", "job-2"}, 201, "pending", record.JobPrefix},
	"never accepted":        {nil, []string{"job-1"}, 422, "", ""},
	"one never accepted":    {[]acceptedJob{{"job-1", record.Queued, nil}}, []string{"job-1", "job-2"}, 422, "", ""},
	"cancelled and never":   {[]acceptedJob{{"job-1", record.Cancelled, nil}}, []string{"job-1", "job-2"}, 422, "", ""},
	"five ended, one of never": {[]acceptedJob{{"job-1", record.Done, nil}, {"job-2", record.Done, nil}, {"job-3", record.Done, nil}, {"job-4", record.Done, nil}},
		[]string{"job-1", "job-2", "job-3", "job-4", "job-5"}, 422, "", ""},
	"itself": {nil, []string{"job-90"}, 422, "", ""},
}

func TestDependencyStatesDetermineSubmissionOutcome(t *testing.T) {
	// Guards against refusing a dependency on an accepted job, whatever its status, against accepting a job
	// that can never start, and against a job that waits although its dependencies are all done or one is
	// cancelled.
	for name, testCase := range dependencyCases {
		for _, node := range []string{"a", "b"} {
			t.Run(name+" at "+node, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cluster := newTestCluster(t)
					cluster.expectStatus("job-77", "404") // both nodes have synchronized their caches while the store was empty
					for _, job := range testCase.jobs {
						cluster.storeJob(job.id, job.status, job.dependencies...)
					}
					code, status := cluster.submit(node, dependentSubmission("job-90", testCase.names))
					if code != testCase.code || status != testCase.status {
						t.Fatalf("submission got HTTP status %d, job status %q, want %d, %q", code, status, testCase.code, testCase.status)
					}
					want := ""
					if testCase.storedKey != "" {
						want = testCase.storedKey + "job-90"
					}
					if got := cluster.storedKey("job-90"); got != want {
						t.Errorf("job is stored at %q, want %q", got, want)
					}
					if code == 422 {
						cluster.expectStatus("job-90", "404")
					} else {
						cluster.expectStatus("job-90", testCase.status)
					}
				})
			})
		}
	}
}

func TestDependencyMayBelongToAnotherTeamButNotBeAService(t *testing.T) {
	// Guards against a job that waits for a service, which never finishes, and against looking up
	// dependencies only among the jobs of the submission's own team.
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		service := submissionOf("job-1")
		service["shape"] = "standing"
		other := submissionOf("job-2")
		other["owner"] = "blue"
		for _, body := range []map[string]any{service, other} {
			if code, _ := cluster.submit("a", body); code != 201 {
				t.Fatal(code)
			}
		}
		if code, _ := cluster.submit("b", dependentSubmission("job-10", []string{"job-1"})); code != 422 {
			t.Errorf("a submission that depends on a service got HTTP status %d, want 422", code)
		}
		if code, status := cluster.submit("b", dependentSubmission("job-11", []string{"job-2"})); code != 201 || status != "pending" {
			t.Errorf("a submission that depends on another team's job got HTTP status %d, job status %q", code, status)
		}
		cluster.request("a", "POST", "/v2/runs/job-1/cancel", nil)
		for _, node := range []string{"a", "b"} { // node a has the summary cached, node b reads the final record
			if code, _ := cluster.submit(node, dependentSubmission("job-12", []string{"job-1"})); code != 422 {
				t.Errorf("a submission to node %s that depends on a cancelled service got HTTP status %d, want 422", node, code)
			}
		}
	})
}

func TestDependencyIsFoundWhileItsRecordMovesBetweenKeys(t *testing.T) {
	// Guards against an order of reads that misses a job's record while it moves between keys, so that the
	// job is considered never accepted. The test moves the record from the waiting key to the live key, and
	// then to the final key, before every possible pair of calls that node b makes to the store.
	for first := 1; first < 9; first++ {
		for second := first; second < 9; second++ {
			synctest.Test(t, func(t *testing.T) {
				cluster := newTestCluster(t)
				cluster.storeJob("job-1", record.Done)
				cluster.storeJob("job-2", record.Queued, "job-1")
				waiting, err := record.DecodeWaiting(cluster.store.Value(record.WaitKey("job-2")))
				if err != nil {
					t.Fatal(err)
				}
				live, _ := waiting.Encode(64 * 1024)
				waiting.Status = record.Done
				end, _ := waiting.Encode(64 * 1024)
				calls := 0
				cluster.net.SetRule(func(from, _ string, _ *http.Request, _ []byte) fake.Outcome {
					if from != "b" {
						return fake.Deliver
					}
					calls++
					if calls == first {
						cluster.commit(state.Op{Remove: record.WaitKey("job-2")}, state.Op{Put: record.JobKey("job-2"), Value: live})
					}
					if calls == second {
						cluster.commit(state.Op{Remove: record.JobKey("job-2")}, state.Op{Put: record.FinalRecordKey("job-2"), Value: end})
					}
					return fake.Deliver
				})
				if code, status := cluster.submit("b", dependentSubmission("job-9", []string{"job-2"})); code != 201 || status != "pending" {
					t.Errorf("record moved before calls %d and %d: submission got HTTP status %d, job status %q", first, second, code, status)
				}
				if got := cluster.jobStatus("b", "job-2"); got != "pending" && got != "done" {
					t.Errorf("record moved before calls %d and %d: dependency reported as %s", first, second, got)
				}
			})
		}
	}
}

func TestRepeatedSubmissionIsIdempotentWhateverItsDependencies(t *testing.T) {
	// Guards against rejecting a repeated submission of an accepted job because its dependencies would be
	// rejected now, and against a repeated submission that changes the job's dependencies.
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		cluster.storeJob("job-1", record.Queued)
		cluster.storeJob("job-2", record.Cancelled)
		cluster.storeJob("job-3", record.Done)
		for id, names := range map[string][]string{"job-10": {"job-1"}, "job-11": {"job-2"}, "job-12": {"job-3"}, "job-13": nil} {
			code, status := cluster.submit("a", dependentSubmission(id, names))
			if code != 201 {
				t.Fatal(code)
			}
			key := cluster.storedKey(ids.Job(id))
			stored := string(cluster.store.Value(key))
			for _, repeated := range []any{names, nil, []string{}, []string{"job-2"}, []string{"job-3"}, []string{"job-404"}, []string{id}, []string{"job-1", "job-3"}} {
				for _, node := range []string{"a", "b"} {
					if code, repeatedStatus := cluster.submit(node, dependentSubmission(id, repeated)); code != 200 || repeatedStatus != status {
						t.Errorf("node %s responds with HTTP status %d, job status %s to a repeated submission of %s, whose status is %s, with dependencies %v", node, code, repeatedStatus, id, status, repeated)
					}
				}
			}
			if code, _ := cluster.submit("b", dependentSubmission(id, "job-1")); code != 400 {
				t.Errorf("a repeated submission with malformed dependencies gets HTTP status %d, want 400", code)
			}
			cluster.expectStatus(id, status)
			if got := string(cluster.store.Value(key)); got != stored || cluster.storedKey(ids.Job(id)) != key {
				t.Errorf("a repeated submission changed the record %s into %s, or moved it", stored, got)
			}
		}
	})
}
