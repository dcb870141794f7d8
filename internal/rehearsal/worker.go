package rehearsal

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// startWorker boots a machine: its worker reports to the controllers from then on.
func (c *Cluster) startWorker(name, zone string) (endpoint string, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	endpoint = listener.Addr().String()
	worker := &fake.Worker{Name: name, Addr: endpoint, Type: "standard", Zone: zone, Net: c.network, HTTP: c.http,
		Report: reportEvery, Lease: workerLease}
	worker.NotifyEvents(c.watch)
	for _, controller := range c.controllers {
		worker.Nodes = append(worker.Nodes, controller.users)
		worker.Names = append(worker.Names, controller.Name)
	}
	life, stop := context.WithCancel(c.life)
	server := &http.Server{Handler: worker, ReadHeaderTimeout: 10 * time.Second}
	c.mu.Lock()
	c.workers[name] = &runningWorker{Worker: worker, server: server, stop: stop}
	c.mu.Unlock()
	go worker.Run(life)
	go server.Serve(listener) // ends with Close
	return endpoint, nil
}

// stopWorker takes a machine away with everything on it.
func (c *Cluster) stopWorker(name string) {
	c.mu.Lock()
	worker := c.workers[name]
	delete(c.workers, name)
	c.mu.Unlock()
	if worker == nil {
		return
	}
	worker.stop()
	worker.server.Close() // nothing is lost
	worker.TakeAway()
}

// watch records what a worker does, and has tasks end by themselves once they have run. It is
// called under the worker's lock.
func (c *Cluster) watch(e fake.Event) {
	job, _, _ := strings.Cut(e.Task, "/")
	c.mu.Lock()
	plan := c.tasks[job]
	c.mu.Unlock()
	kind := TaskEnded
	if e.Start {
		kind = TaskStarted
		if plan.runs > 0 {
			time.AfterFunc(plan.runs, func() { e.Worker.End(e.Task, "done") })
		}
	}
	c.note(Event{Kind: kind, Team: plan.team, Job: job, Task: e.Task, Where: e.Worker.Name, Why: e.Cause,
		Cores: plan.cores, Accelerators: plan.accelerators})
}
