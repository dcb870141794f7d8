package scenarios

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

func TestTwoConcurrentRandomFaultsBreakNoRule(t *testing.T) {
	t.Parallel()
	// Guards against rules that hold in each trouble alone: machines hang, are mute or
	// deaf or have their reports copied, the state service refuses the leader, is slow or
	// out for all, loses answers or carries transactions out late, the leader ends, or is
	// cut from the state service and the other controller, two of these at a time, for up to beyond
	// a lease. Some jobs await others. Once all is over, every job comes to its end.
	for seed := range uint64(4) {
		parallelScenario(t, fmt.Sprint(seed), func(t *testing.T, w *testCluster) {
			d := newRandomSource(seed)
			w.inCloudList = true
			w.startNode("a")
			w.startNode("b")
			machines := []string{"m1", "m2", "m3", "m4"}
			for i, m := range machines {
				w.startWorker(m, []string{"north", "south"}[i%2])
			}
			time.Sleep(10 * time.Second)
			w.setRandomLatency(d)
			w.network.SetDelay(func() time.Duration { return d.milliseconds(2000, 12000) })
			w.submit("a", newJob("job-90", "array", 1))
			w.submit("b", dependingOn(newJob("job-91", "array", 1), "job-90"))
			var mu sync.Mutex
			rules := map[int]fake.Rule{}
			w.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
				mu.Lock()
				defer mu.Unlock()
				for i := range 2 {
					if rules[i] != nil {
						if f := rules[i](from, to, r, body); f != fake.Deliver {
							return f
						}
					}
				}
				return fake.Deliver
			})
			set := func(i int, r fake.Rule) {
				mu.Lock()
				defer mu.Unlock()
				rules[i] = r
			}
			trouble := func(i int) {
				m, how, spell := machines[d.intn(4)], d.intn(11), d.milliseconds(2000, 28000)
				switch how {
				case 0:
					w.workerNamed(m).SetHung(true)
					time.Sleep(spell)
					w.workerNamed(m).SetHung(false)
				case 1, 2, 3:
					set(i, []fake.Rule{fake.PartitionOutbound(m), fake.PartitionInbound(m), fake.DuplicateHeartbeats(m)}[how-1])
					time.Sleep(spell)
					set(i, nil)
					time.Sleep(d.milliseconds(0, 3000))
					w.network.ReleaseHeld()
				case 4:
					if o := w.leader(); o != nil {
						w.store.RefuseCaller(o.name, true)
						time.Sleep(spell)
						w.store.RefuseCaller(o.name, false)
					}
				case 5:
					w.store.SetLatency(d.milliseconds(50, 800))
					time.Sleep(spell)
					w.store.SetLatency(0)
				case 6:
					w.mu.Lock()
					n := w.nodes[d.node()]
					w.mu.Unlock()
					if n != nil {
						n.kill()
						time.Sleep(d.milliseconds(100, 8000))
						w.startNode(n.name)
					}
				case 7:
					w.store.SetDown(true)
					time.Sleep(spell)
					w.store.SetDown(false)
				case 8, 9:
					fate := []fake.Outcome{fake.DropResponse, fake.Delay}[how-8]
					set(i, func(_, _ string, r *http.Request, body []byte) fake.Outcome {
						if r.URL.Path == "/commit" && d.intn(4) == 0 {
							return fate
						}
						return fake.Deliver
					})
					time.Sleep(spell)
					set(i, nil)
				case 10:
					if o := w.leader(); o != nil {
						set(i, func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
							if isBetween(from, to, "a", "b") || isBetween(from, to, o.name, "state") {
								return fake.Drop
							}
							return fake.Deliver
						})
						time.Sleep(spell)
						set(i, nil)
					}
				}
			}
			over := make(chan struct{})
			var users, troubles, ends sync.WaitGroup
			ends.Go(func() { w.completeTasksUntil(over, d, 1000, 15000) })
			for i := range 2 {
				troubles.Go(func() {
					for range 6 {
						time.Sleep(d.milliseconds(0, 5000))
						trouble(i)
					}
				})
			}
			var ids []string
			var specs []map[string]any
			for i := range 40 {
				id := fmt.Sprintf("job-%d", i+1)
				ids = append(ids, id)
				s := newJob(id, []string{"array", "array", "standing"}[i%3], 1+d.intn(3))
				s["spread"], s["together"] = i%4 == 1, i%4 == 2
				if i%5 == 0 {
					s["yard"] = "north"
				}
				if i%7 < 2 {
					dependingOn(s, []string{"job-90", "job-91"}[i%7])
				}
				specs = append(specs, s)
				users.Go(func() {
					time.Sleep(time.Duration(i) * d.milliseconds(1000, 2500))
					w.requestUntilDecided(d, "POST", "/v2/runs", s)
					if i%3 == 2 || d.intn(3) == 0 {
						time.Sleep(d.milliseconds(0, 20000))
						for code := 0; code != 200 && code != 404; {
							code, _ = w.requestUntilDecided(d, "POST", "/v2/runs/"+id+"/cancel", nil)
						}
					}
					w.askAllNodes(d, s)
				})
			}
			troubles.Wait()
			users.Wait()
			// Whoever got no answer for a minute asks once more.
			for i, id := range ids {
				if i%3 == 2 {
					w.requestUntilDecided(d, "POST", "/v2/runs/"+id+"/cancel", nil)
				} else if code, _ := w.requestUntilDecided(d, "POST", "/v2/runs", specs[i]); code != 200 && code != 201 {
					t.Errorf("a submission of %s got %d", id, code)
				}
			}
			for i, id := range ids {
				if i%3 != 2 {
					w.awaitAgreement(90*time.Second, id)
				} else if code, _ := w.call("a", "GET", "/v2/runs/"+id, nil); code == 200 {
					w.awaitAgreement(90*time.Second, id)
				}
			}
			w.awaitAgreement(90*time.Second, "job-90", "job-91")
			w.consistently(45*time.Second, "", func() bool { return true })
			close(over)
			ends.Wait()
		})
	}
}
