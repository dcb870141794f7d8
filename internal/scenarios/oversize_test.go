package scenarios

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// lowerLimits are limits to come under which the record that storeLargeRecord makes does
// not fit.
const (
	lowerLimits     = "\n[params.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\n"
	lowerValueBytes = 2048
	lowerTxnOps     = 4
)

// storeLargeRecord has a leader without limits to come place an array whose every other
// task completes, so that its record takes more than the lower limit. Both nodes know the
// lower limits then, and the leader of before is gone.
func storeLargeRecord(t *testing.T, w *testCluster, job string) {
	t.Helper()
	before := w.startNode("a")
	w.startWorker("m1", "north")
	w.startWorker("m2", "south")
	time.Sleep(5 * time.Second)
	const tasks = 600
	description := newJob(job, "array", tasks)
	description["cores"], description["ramGb"] = 0.01, 0.01
	w.submit("a", description)
	w.eventually(60*time.Second, "all tasks run", func() bool {
		return len(w.workerNamed("m1").ActiveTasks())+len(w.workerNamed("m2").ActiveTasks()) == tasks
	})
	for _, k := range w.workers {
		for _, task := range k.ActiveTasks() {
			if strings.ContainsAny(task[len(task)-1:], "02468") {
				k.EndTask(task, "done")
			}
		}
	}
	w.eventually(30*time.Second, "the outcomes are stored", func() bool {
		_, out := w.call("a", "GET", "/v2/runs/"+job, nil)
		return out["done"] == tasks/2.0 && len(w.store.Value("job/"+job)) > lowerValueBytes+500
	})
	before.kill()
	w.upcomingLimits = lowerLimits
	w.startNode("a")
	w.startNode("b")
	w.eventually(10*time.Second, "a new leader", func() bool { return w.leader() != nil })
}

// isReportedAs tells whether a node answers that a job stands so, and no node answers otherwise.
func (w *testCluster) isReportedAs(id, status string) bool {
	answers := 0
	for _, node := range []string{"a", "b"} {
		switch w.status(node, id) {
		case status:
			answers++
		case "":
		default:
			return false
		}
	}
	return answers > 0
}

func TestCancellationIsStoredWhenRecordExceedsLimits(t *testing.T) {
	// Guards against a user who can't cancel a job because its record was written under
	// larger limits: the cancellation got 503 until enough of its tasks had ended. And
	// against a cancellation stored apart from the record that a new leader, an end
	// reached at the same moment or another node passes over.
	for name, trouble := range map[string]struct {
		fallen        bool // the limits are lower already
		before, after func(w *testCluster)
	}{
		"the limits still hold": {},
		"the limits fell":       {fallen: true},
		"the leader ends after it": {fallen: true, after: func(w *testCluster) {
			leader := w.leader()
			leader.kill()
			time.AfterFunc(20*time.Second, func() { w.startNode(leader.name) })
		}},
		"the leader is refused": {fallen: true, before: func(w *testCluster) {
			leader := w.leader()
			w.store.RefuseCaller(leader.name, true)
			time.AfterFunc(12*time.Second, func() { w.store.RefuseCaller(leader.name, false) })
		}},
		"as the last task ends": {fallen: true, before: func(w *testCluster) {
			// The leader knows the end, but the cancellation is stored first, and the
			// leader can write but not read.
			leader := w.leader().name
			time.Sleep(3 * time.Second) // it has read the records
			w.network.SetRule(func(from, _ string, r *http.Request, body []byte) fake.Outcome {
				early := transactionKind(r, body) == "outcome" && strings.Contains(string(body), "end/job-1") && w.store.Value("job/cancel/job-1") == nil
				blind := from == leader && (r.URL.Path == "/follow" || r.URL.Path == "/kv/none") && w.store.Value("job/job-1") != nil
				if early || blind {
					return fake.Refuse
				}
				return fake.Deliver
			})
			w.completeJob("job-1")
			time.Sleep(12 * time.Second) // the watch that was open is over
		}},
	} {
		t.Run(name, func(t *testing.T) {
			scenario(t, func(t *testing.T, w *testCluster) {
				storeLargeRecord(t, w, "job-1")
				w.submit("b", dependingOn(newJob("job-2", "array", 1), "job-1"))
				if trouble.fallen {
					w.store.SetLimits(lowerValueBytes, lowerTxnOps)
				}
				if trouble.before != nil {
					trouble.before(w)
				}
				if how := w.cancelUntilAnswered("job-1"); how != "cancelled" {
					t.Fatalf("the cancellation is answered %q", how)
				}
				if trouble.after != nil {
					trouble.after(w)
				}
				w.eventually(10*time.Second, "it is told, with what needs it, by who can be asked", func() bool {
					return w.isReportedAs("job-1", "cancelled") && w.isReportedAs("job-2", "cancelled")
				})
				w.eventually(10*time.Second, "a job that names it ends with it", func() bool {
					_, out := w.call("b", "POST", "/v2/runs", dependingOn(newJob("job-3", "array", 1), "job-1"))
					return out["status"] == "cancelled" || w.isReportedAs("job-3", "cancelled")
				})
				w.eventually(40*time.Second, "nothing of it is left", func() bool { return w.store.CountKeys("job/") == 0 })
				w.eventually(30*time.Second, "every node still tells so", func() bool { return w.bothReport("job-1", "cancelled") && w.bothReport("job-2", "cancelled") })
				if w.store.TooLarge > 2 { // each node may find out once
					t.Errorf("%d writes were too large", w.store.TooLarge)
				}
			})
		})
	}
}

func TestJobWhoseRecordExceedsLimitsRunsToCompletion(t *testing.T) {
	// Guards against a record that can never be stored again: its machines are lost, so
	// that no more tasks end, and which of them are done takes more than a value holds.
	for name, lose := range map[string]func(w *testCluster){
		"the machines are lost": func(w *testCluster) {
			for _, k := range w.workers {
				w.network.Listen(k.Address, nil)
				k.SetSilent(true)
			}
			w.startWorker("m3", "north")
			w.startWorker("m4", "south")
		},
		// What the workers still report as done would be noted again and again.
		"some complete, the others are stopped": func(w *testCluster) {
			time.Sleep(5 * time.Second)
			for _, k := range w.workers {
				for i, task := range k.ActiveTasks() {
					k.EndTask(task, []string{"done", "stopped", "stopped"}[i%3])
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			scenario(t, func(t *testing.T, w *testCluster) {
				storeLargeRecord(t, w, "job-1")
				w.store.SetLimits(800, lowerTxnOps)
				w.upcomingLimits = "\n[params.state.next]\nvalue_kb = 0.78\ntxn_ops = 4\n"
				for _, name := range []string{"a", "b"} {
					w.nodes[name].kill()
				}
				w.startNode("a")
				w.startNode("b")
				lose(w)
				var commits atomic.Int64
				w.network.SetRule(func(_, _ string, r *http.Request, _ []byte) fake.Outcome {
					if r.URL.Path == "/commit" {
						commits.Add(1)
					}
					return fake.Deliver
				})
				for range 600 {
					if time.Sleep(time.Second); w.store.Value("end/job-1") != nil {
						break
					}
					w.completeJob("job-1")
				}
				if commits.Load() > 100 {
					t.Errorf("%d transactions", commits.Load())
				}
				if w.status("a", "job-1") != "done" || w.store.TooLarge > 0 {
					t.Errorf("the job is %s, %d writes were too large; store: %s", w.status("a", "job-1"), w.store.TooLarge, w.store)
				}
			})
		})
	}
}
