package intake

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// Guards against a controller that denies an accepted job because it read the records, page by page, while
// the job left the waiting state: polls and cancellations got 404, a job that awaits it 422.
func TestStartingControllerKnowsJobThatMovesWhileRecordsAreListed(t *testing.T) {
	const moving, prerequisite = ids.Job("job-000100"), ids.Job("job-000099")
	tests := []struct {
		name, method, path string
		body               any
		code               int
	}{
		{"poll", "GET", "/v2/runs/" + string(moving), nil, 200},
		{"cancellation", "POST", "/v2/runs/" + string(moving) + "/cancel", nil, 200},
		{"submission that awaits it", "POST", "/v2/runs", dependentSubmission("job-000101", []ids.Job{moving}), 201},
		{"repeated submission", "POST", "/v2/runs", dependentSubmission(string(moving), []ids.Job{prerequisite}), 200},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newTestCluster(t)
			c.storeJob(prerequisite, record.Queued)
			c.storeJob(moving, record.Queued, prerequisite)
			c.storeManyRecords()
			moved := false
			c.net.SetRule(func(from, _ string, r *http.Request, _ []byte) fake.Outcome {
				if from == "a" && r.URL.Path == "/kv" && r.URL.Query().Get("after") != "" && !moved {
					moved = true
					c.commit(state.Op{Remove: record.WaitKey(moving)}, c.putOfJob(moving, record.Queued))
				}
				return fake.Deliver
			})
			if code, _ := c.request("a", test.method, test.path, test.body); code != test.code || !moved {
				t.Errorf("code %d, job moved %v; want %d while it moves", code, moved, test.code)
			}
		})
	}
}

// storeManyRecords stores as many unfinished jobs as a page of the state service holds.
func (c *testCluster) storeManyRecords() {
	const pageSize = 1000
	var puts []state.Op
	for i := range pageSize {
		puts = append(puts, state.Op{Put: record.JobKey(ids.Job(fmt.Sprintf("job-%06d", 500000+i))), Value: []byte(`{}`)})
	}
	c.commit(puts...)
}
