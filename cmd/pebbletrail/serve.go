package main

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
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

// logTo logs to standard error from that level on.
func logTo(level string) {
	l := slog.LevelInfo
	switch strings.ToLower(level) {
	case "error":
		l = slog.LevelError
	case "debug":
		l = slog.LevelDebug
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l})))
}

// client makes an HTTP client whose every connection attempt ends soon: a cut
// or powerless host answers nothing at all.
func client(perHost, idle int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxConnsPerHost:     perHost,
		MaxIdleConnsPerHost: perHost,
		MaxIdleConns:        idle,
		IdleConnTimeout:     60 * time.Second,
		DisableCompression:  true,
	}}
}

// serve runs the controller until it is killed.
func serve(ctx context.Context, set *config.Settings) error {
	if ctx == nil {
		ctx = context.Background()
	}
	logTo(os.Getenv("LOG_LEVEL"))
	lim := set.Params.Limits
	debug.SetMemoryLimit(int64(lim.RAMMB * 0.65 * 1024 * 1024))
	debug.SetGCPercent(200)
	runtime.GOMAXPROCS(max(1, int(lim.Cores+0.99)))

	users, err := net.Listen("tcp4", set.ClientListen)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	cluster, err := net.Listen("tcp4", set.ClusterListen)
	if err != nil {
		return fmt.Errorf("cluster_listen: %w", err)
	}
	// Processes of one node must never share a name, nor repeat one after a
	// restart within the same millisecond.
	incarnation := fmt.Sprintf("%s.%x.%x", set.HostName, time.Now().UnixMilli(), rand.Uint32())
	slog.Info("starting", "version", version, "node", set.HostName, "incarnation", incarnation)
	return newController(set, incarnation).run(ctx, users, cluster)
}

// controller is the parts of one controller.
type controller struct {
	set         *config.Settings
	incarnation string
	state       *state.Client
	cloud       *fleet.Cloud
	shards      *election.Shards
	link        *peer.Link
	types       *machineTypes
	// rollouts is this node's copy of the stored rollouts; nil where drains are off.
	rollouts *state.Mirror
}

// newController connects the parts; nothing runs yet.
func newController(set *config.Settings, incarnation string) *controller {
	nodes := len(set.Others) + 1
	c := &controller{set: set, incarnation: incarnation}
	c.state = state.NewClient(set.Services.State, client(16, 16),
		state.NewBudget(set.Params.State.RPS, set.Params.State.WriteRPS, nodes, set.Own.OwnerShare))
	c.state.Budget().SplitLeaderShare(set.Shards())
	c.cloud = fleet.NewCloud(set.Services.Cloud, client(4, 4), set.Params.Cloud.RPS/float64(set.Shards()))
	commander := &worker.Commander{HTTP: client(2, set.Sockets().Direct/2), Timeout: 3 * time.Second}
	c.shards = election.NewShards(set, c.state, commander, incarnation)
	c.shards.Refuse = refuse
	c.link = peer.NewLink(set, c.shards, c.state)
	c.types = &machineTypes{cloud: c.cloud, shards: c.shards}
	for i, pool := range c.shards.Pools() {
		shard := ids.Shard(i)
		pool.Peers = c.link.ForShard(shard)
		pool.OnTerm = func(ctx context.Context, t *election.Term) { c.provision(ctx, pool, shard, t) }
	}
	if set.DrainsEnabled() {
		c.rollouts = state.NewMirror(c.state, rollout.Prefix, rolloutNews)
	}
	return c
}

// rolloutNews spaces the calls for news of rollouts.
const rolloutNews = 200 * time.Millisecond

// refuse ends the process: with this store it must not take part.
func refuse(err error) {
	fmt.Fprintln(os.Stderr, "pebbletrail: "+strings.ReplaceAll(err.Error(), "\n", "; "))
	os.Exit(1)
}

// run serves until the users' listener ends.
func (c *controller) run(ctx context.Context, users, cluster net.Listener) error {
	go c.link.Serve(cluster)
	c.link.Run(ctx)
	go c.types.run(ctx)
	go c.state.Watch(ctx, record.KeysOf(0, c.set.Shards()).Generation())
	go func() {
		for ctx.Err() == nil {
			time.Sleep(time.Minute)
			measure.Process.Log()
		}
	}()
	go c.shards.Run(ctx)
	var operators func(*echo.Echo)
	if c.rollouts != nil {
		go c.rollouts.Run(ctx)
		operators = c.drainService().Routes
	}
	site := &intake.Site{
		Operators: operators,
		Version:   version,
		Jobs: &intake.JobService{Set: c.set, State: c.state, Jobs: c.shards.Jobs(), LeaderNotifier: c.link, Writer: c.incarnation,
			Types: c.types.known},
		Heartbeats: c.shards,
		Ready:      c.ready,
		Live:       c.link.Explain,
		Status:     c.status,
	}
	return site.Serve(users, &intake.ConnectionLimiter{MaxConnections: c.set.Sockets().Callers, WorkerCount: c.workers,
		IdleTimeout: max(20*time.Second, 3*c.set.Params.Workers.ReportS.Duration()+5*time.Second)})
}

