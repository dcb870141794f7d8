package intake

import (
	"bytes"
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

// submissionWithTimes returns a submission with an estimate, dependencies and, if above zero, a deadline.
func submissionWithTimes(id string, estimate, deadline float64, names ...string) map[string]any {
	body := dependentSubmission(id, names)
	body["guessS"] = estimate
	if deadline > 0 {
		body["dueS"] = deadline
	}
	return body
}

// submitAll submits jobs and fails the test unless all are accepted.
func (c *testCluster) submitAll(jobs ...map[string]any) {
	c.t.Helper()
	for _, body := range jobs {
		if code, _ := c.submit("a", body); code != 201 {
			c.t.Fatalf("submission of %v got HTTP status %d", body["uid"], code)
		}
	}
}

// explanation returns the fields Outlook and Note of a node's explanation of a job.
func (c *testCluster) explanation(node, id string) (now []string, note string) {
	c.t.Helper()
	response := serve(c.nodes[node], "GET", "/v2/runs/"+id+"/explain", nil)
	var explanation Explanation
	if err := json.Unmarshal(response.Body.Bytes(), &explanation); err != nil || response.Code != 200 {
		c.t.Fatalf("explaining %s got HTTP status %d, body %s", id, response.Code, response.Body)
	}
	return explanation.Outlook, explanation.Note
}

// expectExplanation checks the Outlook lines of node b's explanation of a job, and that it has no note.
func (c *testCluster) expectExplanation(id string, want ...string) {
	c.t.Helper()
	now, note := c.explanation("b", id)
	if got := strings.Join(now, "\n"); got != strings.Join(want, "\n") || note != "" {
		c.t.Errorf("%s is explained as\n%s\nnote: %s\nwant\n%s", id, got, note, strings.Join(want, "\n"))
	}
}

func TestDeadlineRiskNamesTheStartOfTheCriticalPath(t *testing.T) {
	// Guards against reporting a late pipeline only after its last job is overdue, only for its last job, or
	// with the wrong cause: the longest path without finished jobs determines the risk.
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		go cluster.services["b"].Store.ProbeHealth(t.Context(), record.KeysOf(0, 1).Generation())
		cluster.submitAll(submissionWithTimes("job-1", 30, 0), submissionWithTimes("job-2", 50, 0), submissionWithTimes("job-3", 20, 0, "job-1", "job-2"),
			submissionWithTimes("job-4", 10, 100.4, "job-3", "job-1"), submissionWithTimes("job-5", 5, 300.4, "job-4"))
		const hangs = "; it hangs on job-2 first"
		inTime := "the pipeline is in time: by the estimates it ends 20s before its deadline" + hangs
		behind := "needed by job-5: the pipeline is in time: by the estimates it ends 215s before its deadline" + hangs
		cluster.expectExplanation("job-4", "awaits job-3: pending, 0 of 2 tasks done", "awaits job-1: pending, 0 of 2 tasks done", inTime, behind)
		cluster.expectExplanation("job-2", "needed by job-4: "+inTime, behind)
		time.Sleep(34500 * time.Millisecond)
		atRisk := "the pipeline is at risk: by the estimates it ends 15s after its deadline" + hangs
		behind = strings.Replace(behind, "215s", "180s", 1)
		cluster.expectExplanation("job-4", "awaits job-3: pending, 0 of 2 tasks done", "awaits job-1: pending, 0 of 2 tasks done", atRisk, behind)
		cluster.expectExplanation("job-1", "needed by job-4: "+atRisk, behind)
		// Once job-2 is done, the path through job-1 is the longest.
		cluster.endJob("job-2", record.Done)
		cluster.expectExplanation("job-3", "awaits job-1: pending, 0 of 2 tasks done", "awaits job-2: done, 0 of 2 tasks done",
			"needed by job-4: the pipeline is in time: by the estimates it ends 5s before its deadline; it hangs on job-1 first",
			"needed by job-5: the pipeline is in time: by the estimates it ends 200s before its deadline; it hangs on job-1 first")
	})
}

// endJob replaces a job's live record by a final one with the given status, as the leader would.
func (c *testCluster) endJob(id ids.Job, status record.Status) {
	c.t.Helper()
	rec, err := record.Decode(c.store.Value(record.JobKey(id)))
	if err != nil {
		c.t.Fatal(err)
	}
	c.remove(record.JobKey(id))
	rec.Status = status
	c.storeRecord(rec, false)
}

