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

// Intervals of the fake workers. They are shorter than in production so that a run takes minutes.
const (
	heartbeatInterval = time.Second
	workerLease       = 8 * time.Second
	cancelWithin      = 20 * time.Second
)

// Parameters of the HTTP calls by users, the operator and the fake workers.
const (
	callTimeout       = 5 * time.Second
	headerTimeout     = 10 * time.Second
	idleConnections   = 64
	readinessInterval = 100 * time.Millisecond
)

// localCluster is a set of controller processes and the fakes that they call, all on loopback.
//
// Lock order: the fake cloud's lock, then a fake worker's or the fake store's lock, then mu, because
// the fakes report events while they hold their own locks. No fake is called while mu is held.
type localCluster struct {
	store *fake.Store

	folder  string
	program string
	// features and operators are the paths of the features file and the operators' settings file;
	// empty if there is no such file.
	features, operators string
	// onChange is called for each change of the state service, under the store's lock; may be nil.
	onChange func(key string, value json.RawMessage)
	teams    []Team
	started  time.Time
	network  *fake.Network // stores which tasks have completed
	cloud    *fakeCloud
	http     *http.Client
	copies   *copyFault
	// ctx is the context of the fake workers.
	ctx    context.Context
	cancel context.CancelFunc
	// deadline is the latest time at which users retry submissions; zero means no such limit.
	deadline    time.Time
	controllers []*controllerProcess

	// mu guards the fields below.
	mu        sync.Mutex
	servers   []*http.Server
	workers   map[string]*runningWorker // by machine
	events    []Event
	taskSpecs map[string]taskSpec // by job
}

// taskSpec describes each task of a job.
type taskSpec struct {
	team                string
	cores, accelerators float64
	duration            time.Duration // 0 means until it is stopped
}

// clusterOptions configures a localCluster.
type clusterOptions struct {
	Folder      string // receives settings and logs
	Program     string // path of the controller executable
	Teams       []Team
	Controllers int
	Machines    int // capacity of the cloud
	// Accelerators is the number of accelerators of each machine.
	Accelerators int
	// Features and Operators are the contents of the features file and of the operators' settings
	// file; an empty one is not written.
	Features, Operators string
	// LateCopies is the share of direct commands of which a copy arrives later, and Seed decides which.
	LateCopies float64
	Seed       uint64
	// OnChange is called for each change of the state service, under the store's lock; may be nil.
	OnChange func(key string, value json.RawMessage)
}

// newLocalCluster starts the fakes and writes the controllers' files. It starts no controller.
func newLocalCluster(options clusterOptions) (*localCluster, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &localCluster{
		store:     fake.NewStore(),
		folder:    options.Folder,
		program:   options.Program,
		onChange:  options.OnChange,
		teams:     options.Teams,
		started:   time.Now(),
		network:   fake.NewNetwork(),
		cloud:     newFakeCloud(options.Machines, options.Accelerators),
		http:      &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}},
		copies:    newCopyFault(options.LateCopies, options.Seed),
		ctx:       ctx,
		cancel:    cancel,
		workers:   map[string]*runningWorker{},
		taskSpecs: map[string]taskSpec{},
	}
	c.cloud.boot, c.cloud.stop = c.startWorker, c.stopWorker
	c.store.NotifyChanges(c.observeChange)
	if err := c.setUp(options); err != nil {
		return nil, errors.Join(err, c.close())
	}
	return c, nil
}

// setUp starts the servers of the fakes and writes the controllers' files.
func (c *localCluster) setUp(options clusterOptions) error {
	state, err := c.serveOnLoopback(c.store)
	if err != nil {
		return err
	}
	cloud, err := c.serveOnLoopback(c.cloud)
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

// serveOnLoopback serves a fake on a loopback port until the cluster is closed.
func (c *localCluster) serveOnLoopback(handler http.Handler) (address string, err error) {
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
		return nil, fmt.Errorf("listen on a loopback port: %w", err)
	}
	return listener, nil
}

// observeChange handles a change of the state service.
func (c *localCluster) observeChange(key string, value json.RawMessage) {
	c.recordLedgerChange(key, value)
	if c.onChange != nil {
		c.onChange(key, value)
	}
}

// record adds an event to the record, with the current time.
func (c *localCluster) record(event Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	event.At = time.Since(c.started)
	c.events = append(c.events, event)
}

// recordedEvents returns a copy of the events recorded so far.
func (c *localCluster) recordedEvents() []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Event(nil), c.events...)
}

// close kills all controller processes and stops the fakes.
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

// errDeadlineExceeded means that a run exceeded its maximum duration.
var errDeadlineExceeded = errors.New("run deadline exceeded")

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
				return fmt.Errorf("%w: controller %s is not ready", errDeadlineExceeded, controller.name)
			}
			time.Sleep(readinessInterval)
		}
	}
	return nil
}

// ready reports whether a controller is ready to receive requests from users.
func (c *localCluster) ready(controller *controllerProcess) bool {
	response, err := c.http.Get("http://" + controller.clientAddress + "/up")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // nothing was read
	return response.StatusCode == http.StatusOK
}

// pollInterval is the interval at which waitUntil checks its condition.
const pollInterval = 200 * time.Millisecond

// waitUntil waits until a condition holds or the run's deadline has passed.
func waitUntil(deadline time.Time, condition string, reached func() bool) error {
	for !reached() {
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: condition not reached: %s", errDeadlineExceeded, condition)
		}
		time.Sleep(pollInterval)
	}
	return nil
}