// provision rents and returns machines while this node leads a shard.
func (c *controller) provision(ctx context.Context, pool *election.Elector, shard ids.Shard, t *election.Term) {
	p := &fleet.Provisioner{Cloud: c.cloud, Cluster: t.Cluster, Store: t.Committer, Gen: t.Generation, Sure: func() bool { return pool.LeaseSurelyHeld(t) },
		Keys: record.KeysOf(shard, c.set.Shards()), Shard: shard,
		ListEvery: max(2*time.Second, c.set.Params.Cloud.ListLagS.Duration()/2)}
	if c.set.Shards() > 1 {
		p.Cloud = fleet.NewCloud(c.set.Services.Cloud, client(2, 2), c.set.Params.Cloud.RPS/float64(c.set.Shards()))
		p.OthersLack = func() (time.Duration, int) { return c.shards.OtherShardsShortage(shard) }
		p.Owns = func(machine ids.Machine) bool { return c.shards.Owns(shard, machine) }
	}
	if ts := c.types.known(); len(ts) > 0 {
		t.Cluster.SetMachineTypes(ts)
	}
	p.OnTypes = func(ts []placement.Type) { c.types.store(ctx, t.Committer, ts) }
	if c.rollouts != nil && c.set.Shards() == 1 {
		runner := &rollout.Runner{Copy: c.rollouts, Store: t.Committer, Fleet: t.Cluster, Writer: c.incarnation, Limits: c.storeLimits()}
		go runner.Run(ctx)
	}
	p.Adopt(t.OpenHires)
	p.Run(ctx)
}

// drainService carries out the operators' commands on rollouts.
func (c *controller) drainService() *rollout.Service {
	return &rollout.Service{Copy: c.rollouts, State: c.state, Leader: c.link, Writer: c.incarnation, Limits: c.storeLimits(),
		Installation: func() rollout.Installation {
			in := rollout.Installation{Zones: c.set.Params.Zones, Shards: c.set.Shards()}
			for _, t := range c.types.known() {
				in.Types = append(in.Types, t.Label)
			}
			return in
		}}
}

// storeLimits are the state service's limits as rollouts use them.
func (c *controller) storeLimits() rollout.Limits {
	return rollout.Limits{ValueBytes: int(c.set.Params.State.ValueKB * 1024), TxnOps: c.set.Params.State.TxnOps}
}

// readyWithin is how recent the last successful call to the state service must be.
const readyWithin = 2500 * time.Millisecond

// ready tells whether users may be sent here.
func (c *controller) ready() bool {
	age, ok := c.state.SinceSuccess()
	if !ok {
		return false
	}
	// During an outage all nodes fare alike and go on answering; a node that alone
	// is not served sends its users elsewhere.
	return age < readyWithin || !c.link.OthersServed()
}

// status describes the node for GET /v2/status.
func (c *controller) status() any {
	pools := c.shards.Pools()
	leader, _ := pools[0].Leader()
	out := map[string]any{"node": c.set.HostName, "version": version, "incarnation": c.incarnation, "owner": leader}
	out["took"], out["counts"] = measure.Process.Summary()
	if len(pools) > 1 {
		out["shards"] = shardsStatus(pools)
		return out
	}
	if b := pools[0].Cluster(); b != nil {
		out["pool"] = b.Summary()
	}
	return out
}

// shardStatus describes one shard as this node sees it.
type shardStatus struct {
	Shard  int      `json:"shard"`
	Leader ids.Node `json:"leader"`
	// Pool and Alarms are told by the leader only.
	Pool   any      `json:"pool,omitempty"`
	Alarms []string `json:"alarms,omitempty"`
}

func shardsStatus(pools []*election.Elector) (all []shardStatus) {
	for shard, pool := range pools {
		leader, _ := pool.Leader()
		of := shardStatus{Shard: shard, Leader: leader}
		if b := pool.Cluster(); b != nil {
			of.Pool, of.Alarms = b.Summary(), b.QuotaFaults()
		}
		all = append(all, of)
	}
	return all
}

// workers is how many machines may connect to this node.
func (c *controller) workers() int { return c.shards.Machines() }
