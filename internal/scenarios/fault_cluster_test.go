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

// faultCluster is a testCluster with network faults and a copy of each heartbeat. Its users poll the
// status of all accepted jobs at both nodes twice a second.
type faultCluster struct {
	*testCluster
	mu         sync.Mutex
	jobs       []string            // accepted ones, whose status users poll
	heartbeats map[string][][]byte // bodies of all heartbeats, by worker
}

// faultScenario runs a scenario in a faultCluster whose controllers have just started.
func faultScenario(t *testing.T, run func(t *testing.T, c *faultCluster)) {
	scenario(t, func(t *testing.T, base *testCluster) {
		c := &faultCluster{testCluster: base, heartbeats: map[string][][]byte{}}
		base.cloudListsMachines = true
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

// setFaults sets the network's fault rule, nil for none, and keeps recording the workers'
// heartbeats. Heartbeats delivered by deliverToControllers are not recorded.
func (c *faultCluster) setFaults(faults func(from, to string, r *http.Request, body []byte) fake.Outcome) {
	c.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
		if name, _, ok := strings.Cut(from, ":"); ok && isHeartbeat(r) && name != "late" {
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

// partitionKind is a way in which machines are partitioned from the controllers.
type partitionKind string

// The kinds of partition.
const (
	noPartition       partitionKind = ""                    // none
	connectionRefused partitionKind = "connections refused" // in both directions
	packetsDropped    partitionKind = "packets dropped"     // in both directions
	requestsHeldBack  partitionKind = "requests held back"  // in both directions, until heal is called
	inboundLost       partitionKind = "inbound lost"        // heartbeats arrive; responses and commands don't
	outboundRefused   partitionKind = "outbound refused"    // commands arrive; heartbeats don't
	machinesHang      partitionKind = "machines hang"       // no network fault: the machines hang instead
)

// partition partitions machines from the controllers until heal is called.
func (c *faultCluster) partition(kind partitionKind, machines ...string) {
	c.setFaults(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
		for _, machine := range machines {
			outbound, inbound := strings.HasPrefix(from, machine+":"), strings.HasPrefix(to, machine+":")
			if outbound || inbound {
				return kind.outcome(outbound)
			}
		}
		return fake.Deliver
	})
}

// outcome returns the outcome of a request that a partitioned machine sends (outbound) or receives.
func (k partitionKind) outcome(outbound bool) fake.Outcome {
	switch {
	case k == connectionRefused, k == outboundRefused && outbound:
		return fake.Refuse
	case k == packetsDropped, k == inboundLost && !outbound:
		return fake.Drop
	case k == requestsHeldBack:
		return fake.HoldBack
	case k == inboundLost:
		return fake.DropResponse
	}
	return fake.Deliver
}

// heal ends all network faults and delivers the requests that were held back.
func (c *faultCluster) heal() {
	c.setFaults(nil)
	c.network.ReleaseHeld()
}

// deliverToControllers delivers a copy of a heartbeat to every controller.
func (c *faultCluster) deliverToControllers(heartbeat []byte) {
	for _, node := range nodeNames {
		req, _ := http.NewRequestWithContext(c.ctx, "POST", "http://"+apiAddress(node)+"/agent/beat", bytes.NewReader(heartbeat))
		if res, err := c.network.Client("late:1").Do(req); err == nil {
			_ = res.Body.Close() // the response is in memory: Close can't fail
		}
	}
}

// lastHeartbeat returns the body of the latest heartbeat of a worker.
func (c *faultCluster) lastHeartbeat(worker string) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heartbeats[worker][len(c.heartbeats[worker])-1]
}

// submitJob submits a job at a node until the job is accepted. Users poll its status from then on.
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

// cancelJob cancels a job at a node until the node confirms.
func (c *faultCluster) cancelJob(node, id string) {
	c.t.Helper()
	c.eventually(20*time.Second, "cancellation confirmed", func() bool {
		code, out := c.call(node, "POST", "/v2/runs/"+id+"/cancel", nil)
		return code == 200 && out["status"] == "cancelled"
	})
}

// pollJobs asks a node for the status of every accepted job.
func (c *faultCluster) pollJobs(node string) {
	c.mu.Lock()
	jobs := slices.Clone(c.jobs)
	c.mu.Unlock()
	for _, id := range jobs {
		c.call(node, "GET", "/v2/runs/"+id, nil)
	}
}

// completeTask completes a task on the machine on which it runs, and reports whether it ran on any.
func (c *faultCluster) completeTask(task string) bool {
	for _, worker := range c.workers {
		if worker.EndTask(task, "done") {
			return true
		}
	}
	return false
}

// completeJobs completes all running tasks until both nodes report the jobs as done.
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

// awaitLeader waits until some node leads, and returns that node.
func (c *faultCluster) awaitLeader() *testNode {
	c.t.Helper()
	c.awaitAnyLeader(20 * time.Second)
	return c.leader()
}

// restartLeader kills the leader and starts its node again after the downtime.
func (c *faultCluster) restartLeader(downtime time.Duration) {
	c.t.Helper()
	leader := c.awaitLeader()
	leader.kill()
	c.passTime(downtime)
	c.startNode(leader.name)
}
