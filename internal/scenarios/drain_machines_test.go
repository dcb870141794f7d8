package scenarios

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// neverBoots is the boot time of a machine that never boots.
const neverBoots time.Duration = -1

// provision makes the cloud provision machines that no controller requested.
func (c *drainCluster) provision(request, zone string, count int) {
	body := fmt.Sprintf(`{"hire":%q,"build":"small","yard":%q,"loaners":false,"count":%d}`, request, zone, count)
	res, err := c.network.Client("test").Post("http://cloud:1/hosts", "application/json", strings.NewReader(body))
	if err != nil || res.StatusCode != 200 {
		c.t.Fatal(res, err)
	}
}

// bootMachines boots the machines that the cloud has provisioned, until the scenario ends.
func (c *drainCluster) bootMachines() {
	for c.ctx.Err() == nil {
		for _, host := range c.cloud.Machines() {
			if c.seenMachines[host.Name] {
				continue
			}
			c.seenMachines[host.Name] = true
			if boot := c.bootTime(host.Name); boot != neverBoots {
				go func() {
					c.sleep(boot)
					c.startMachine(host.Name, host.Zone)
				}()
			}
		}
		select {
		case <-c.ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// startMachine starts the worker of a machine, unless the cloud has deleted the machine.
func (c *drainCluster) startMachine(name, zone string) {
	worker := &fake.Worker{Name: name, Address: name + ":9000", Type: "small", Zone: zone, Network: c.network, Controllers: apiAddresses(fiveNodeNames), ControllerNames: fiveNodeNames,
		HeartbeatInterval: heartbeatInterval, LeaseDuration: leaseDuration}
	worker.NotifyEvents(func(event fake.Event) {
		c.disruption.Event(event)
		c.notifyListener(event)
	})
	ctx, cancel := context.WithCancel(c.ctx)
	deleted := slices.Contains(c.cloud.DeletedMachines(), name)
	c.mu.Lock()
	defer c.mu.Unlock()
	if deleted {
		cancel()
		return
	}
	c.workers = append(c.workers, worker)
	c.stopMachine[name] = cancel
	go worker.Run(ctx)
}

// notifyListener passes an event to the scenario's listener, if it has one.
func (c *drainCluster) notifyListener(event fake.Event) {
	c.listenerMu.Lock()
	defer c.listenerMu.Unlock()
	if c.listener != nil {
		c.listener(event)
	}
}

// terminateMachine ends a machine, if it runs, together with all its tasks.
func (c *drainCluster) terminateMachine(name string) {
	c.mu.Lock()
	cancel := c.stopMachine[name]
	delete(c.stopMachine, name)
	c.mu.Unlock()
	if cancel == nil {
		return
	}
	cancel()
	c.network.Listen(name+":9000", nil)
	c.workerNamed(name).Terminate()
}

// machinesIn returns the names of the running machines of a zone, sorted.
func (c *drainCluster) machinesIn(zone string) (names []ids.Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, worker := range c.workers {
		if _, runs := c.stopMachine[worker.Name]; runs && worker.Zone == zone {
			names = append(names, ids.Machine(worker.Name))
		}
	}
	slices.Sort(names)
	return names
}

// cordonedCount returns the number of machines that the leader has cordoned, or -1 without a leader.
func (c *drainCluster) cordonedCount() int {
	leader := c.leader()
	if leader == nil {
		return -1
	}
	return leader.elector.Cluster().Summary()["cordoned"].(int)
}

// runningCount returns the number of tasks of a job that run on machines.
func (c *drainCluster) runningCount(id string) (n int) {
	for _, worker := range c.listWorkers() {
		for _, task := range worker.ActiveTasks() {
			if strings.HasPrefix(task, id+"/") {
				n++
			}
		}
	}
	return n
}

// awaitTaskCount waits until the given number of tasks of a job run on machines.
func (c *drainCluster) awaitTaskCount(timeout time.Duration, job string, tasks int) {
	c.t.Helper()
	c.eventually(timeout, fmt.Sprintf("%d tasks of %s run", tasks, job), func() bool { return c.runningCount(job) == tasks })
}

// awaitNoneCordoned waits until there is a leader that has no machine cordoned.
func (c *drainCluster) awaitNoneCordoned(timeout time.Duration) {
	c.t.Helper()
	c.eventually(timeout, "no machine is cordoned", func() bool { return c.cordonedCount() == 0 })
}
