package rehearsal

import (
	"context"
	"net/http"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// runningWorker is a fake worker with its HTTP server.
type runningWorker struct {
	*fake.Worker
	server *http.Server
	// stop stops the worker's heartbeats.
	stop context.CancelFunc
}

// startWorker starts the fake worker of a machine, which sends heartbeats to the controllers from then on.
func (c *localCluster) startWorker(name, zone string) (endpoint string, err error) {
	listener, err := listenOnLoopback()
	if err != nil {
		return "", err
	}
	endpoint = listener.Addr().String()
	worker := &fake.Worker{Name: name, Address: endpoint, Type: "standard", Zone: zone, Network: c.network, HTTP: c.http,
		HeartbeatInterval: heartbeatInterval, LeaseDuration: workerLease}
	worker.NotifyEvents(c.recordTaskEvent)
	for _, controller := range c.controllers {
		worker.Controllers = append(worker.Controllers, controller.clientAddress)
		worker.ControllerNames = append(worker.ControllerNames, controller.name)
	}
	ctx, stop := context.WithCancel(c.ctx)
	server := &http.Server{Handler: c.copies.wrap(worker), ReadHeaderTimeout: headerTimeout}
	c.mu.Lock()
	c.workers[name] = &runningWorker{Worker: worker, server: server, stop: stop}
	c.mu.Unlock()
	go worker.Run(ctx)
	go func() { _ = server.Serve(listener) }() // returns an error whenever the server is closed
	return endpoint, nil
}

// stopWorker stops the fake worker of a machine and all tasks on it.
func (c *localCluster) stopWorker(name string) {
	c.mu.Lock()
	worker := c.workers[name]
	delete(c.workers, name)
	c.mu.Unlock()
	if worker == nil {
		return
	}
	worker.stop()
	_ = worker.server.Close() // the only error is that of closing the listener, which has no consequence here
	worker.Terminate()
}

// recordTaskEvent records a start or end of a task on a worker. When a task starts, it schedules the
// task's end after the task's duration. It is called while the worker's lock is held.
func (c *localCluster) recordTaskEvent(event fake.Event) {
	job := jobOfTask(event.Task)
	c.mu.Lock()
	spec := c.taskSpecs[job]
	c.mu.Unlock()
	kind := TaskEnded
	if event.Start {
		kind = TaskStarted
		if spec.duration > 0 {
			time.AfterFunc(spec.duration, func() { event.Worker.EndTask(event.Task, causeDone) })
		}
	}
	c.record(Event{Kind: kind, Team: spec.team, Job: job, Task: event.Task, Where: event.Worker.Name, Why: event.Cause,
		Cores: spec.cores, Accelerators: spec.accelerators})
}
