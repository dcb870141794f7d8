package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/election"
	"github.com/pebbletrail/pebbletrail/internal/fleet"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/intake"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/peer"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// Maximum number of connections per host. For the services it is also the maximum of idle connections.
const (
	stateConnections      = 16
	cloudConnections      = 4
	shardCloudConnections = 2 // from the leader of one of several shards to the cloud
	machineConnections    = 2
)

// Intervals and timeouts of the controller's components.
const (
	machineCommandTimeout = 3 * time.Second
	rolloutPollInterval   = 200 * time.Millisecond
	measureLogInterval    = time.Minute
	minListInterval       = 2 * time.Second
	minIdleTimeout        = 20 * time.Second
	// idleGrace is the time after three missed heartbeats at which a connection counts as idle.
	idleGrace = 5 * time.Second
)

// controller holds the components of one controller. Their goroutines run until the process ends.
type controller struct {
	settings    *config.Settings
	incarnation string
	state       *state.Client
	cloud       *fleet.Cloud
	shards      *election.Shards
	link        *peer.Link
	types       *machineTypes
	// rollouts caches the stored rollouts; nil if drains are disabled.
	rollouts *state.WatchCache
}

// newController creates and connects the components of a controller without starting them.
func newController(settings *config.Settings, incarnation string) *controller {
	nodes := len(settings.Peers) + 1
	c := &controller{settings: settings, incarnation: incarnation}
	c.state = state.NewClient(settings.Services.State, newHTTPClient(stateConnections, stateConnections),
		state.NewBudget(settings.Params.State.RPS, settings.Params.State.WriteRPS, nodes, settings.Operator.OwnerShare))
	c.state.Budget().SetShardCount(settings.ShardCount())
	c.cloud = c.newCloudClient(cloudConnections)
	commander := &worker.Commander{HTTP: newHTTPClient(machineConnections, settings.Sockets().ToMachines/2), Timeout: machineCommandTimeout}
	c.shards = election.NewShards(settings, c.state, commander, incarnation)
	c.shards.OnStoreUnusable = exitOnRefusal
	c.link = peer.NewLink(settings, c.shards, c.state)
	c.types = &machineTypes{cloud: c.cloud, shards: c.shards}
	for i, elector := range c.shards.Electors() {
		shard := ids.Shard(i)
		elector.Peers = c.link.ForShard(shard)
		elector.OnTerm = func(ctx context.Context, term *election.Term) { c.provision(ctx, elector, shard, term) }
	}
	if settings.DrainsEnabled() {
		c.rollouts = state.NewWatchCache(c.state, rollout.Prefix, rolloutPollInterval)
	}
	return c
}

// newCloudClient returns a client of the cloud service. Its rate limit is the cloud's limit divided by the
// number of shards.
func (c *controller) newCloudClient(connections int) *fleet.Cloud {
	callRate := c.settings.Params.Cloud.RPS / float64(c.settings.ShardCount())
	return fleet.NewCloud(c.settings.Services.Cloud, newHTTPClient(connections, connections), callRate)
}

// exitOnRefusal prints the error and ends the process, because this controller must not join the cluster
// with the shard layout or the data that the store holds.
func exitOnRefusal(err error) {
	fmt.Fprintln(os.Stderr, "pebbletrail: "+strings.ReplaceAll(err.Error(), "\n", "; "))
	os.Exit(1)
}

// run starts the components and serves until the users' listener is closed.
func (c *controller) run(ctx context.Context, users, cluster net.Listener) error {
	go c.link.Serve(cluster)
	c.link.Run(ctx)
	go c.types.run(ctx)
	go c.state.ProbeHealth(ctx, record.KeysOf(0, c.settings.ShardCount()).Generation())
	go logMeasurements(ctx)
	go c.shards.Run(ctx)
	var operatorRoutes func(*echo.Echo)
	if c.rollouts != nil {
		go c.rollouts.Run(ctx)
		operatorRoutes = c.drainService().Routes
	}
	return c.apiServer(operatorRoutes).Serve(users, c.connectionLimiter())
}