func TestExplanationNamesTheJobThatItsUserCancelled(t *testing.T) {
	// Guards against an explanation that names an intermediate job or none as the cause, whether or not the
	// final records of the cancelled jobs are stored.
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		cluster.submitAll(submissionWithTimes("job-1", 30, 0), submissionWithTimes("job-2", 50, 0, "job-1"), submissionWithTimes("job-3", 20, 0, "job-2"), submissionWithTimes("job-4", 20, 0, "job-3"))
		cluster.request("a", "POST", "/v2/runs/job-1/cancel", nil)
		cluster.submitAll(submissionWithTimes("job-5", 20, 0, "job-4"))
		for _, id := range []string{"job-2", "job-4", "job-5"} {
			cluster.expectExplanation(id, "cancelled with job-1, whose user cancelled it")
		}
		cluster.expectExplanation("job-1")
		// The leader may record an intermediate job as the cause.
		for id, by := range map[ids.Job]ids.Job{"job-2": "job-1", "job-3": "job-2"} {
			rec, err := record.DecodeWaiting(cluster.store.Value(record.WaitKey(id)))
			if err != nil {
				t.Fatal(err)
			}
			rec.MarkCancelledBy(by)
			cluster.remove(record.WaitKey(id))
			cluster.storeRecord(rec, false)
		}
		cluster.expectExplanation("job-3", "cancelled with job-1, whose user cancelled it, through job-2")
		cluster.expectExplanation("job-4", "cancelled with job-1, whose user cancelled it, through job-2")
	})
}

// remove removes a key with the leader's client.
func (c *testCluster) remove(key string) {
	c.t.Helper()
	c.commit(state.Op{Remove: key})
}

func TestExplanationOfLargePipelineTakesFewCallsAndLines(t *testing.T) {
	// Guards against visiting a job once for each of its dependents, against one call for each ended job,
	// and against an unlimited response. The pipeline is a long chain of jobs with many dependencies
	// each.
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		var ended []ids.Job
		for i := range 150 {
			id := ids.Job(fmt.Sprintf("job-%d", 5000+i))
			cluster.storeJob(id, record.Done)
			ended = append(ended, id)
		}
		before := []ids.Job{}
		for i := range 700 {
			id := ids.Job(fmt.Sprintf("job-%d", 1000+i))
			cluster.storeJob(id, record.Queued, append(before[max(0, len(before)-20):], ended...)...)
			before = append(before, id)
		}
		last := submissionWithTimes("job-9", 10, 60, "job-1699")
		cluster.submitAll(last)
		calls := 0
		cluster.net.SetRule(func(from, _ string, _ *http.Request, _ []byte) fake.Outcome {
			if from == "b" {
				calls++
			}
			return fake.Deliver
		})
		for _, id := range []string{"job-9", "job-1699", "job-1350"} {
			now, note := cluster.explanation("b", id)
			text := strings.Join(now, "\n")
			if len(now) > maxListedDependencies+10 || note != "" || !strings.Contains(text, "at risk") || !strings.Contains(text, "more than 500 jobs") {
				t.Errorf("explanation of %s has %d lines: %.500s, note: %s", id, len(now), text, note)
			}
		}
		if calls > 15 {
			t.Errorf("%d calls to the store, want at most 15", calls)
		}
	})
}

func TestDeadlineCountsFromTheSubmission(t *testing.T) {
	// Guards against a deadline that counts from the end of the job's dependencies.
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		spec, err := parseSubmission(bytes.NewReader(marshal(submissionWithTimes("job-1", 30, 100.4))))
		if err != nil {
			t.Fatal(err)
		}
		rec := newRecord(spec, record.Queued)
		rec.ReadyAt = rec.Submitted + 60000
		cluster.storeRecord(rec, false)
		time.Sleep(60 * time.Second)
		cluster.expectExplanation("job-1", "the pipeline is in time: by the estimates it ends 10s before its deadline; it hangs on job-1 first")
	})
}

func TestOversizeWaitingJobIsExplainedWithItsSize(t *testing.T) {
	// Regression: a job that was accepted under a larger limit stayed pending without any reason, even when all
	// jobs that it awaited were done.
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		cluster.storeJob("job-1", record.Done)
		spec, err := parseSubmission(bytes.NewReader(marshal(dependentSubmission("job-2", []string{"job-1"}))))
		if err != nil {
			t.Fatal(err)
		}
		spec.Class = strings.Repeat("c", 3000)
		cluster.storeRecord(newRecord(spec, record.Queued), true)
		for _, c := range []struct {
			valueKB float64
			want    bool
		}{{8, false}, {2, true}} {
			for _, service := range cluster.services {
				service.Settings.Params.State.ValueKB = c.valueKB
			}
			body := serve(cluster.nodes["a"], "GET", "/v2/runs/job-2/explain", nil).Body.String()
			if got := strings.Contains(body, "a value of the state service holds 2048"); got != c.want {
				t.Errorf("with values of %v KiB the explanation names the sizes: %v, want %v: %.300s", c.valueKB, got, c.want, body)
			}
		}
	})
}
