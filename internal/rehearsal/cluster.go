package rehearsal

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// Intervals of the fake workers, shorter than in production so that a run takes minutes.
const (
	heartbeatInterval = time.Second
	workerLease       = 8 * time.Second
	cancelWithin      = 20 * time.Second
)

// Calls of the users, the operator and the fake workers.
const (
	callTimeout       = 5 * time.Second
	headerTimeout     = 10 * time.Second
	idleConnections   = 64
	readinessInterval = 100 * time.Millisecond
)

// localCluster is controller processes and the fakes around them, all on loopback.
//
// Locks are taken in the order of the fake cloud's, a fake worker's or the fake store's, mu: the
// fakes report events under their own locks. Nothing is called under mu.
type localCluster struct {
	store *fake.Store

	folder  string
	program string
	// features is the file of features, operators that of operators' settings; empty: none.
	features, operators string
	// onChange is told of each change of the state service, under its lock; nil: nobody is.
	onChange func(key string, value json.RawMessage)
	teams    []Team
	started  time.Time
	network  *fake.Network // keeps the results of tasks
	cloud    *fakeCloud
	http     *http.Client
	// ctx ends the fake workers.
	ctx    context.Context
	cancel context.CancelFunc
	// deadline is when users stop to retry at the latest; zero: nothing ends their retries early.
	deadline    time.Time
	controllers []*controllerProcess

	// mu guards the fields below.
	mu      sync.Mutex
	servers []*http.Server
	workers map[string]*runningWorker // by machine
	events  []Event
	plans   map[string]taskPlan // by job
}

// taskPlan is what is known of each task of a job.
type taskPlan struct {
	team                string
	cores, accelerators float64
	duration            time.Duration // 0: until it is stopped
}

// clusterOptions describe a cluster.
type clusterOptions struct {
	Folder      string // for settings and logs
	Program     string // the controllers' program
	Teams       []Team
	Controllers int
	Machines    int // that the cloud has
	// Accelerators are those of each machine.
	Accelerators int
	// Features and Operators are the contents of the files of features and of operators'
	// settings; empty: there is none.
	Features, Operators string
	// OnChange is told of each change of the state service, under its lock; nil: nobody is.
	OnChange func(key string, value json.RawMessage)
}

// newLocalCluster starts the fakes and writes the controllers' files; controllers are started one
// by one.
func newLocalCluster(options clusterOptions) (*localCluster, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &localCluster{
		store:    fake.NewStore(),
		folder:   options.Folder,
		program:  options.Program,
		onChange: options.OnChange,
		teams:    options.Teams,
		started:  time.Now(),
		network:  fake.NewNetwork(),
		cloud:    newFakeCloud(options.Machines, options.Accelerators),
		http:     &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}},
		ctx:      ctx,
		cancel:   cancel,
		workers:  map[string]*runningWorker{},
		plans:    map[string]taskPlan{},
	}
	c.cloud.boot, c.cloud.stop = c.startWorker, c.stopWorker
	c.store.NotifyChanges(c.observeChange)
	if err := c.prepare(options); err != nil {
		return nil, errors.Join(err, c.close())
	}
	return c, nil
}

// prepare serves the fakes and writes the controllers' files.
func (c *localCluster) prepare(options clusterOptions) error {
	state, err := c.serve(c.store)
	if err != nil {
		return err
	}
	cloud, err := c.serve(c.cloud)
	if err != nil {
		return err
	}
	if err := c.prepareControllers(options.Controllers, state, cloud); err != nil {
		return err
	}
	if c.features, err = c.writeSharedFile("features.textproto", options.Features); err != nil {
		return err
	}
	c.operators, err = c.writeSharedFile("operators.textproto", options.Operators)
	return err
}

// serve puts a fake on a loopback port until the cluster is closed.
func (c *localCluster) serve(handler http.Handler) (address string, err error) {
	listener, err := listenOnLoopback()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	c.mu.Lock()
	c.servers = append(c.servers, server)
	c.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // returns an error whenever the server is closed
	return listener.Addr().String(), nil
}

// listenOnLoopback opens a listener on a free loopback port.
func listenOnLoopback() (net.Listener, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	return listener, nil
}

// observeChange takes in a change of the state service.
func (c *localCluster) observeChange(key string, value json.RawMessage) {
	c.recordLedger(key, value)
	if c.onChange != nil {
		c.onChange(key, value)
	}
}

// record adds an event to the record.
func (c *localCluster) record(event Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	event.At = time.Since(c.started)
	c.events = append(c.events, event)
}

// recorded is the record so far.
func (c *localCluster) recorded() []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Event(nil), c.events...)
}

// close ends everything that the cluster started.
func (c *localCluster) close() error {
	for _, controller := range c.controllers {
		controller.resume()
		controller.kill()
	}
	c.cancel()
	c.mu.Lock()
	servers := c.servers
	for _, worker := range c.workers {
		servers = append(servers, worker.server)
	}
	c.mu.Unlock()
	var errs []error
	for _, server := range servers {
		errs = append(errs, server.Close())
	}
	return errors.Join(errs...)
}

// errDeadlineExceeded tells that a run took longer than it may.
var errDeadlineExceeded = errors.New("the time of the run was up")

// startAll starts all controllers and waits until each is ready.
func (c *localCluster) startAll(deadline time.Time) error {
	for _, controller := range c.controllers {
		if err := c.start(controller); err != nil {
			return err
		}
	}
	for _, controller := range c.controllers {
		for !c.ready(controller) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s is not ready", errDeadlineExceeded, controller.name)
			}
			time.Sleep(readinessInterval)
		}
	}
	return nil
}

// ready asks a controller whether users may be sent there.
func (c *localCluster) ready(controller *controllerProcess) bool {
	response, err := c.http.Get("http://" + controller.usersAddress + "/up")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // nothing was read
	return response.StatusCode == http.StatusOK
}

// pollInterval spaces the looks at what a run waits for.
const pollInterval = 200 * time.Millisecond

// waitUntil waits for a condition, at most until the run's deadline.
func waitUntil(deadline time.Time, what string, reached func() bool) error {
	for !reached() {
		if time.Now().After(deadline) {
			return fmt.Errorf("%w before %s", errDeadlineExceeded, what)
		}
		time.Sleep(pollInterval)
	}
	return nil
}