// logMeasurements logs the latencies and counts of this process at intervals until the context is done.
func logMeasurements(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(measureLogInterval)
		measure.Default.Log()
	}
}

// apiServer returns the HTTP server for users and workers. It also serves operatorRoutes if that is not
// nil.
func (c *controller) apiServer(operatorRoutes func(*echo.Echo)) *intake.Server {
	return &intake.Server{
		OperatorRoutes: operatorRoutes,
		Version:        version,
		Jobs: &intake.JobService{Settings: c.settings, Store: c.state, RecordCache: c.shards.Jobs(), LeaderNotifier: c.link, Writer: c.incarnation,
			MachineTypes: c.types.latest},
		Heartbeats:      c.shards,
		Ready:           c.ready,
		ExplainByLeader: c.link.Explain,
		NodeStatus:      c.status,
	}
}

// connectionLimiter returns a limiter that divides the inbound sockets among users and workers.
func (c *controller) connectionLimiter() *intake.ConnectionLimiter {
	return &intake.ConnectionLimiter{
		MaxConnections: c.settings.Sockets().Inbound,
		WorkerCount:    c.shards.MachineCount,
		IdleTimeout:    max(minIdleTimeout, 3*c.settings.Params.Workers.ReportS.Duration()+idleGrace),
	}
}

// provision provisions and terminates a shard's machines while this node leads the shard. With a single
// shard and drains enabled, it also carries out rollouts.
func (c *controller) provision(ctx context.Context, elector *election.Elector, shard ids.Shard, term *election.Term) {
	provisioner := &fleet.Provisioner{Cloud: c.cloud, Cluster: term.Cluster, Store: term.Committer, Generation: term.Generation,
		ConfirmLeadership: func() bool { return elector.HoldsLease(term) },
		Keys:              record.KeysOf(shard, c.settings.ShardCount()), Shard: shard,
		ListInterval: max(minListInterval, c.settings.Params.Cloud.ListLagS.Duration()/2)}
	if c.settings.ShardCount() > 1 {
		provisioner.Cloud = c.newCloudClient(shardCloudConnections)
		provisioner.OtherShardsShortage = func() (time.Duration, int) { return c.shards.OtherShardsShortage(shard) }
		provisioner.Owns = func(machine ids.Machine) bool { return c.shards.Owns(shard, machine) }
	}
	if types := c.types.latest(); len(types) > 0 {
		term.Cluster.SetMachineTypes(types)
	}
	provisioner.OnMachineTypes = func(types []placement.InstanceType) { c.types.store(ctx, term.Committer, types) }
	if c.rollouts != nil && c.settings.ShardCount() == 1 {
		runner := &rollout.Runner{Mirror: c.rollouts, Store: term.Committer, Fleet: term.Cluster, Writer: c.incarnation, Limits: c.storeLimits()}
		go runner.Run(ctx)
	}
	provisioner.LoadRequests(term.OpenProvisioningRequests)
	provisioner.Run(ctx)
}

// drainService returns the service that carries out operators' commands on rollouts.
func (c *controller) drainService() *rollout.Service {
	return &rollout.Service{Mirror: c.rollouts, Client: c.state, Leader: c.link, Writer: c.incarnation, Limits: c.storeLimits(),
		Installation: c.installation}
}

// installation returns the zones, shards and machine types against which a rollout's selection is checked.
func (c *controller) installation() rollout.Installation {
	installation := rollout.Installation{Zones: c.settings.Params.Zones, Shards: c.settings.ShardCount()}
	for _, machineType := range c.types.latest() {
		installation.Types = append(installation.Types, machineType.Label)
	}
	return installation
}

// storeLimits returns the limits of the state service that apply to rollout records.
func (c *controller) storeLimits() rollout.Limits {
	return rollout.Limits{ValueBytes: int(c.settings.Params.State.ValueBytes()), TxnOps: c.settings.Params.State.TxnOps}
}
