package scenarios

import (
	"bytes"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// faultCluster is a test cluster with what brings troubles about, and with users that ask.
type faultCluster struct {
	*testCluster
	mu         sync.Mutex
	jobs       []string            // accepted
	heartbeats map[string][][]byte // every report of a worker, by its name
}

// faultScenario is a scenario in which users ask about all jobs at all nodes all along.
func faultScenario(t *testing.T, run func(t *testing.T, c *faultCluster)) {
	scenario(t, func(t *testing.T, base *testCluster) {
		c := &faultCluster{testCluster: base, heartbeats: map[string][][]byte{}}
		base.inCloudList = true
		c.setFaults(nil)
		base.startNode("a")
		base.startNode("b")
		for _, node := range nodeNames {
			go func() {
				for base.ctx.Err() == nil {
					c.pollJobs(node)
					c.sleep(500 * time.Millisecond)
				}
			}()
		}
		run(t, c)
	})
}

// passTime lets time go by.
func (c *faultCluster) passTime(d time.Duration) {
	c.t.Helper()
	c.consistently(d, "", func() bool { return true })
}

// setFaults sets the network's rule, and records the workers' reports beside it.
func (c *faultCluster) setFaults(faults func(from, to string, r *http.Request, body []byte) fake.Outcome) {
	c.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
		if name, _, ok := strings.Cut(from, ":"); ok && r.URL.Path == "/agent/beat" && name != "late" {
			c.mu.Lock()
			c.heartbeats[name] = append(c.heartbeats[name], bytes.Clone(body))
			c.mu.Unlock()
		}
		if faults == nil {
			return fake.Deliver
		}
		return faults(from, to, r, body)
	})
}

// partition cuts machines off: how is unreachable by refusal, silence or holding back,
// deaf (only their reports arrive) or mute (only direct commands do).
func (c *faultCluster) partition(kind string, machines ...string) {
	c.setFaults(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
		for _, machine := range machines {
			outbound, inbound := strings.HasPrefix(from, machine+":"), strings.HasPrefix(to, machine+":")
			switch {
			case !outbound && !inbound:
			case kind == "refused" || kind == "mute" && outbound:
				return fake.Refuse
			case kind == "swallowed" || kind == "deaf" && inbound:
				return fake.Drop
			case kind == "held":
				return fake.HoldBack
			case kind == "deaf" && outbound:
				return fake.DropResponse
			}
		}
		return fake.Deliver
	})
}

// heal ends all troubles of the network; what was held back arrives.
func (c *faultCluster) heal() {
	c.setFaults(nil)
	c.network.ReleaseHeld()
}

// deliverToControllers delivers a copy of a report to every controller.
func (c *faultCluster) deliverToControllers(report []byte) {
	for _, node := range nodeNames {
		req, _ := http.NewRequestWithContext(c.ctx, "POST", "http://"+node+":8080/agent/beat", bytes.NewReader(report))
		if res, err := c.network.Client("late:1").Do(req); err == nil {
			_ = res.Body.Close() // of a response in memory
		}
	}
}

func (c *faultCluster) lastHeartbeat(worker string) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heartbeats[worker][len(c.heartbeats[worker])-1]
}

func (c *faultCluster) submitJob(node string, job jobSpec) {
	c.t.Helper()
	c.eventually(20*time.Second, "accepted", func() bool {
		code, _ := c.call(node, "POST", "/v2/runs", job)
		return code == 200 || code == 201
	})
	c.mu.Lock()
	c.jobs = append(c.jobs, job.id())
	c.mu.Unlock()
}

func (c *faultCluster) cancelJob(node, id string) {
	c.t.Helper()
	c.eventually(20*time.Second, "called off", func() bool {
		code, out := c.call(node, "POST", "/v2/runs/"+id+"/cancel", nil)
		return code == 200 && out["status"] == "cancelled"
	})
}

// pollJobs is users asking one node for all jobs.
func (c *faultCluster) pollJobs(node string) {
	c.mu.Lock()
	jobs := slices.Clone(c.jobs)
	c.mu.Unlock()
	for _, id := range jobs {
		c.call(node, "GET", "/v2/runs/"+id, nil)
	}
}

// completeTask completes a task where it is.
func (c *faultCluster) completeTask(task string) bool {
	for _, worker := range c.workers {
		if worker.EndTask(task, "done") {
			return true
		}
	}
	return false
}

// completeJobs completes all that runs until the jobs are done.
func (c *faultCluster) completeJobs(jobs ...string) {
	c.t.Helper()
	for _, id := range jobs {
		c.eventually(120*time.Second, id+" is done", func() bool {
			for _, worker := range c.workers {
				for _, task := range worker.ActiveTasks() {
					c.completeTask(task)
				}
			}
			return c.status("a", id) == "done" && c.status("b", id) == "done"
		})
	}
}

// awaitLeader waits until a node leads, and names it.
func (c *faultCluster) awaitLeader() *testNode {
	c.t.Helper()
	c.awaitAnyLeader(20 * time.Second)
	return c.leader()
}

// restartLeader kills the leader and starts its node anew after a while.
func (c *faultCluster) restartLeader(downtime time.Duration) {
	c.t.Helper()
	leader := c.awaitLeader()
	leader.kill()
	c.passTime(downtime)
	c.startNode(leader.name)
}
