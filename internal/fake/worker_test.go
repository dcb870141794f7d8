package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// newTestWorker returns a worker with one controller and a lease of 20 s.
func newTestWorker(network *Network, heartbeatInterval time.Duration) *Worker {
	return &Worker{Name: "m", Address: "m:1", Network: network, Controllers: []string{"a:1"}, HeartbeatInterval: heartbeatInterval, LeaseDuration: 20 * time.Second}
}

func TestWorkerUnderPartitionsAndHangs(t *testing.T) {
	const startCommand = `{"baton":1,"stint":1,"orders":[{"verb":"start","piece":"job-1/%d","try":1}]}`
	for _, test := range []struct {
		name        string
		rule        Rule
		hung        time.Duration
		heartbeats  bool // whether heartbeats reach the controller
		command     int  // status of the answer to a direct command; 0 for no answer
		starts      int  // starts executed
		incarnation uint64
	}{
		{"well", nil, 0, true, 200, 1, 1},
		{"partitioned outbound", PartitionOutbound("m"), 0, false, 200, 1, 2}, // no heartbeat arrives, so the lease is not renewed
		{"partitioned inbound", PartitionInbound("m"), 0, true, 0, 0, 2},
		{"hung", nil, 5 * time.Second, false, 0, 1, 1},
		{"hung beyond its lease", nil, 30 * time.Second, false, 0, 0, 2},
		{"heartbeats copied", DuplicateHeartbeats("m"), 0, true, 200, 1, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer synctest.Wait()
				defer cancel()
				network, endCauses := NewNetwork(), []string{}
				var received atomic.Int32
				network.Listen("a:1", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
					received.Add(1)
					writeJSON(rw, 200, map[string]any{"baton": 1, "orders": []any{}})
				}))
				worker := newTestWorker(network, 2*time.Second)
				worker.NotifyEvents(func(e Event) { endCauses = append(endCauses, e.Cause) })
				network.SetRule(test.rule)
				go worker.Run(ctx)
				time.Sleep(time.Second)
				if test.hung > 0 {
					worker.SetHung(true)
				}
				before := received.Load()
				if code, _ := sendRequest(network, "a", "POST", "m:1/commands", fmt.Sprintf(startCommand, 0)); code != test.command {
					t.Errorf("the direct command got status %d", code)
				}
				time.Sleep(max(test.hung, 8*time.Second) - 2*time.Second)
				if arrived := received.Load() - before; (arrived > 0) != test.heartbeats {
					t.Errorf("%d heartbeats arrived at the controller", arrived)
				}
				if test.hung > 0 {
					if worker.EndTask("job-1/0", "done") || worker.StartCount("job-1/0") > 0 {
						t.Error("the hung machine started or ended a task")
					}
					worker.SetHung(false)
				}
				if got := worker.StartCount("job-1/0"); got != test.starts {
					t.Errorf("the task was started %d times", got)
				}
				time.Sleep(25 * time.Second)
				worker.mu.Lock()
				if worker.incarnation != test.incarnation {
					t.Errorf("the worker has incarnation %d", worker.incarnation)
				}
				if test.incarnation == 2 && test.starts == 1 && endCauses[len(endCauses)-1] != "killed" {
					t.Errorf("no task end was reported when the lease expired: %v", endCauses)
				}
				worker.mu.Unlock()
				if got := network.ReleaseHeld(); (got > 0) != (test.name == "heartbeats copied") {
					t.Errorf("%d copies of heartbeats were held back", got)
				}
			})
		})
	}
}

func TestWorkerKeepsResultsAndRefusesSecondAttempts(t *testing.T) {
	// A completed task that is started again ends at once with its stored result. A second attempt is
	// refused while another one runs. Changes are reported soon.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		network := NewNetwork()
		var mu sync.Mutex
		var heartbeats []string
		network.Listen("a:1", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			mu.Lock()
			heartbeats = append(heartbeats, string(body))
			mu.Unlock()
			writeJSON(rw, 200, map[string]any{"baton": 1})
		}))
		worker := newTestWorker(network, 10*time.Second)
		go worker.Run(ctx)
		time.Sleep(time.Second)
		send := func(verb string, attempt int) string {
			body, _ := json.Marshal(map[string]any{"baton": 1, "stint": 1, "orders": []any{map[string]any{"verb": verb, "piece": "job-1/0", "try": attempt}}})
			_, answer := sendRequest(network, "a", "POST", "m:1/commands", string(body))
			return answer
		}
		send("start", 1)
		if answer := send("start", 2); !strings.Contains(answer, `"busy"`) {
			t.Errorf("the start of a second attempt was answered with %s", answer)
		}
		worker.EndTask("job-1/0", "done")
		time.Sleep(600 * time.Millisecond)
		mu.Lock()
		if last := heartbeats[len(heartbeats)-1]; !strings.Contains(last, `"done"`) {
			t.Errorf("the last heartbeat does not report the end of the task: %s", last)
		}
		mu.Unlock()
		if answer := send("start", 3); !strings.Contains(answer, `"try":3,"status":"ended","cause":"done"`) {
			t.Errorf("the start of a completed task was answered with %s", answer)
		}
	})
}
