package scenarios

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// newSmallJob is a job whose task takes so little that hundreds run at once.
func newSmallJob(id string) map[string]any {
	s := newJob(id, "array", 1)
	s["cores"], s["ramGb"] = 0.02, 0.05
	return s
}

// submitFanIn submits many jobs, one that awaits all of them, and one that awaits that.
func (w *testCluster) submitFanIn(d *randomSource, many int) (needed []string) {
	w.t.Helper()
	for i := range many {
		id := fmt.Sprintf("job-%06d", 412+37*i)
		needed = append(needed, id)
		if code, _ := w.requestUntilDecided(d, "POST", "/v2/runs", newSmallJob(id)); code != 201 {
			w.t.Fatalf("the submission of %s got %d", id, code)
		}
		time.Sleep(30 * time.Millisecond)
	}
	w.submit("a", dependingOn(newSmallJob("job-900000"), needed...))
	w.submit("b", dependingOn(newSmallJob("job-900001"), "job-900000"))
	return needed
}

func TestJobWithManyDependenciesFitsSmallValueLimit(t *testing.T) {
	t.Parallel()
	// Guards against refusing a job that can run because the names of what it awaits do not
	// fit beside its description, and against one that is stored but can then neither be
	// started nor cancelled, by its user or by one that it needs.
	for name, play := range map[string]func(w *testCluster, needed []string){
		"it runs": func(w *testCluster, needed []string) {
			for _, id := range needed[1:] {
				w.completeJob(id)
			}
			w.consistently(8*time.Second, "it waits for the last of them", func() bool { return w.bothReport("job-900000", "pending") })
			w.completeJob(needed[0])
			w.eventually(15*time.Second, "it runs", func() bool { return w.allRunning("job-900000", 1) })
			w.completeJob("job-900000")
			w.eventually(15*time.Second, "what follows runs", func() bool { return w.allRunning("job-900001", 1) })
			w.completeJob("job-900001")
			w.eventually(15*time.Second, "all are done", func() bool { return w.bothReport("job-900000", "done") && w.bothReport("job-900001", "done") })
			// Their ends are looked up by a node that remembers none of them.
			w.nodes["b"].kill()
			w.startNode("b")
			w.eventually(10*time.Second, "it answers", func() bool { return w.status("b", needed[0]) == "done" })
			w.submit("b", dependingOn(newSmallJob("job-900002"), needed...))
			w.eventually(15*time.Second, "it starts at once", func() bool { return w.allRunning("job-900002", 1) })
		},
		"its user cancels it": func(w *testCluster, needed []string) {
			if how := w.cancelUntilAnswered("job-900000"); how != "cancelled" {
				w.t.Errorf("its cancellation is answered %q", how)
			}
			w.eventually(5*time.Second, "what follows is cancelled", func() bool { return w.bothReport("job-900001", "cancelled") })
			w.eventually(20*time.Second, "the ends are stored", func() bool { return w.store.CountKeys("job/wait/") == 0 })
			if !w.bothReport(needed[0], "running") {
				w.t.Error("what it awaited is touched")
			}
		},
		"one that it needs is cancelled": func(w *testCluster, needed []string) {
			w.cancelUntilAnswered(needed[149])
			w.eventually(5*time.Second, "it is cancelled, and what follows", func() bool {
				return w.bothReport("job-900000", "cancelled") && w.bothReport("job-900001", "cancelled")
			})
			w.eventually(20*time.Second, "the ends are stored", func() bool { return w.store.CountKeys("job/wait/") == 0 })
			if _, out := w.call("b", "GET", "/v2/runs/job-900001/explain", nil); !strings.Contains(fmt.Sprint(out["now"]), "cancelled with "+needed[149]) {
				w.t.Errorf("explained as %v", out)
			}
		},
	} {
		parallelScenario(t, name, func(t *testing.T, w *testCluster) {
			w.valueLimitKB = 2
			w.store.SetLimits(2048, 12)
			w.startNode("a")
			w.startNode("b")
			w.startWorker("m1", "north")
			w.startWorker("m2", "south")
			time.Sleep(10 * time.Second)
			needed := w.submitFanIn(newRandomSource(1), 150)
			w.eventually(20*time.Second, "they run", func() bool {
				for _, id := range needed {
					if !w.allRunning(id, 1) {
						return false
					}
				}
				return true
			})
			play(w, needed)
			if w.store.TooLarge > 0 {
				t.Errorf("%d transactions over the limits", w.store.TooLarge)
			}
		})
	}
}

func TestAllNodesReportConfirmedCancellation(t *testing.T) {
	t.Parallel()
	// Guards against a node that calls a job pending after the user was told, at another
	// one, that what it awaits is cancelled: jobs far down, and such as are submitted at
	// the same moment.
	for seed := range uint64(3) {
		parallelScenario(t, fmt.Sprint(seed), func(t *testing.T, w *testCluster) {
			d := newRandomSource(seed)
			w.startNode("a")
			w.startNode("b")
			w.startWorker("m1", "north")
			time.Sleep(10 * time.Second)
			w.setRandomLatency(d)
			for round := range 5 {
				first := fmt.Sprintf("job-%d00", round+1)
				w.requestUntilDecided(d, "POST", "/v2/runs", newJob(first, "array", 1))
				followers, last := []string{}, first
				for i := range 6 {
					id := fmt.Sprintf("job-%d%02d", round+1, i+1)
					if code, _ := w.requestUntilDecided(d, "POST", "/v2/runs", dependingOn(newJob(id, "array", 1), last)); code != 201 {
						t.Fatalf("a submission got %d", code)
					}
					followers, last = append(followers, id), id
				}
				time.Sleep(d.milliseconds(0, 3000)) // it may wait, start or run
				var wg sync.WaitGroup
				var mu sync.Mutex
				for i := range 10 {
					wg.Go(func() {
						time.Sleep(d.milliseconds(0, 40))
						id := fmt.Sprintf("job-%d%02d", round+1, 50+i)
						if code, _ := w.requestUntilDecided(d, "POST", "/v2/runs", dependingOn(newJob(id, "array", 1), []string{first, last}[i%2])); code == 201 || code == 200 {
							mu.Lock()
							followers = append(followers, id)
							mu.Unlock()
						} else {
							t.Errorf("a submission that races with the cancellation got %d", code)
						}
					})
				}
				time.Sleep(d.milliseconds(0, 30))
				if _, how := w.requestUntilDecided(d, "POST", "/v2/runs/"+first+"/cancel", nil); how != "cancelled" {
					t.Fatalf("the cancellation is answered %q", how)
				}
				mu.Lock()
				told := append([]string{}, followers...)
				mu.Unlock()
				w.requireCancelledAtAllNodes(told)
				wg.Wait()
				w.requireCancelledAtAllNodes(followers)
			}
		})
	}
}

// requireCancelledAtAllNodes asks all nodes at one moment whether these jobs are cancelled.
func (w *testCluster) requireCancelledAtAllNodes(jobs []string) {
	w.t.Helper()
	var wg sync.WaitGroup
	for _, id := range jobs {
		for _, n := range nodeNames {
			wg.Go(func() {
				if code, out := w.call(n, "GET", "/v2/runs/"+id, nil); code == 200 && out["status"] != "cancelled" {
					w.t.Errorf("%s calls %s %v", n, id, out["status"])
				}
			})
		}
	}
	wg.Wait()
}
