package scenarios

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/election"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/fleet"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/intake"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// drainNodes are the controllers of scenarios with drains.
var drainNodes = []string{"a", "b", "c", "d", "e"}

// drainFeatures are the budgets of team red in most scenarios: one replica, two other tasks.
const drainFeatures = `drains { teams { team: "red" budget { replicas_down: 1 tasks_interrupted: 2 } } }`

// drainNode is a controller in a cluster with drains.
type drainNode struct {
	cluster  *drainCluster
	name     string
	elector  *election.Elector
	rollouts *rollout.Service
	cancel   context.CancelFunc
}

// drainCluster is five controllers, a cloud that rents and returns machines, and their workers.
type drainCluster struct {
	*testCluster
	cloud      *fake.Cloud
	disruption *disruptionRule
	features   string
	// bootTime tells how long a machine takes to come up; negative: it never does.
	bootTime func(name string) time.Duration

	listenerMu   sync.Mutex
	listener     func(event fake.Event)
	nodes        map[string]*drainNode
	stopMachine  map[string]context.CancelFunc // that run
	seenMachines map[string]bool               // machines of the cloud seen so far
}

// drainOptions vary a scenario.
type drainOptions struct {
	features string                // drainFeatures if empty
	budget   map[string]teamBudget // what the rule allows; that of drainFeatures if nil
	capacity int                   // machines that the cloud has
	teams    []config.Team         // beside red
}

// drainScenario runs f in a cluster with as many machines in each of the two zones as named.
func drainScenario(t *testing.T, machines int, options drainOptions, run func(t *testing.T, c *drainCluster)) {
	scenario(t, func(t *testing.T, base *testCluster) {
		c := &drainCluster{testCluster: base, cloud: fake.NewCloud(options.capacity), features: options.features,
			bootTime: func(string) time.Duration { return 2 * time.Second },
			nodes:    map[string]*drainNode{}, stopMachine: map[string]context.CancelFunc{}, seenMachines: map[string]bool{}}
		if c.features == "" {
			c.features = drainFeatures
		}
		budget := options.budget
		if budget == nil {
			budget = map[string]teamBudget{"red": {1, 2}}
		}
		base.teams = options.teams
		base.rules.settings = base.nodeSettings("a")
		c.disruption = newDisruptionRule(base.rules, func(rule, what string) { t.Errorf("rule broken: %s: %s", rule, what) }, budget)
		c.disruption.evictionStored = c.evictionStored
		base.network.Listen("cloud:1", c.cloud)
		for _, zone := range []string{"north", "south"} {
			c.provision("first-"+zone, zone, machines)
		}
		c.cloud.NotifyDeletions(c.terminateMachine)
		go c.runMachines()
		for _, name := range drainNodes {
			c.startNode(name)
		}
		c.eventually(30*time.Second, "a leader hears of all machines", func() bool {
			leader := c.leader()
			return leader != nil && leader.elector.Cluster().Summary()["heard"] == 2*machines
		})
		run(t, c)
	})
}

// evictionStored tells whether the eviction of a task's attempt is in the store.
func (c *drainCluster) evictionStored(task string, attempt uint64) bool {
	job, number, _ := strings.Cut(task, "/")
	index, err := strconv.Atoi(number)
	if err != nil {
		return false
	}
	stored, err := record.Decode(c.store.Value("job/" + job))
	if err != nil {
		return false
	}
	evicted, is := stored.EvictedAttempt(index)
	return is && evicted == ids.Attempt(attempt)
}

// provision has the cloud rent machines past the controllers.
func (c *drainCluster) provision(request, zone string, count int) {
	body := fmt.Sprintf(`{"hire":%q,"build":"small","yard":%q,"loaners":false,"count":%d}`, request, zone, count)
	res, err := c.network.Client("test").Post("http://cloud:1/hosts", "application/json", strings.NewReader(body))
	if err != nil || res.StatusCode != 200 {
		c.t.Fatal(res, err)
	}
}

// runMachines boots what the cloud rents and ends what it takes back.
func (c *drainCluster) runMachines() {
	for c.ctx.Err() == nil {
		for _, host := range c.cloud.Machines() {
			if c.seenMachines[host.Name] {
				continue
			}
			c.seenMachines[host.Name] = true
			if boot := c.bootTime(host.Name); boot >= 0 {
				go func() {
					c.rest(boot)
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

// rest waits, but not beyond the scenario's end.
func (c *drainCluster) rest(d time.Duration) {
	select {
	case <-time.After(d):
	case <-c.ctx.Done():
	}
}

// startMachine starts a machine's worker.
func (c *drainCluster) startMachine(name, zone string) {
	worker := &fake.Worker{Name: name, Address: name + ":9000", Type: "small", Zone: zone, Network: c.network, ControllerNames: drainNodes,
		HeartbeatInterval: 2 * time.Second, LeaseDuration: 20 * time.Second}
	worker.NotifyEvents(func(event fake.Event) {
		c.disruption.Event(event)
		c.notifyListener(event)
	})
	for _, node := range drainNodes {
		worker.Controllers = append(worker.Controllers, node+":8080")
	}
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

// notifyListener passes an event on to the scenario's own listener.
func (c *drainCluster) notifyListener(event fake.Event) {
	c.listenerMu.Lock()
	defer c.listenerMu.Unlock()
	if c.listener != nil {
		c.listener(event)
	}
}

// terminateMachine takes a machine away with everything on it.
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

// drainSettings are a node's settings.
func (c *drainCluster) drainSettings(name string) *config.Settings {
	settings := c.nodeSettings("a")
	settings.HostName, settings.Peers = ids.Node(name), nil
	for _, other := range drainNodes {
		if other != name {
			settings.Peers = append(settings.Peers, config.Peer{HostName: ids.Node(other)})
		}
	}
	if err := settings.ParseFeatures([]byte(c.features)); err != nil {
		c.t.Fatal(err)
	}
	return settings
}

func (c *drainCluster) startNode(name string) *drainNode {
	settings := c.drainSettings(name)
	c.processes++
	writer := fmt.Sprintf("%s.%d", name, c.processes)
	ctx, cancel := context.WithCancel(c.ctx)
	store := state.NewClient("state:1", c.network.Client(name), state.NewBudget(800, 400, 5, 0.6))
	n := &drainNode{cluster: c, name: name, cancel: cancel}
	rolloutCache := state.NewWatchCache(store, rollout.Prefix, 200*time.Millisecond)
	limits := rollout.Limits{ValueBytes: int(settings.Params.State.ValueKB * 1024), TxnOps: settings.Params.State.TxnOps}
	n.elector = election.NewElector(settings, store, &worker.Commander{HTTP: c.network.Client(name), Timeout: 3 * time.Second}, writer)
	n.elector.Peers = n
	n.elector.OnTerm = func(ctx context.Context, term *election.Term) {
		term.Cluster.SetMachineTypes(instanceTypes())
		runner := &rollout.Runner{Mirror: rolloutCache, Store: term.Committer, Fleet: term.Cluster, Writer: writer, Limits: limits}
		go runner.Run(ctx)
		provisioner := &fleet.Provisioner{Cloud: fleet.NewCloud("cloud:1", c.network.Client(name), 20), Cluster: term.Cluster, Store: term.Committer, Generation: term.Generation,
			Keys: record.KeysOf(0, 1), ConfirmLeadership: func() bool { return n.elector.LeaseSurelyHeld(term) }, ListInterval: 2 * time.Second}
		provisioner.Adopt(term.OpenHires)
		provisioner.Run(ctx)
	}
	n.rollouts = &rollout.Service{Mirror: rolloutCache, Client: store, Leader: n, Writer: writer, Limits: limits,
		Installation: func() rollout.Installation {
			return rollout.Installation{Zones: settings.Params.Zones, Types: []string{"small"}, Shards: settings.ShardCount()}
		}}
	jobs := &intake.JobService{Settings: settings, Store: store, Records: n.elector.Jobs(), LeaderNotifier: n, Writer: writer, MachineTypes: instanceTypes}
	c.network.Listen(name+":8080", (&intake.Server{Jobs: jobs, Heartbeats: n.elector, Ready: func() bool { return true },
		ExplainByLeader: func(context.Context, ids.Job) ([]string, ids.Node, error) { return nil, "", nil },
		NodeStatus:      func() any { return nil }}).Handler())
	c.mu.Lock()
	c.nodes[name] = n
	c.mu.Unlock()
	go store.ProbeHealth(ctx, record.KeysOf(0, 1).Generation())
	go rolloutCache.Run(ctx)
	go n.elector.Run(ctx)
	return n
}

// stopNode ends a node like a lost process.
func (c *drainCluster) stopNode(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.nodes[name]; n != nil {
		n.cancel()
	}
	delete(c.nodes, name)
	c.network.Listen(name+":8080", nil)
}

// leader is the node that leads; nil if none does.
func (c *drainCluster) leader() *drainNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range drainNodes {
		if n := c.nodes[name]; n != nil && n.elector.Cluster() != nil {
			return n
		}
	}
	return nil
}

// follower is a node that is up and does not lead.
func (c *drainCluster) follower() *drainNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range drainNodes {
		if n := c.nodes[name]; n != nil && n.elector.Cluster() == nil {
			return n
		}
	}
	c.t.Fatal("every node leads")
	return nil
}

// The other controllers, as one of them sees them.

func (n *drainNode) AllStopped(_ context.Context, generation ids.Generation, _ ...ids.Node) bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	all := true
	for name, other := range n.cluster.nodes {
		if name != n.name {
			all = !n.cluster.isPartitioned(n.name, name) && other.elector.Superseded(generation) && all
		}
	}
	return all
}
func (n *drainNode) Alone() bool { return false }
func (n *drainNode) Served(node ids.Node) bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.cluster.nodes[string(node)] != nil
}
func (n *drainNode) NotifyLeader(ids.Job, ids.Revision, *record.Record, json.RawMessage) <-chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}

// PlanDrain asks the leader for a plan.
func (n *drainNode) PlanDrain(_ context.Context, spec *rollout.Spec) (*rollout.Preview, error) {
	leader := n.cluster.leader()
	if leader == nil {
		return nil, election.ErrNotLeader
	}
	return rollout.NewPreview(spec, leader.elector.Cluster().RolloutPlanner(), time.Now())
}

// DrainWaits asks the leader what machines wait for.
func (n *drainNode) DrainWaits(context.Context) (map[ids.Machine][]string, error) {
	leader := n.cluster.leader()
	if leader == nil {
		return nil, election.ErrNotLeader
	}
	return leader.elector.Cluster().DrainBlockers(), nil
}

// accept submits a job, at another node each time it is told to come back.
func (c *drainCluster) accept(job map[string]any) {
	c.t.Helper()
	for try := range 60 {
		if code, _ := c.call(drainNodes[try%len(drainNodes)], "POST", "/v2/runs", job); code == 201 || code == 200 {
			return
		}
		time.Sleep(time.Second)
	}
	c.t.Fatalf("%v was never accepted", job["uid"])
}

// startService submits a service and waits until it is up for long enough to count.
func (c *drainCluster) startService(id string, replicas int, changes ...any) {
	c.t.Helper()
	job := newJob(id, "standing", replicas)
	job["guessS"] = 0
	for i := 0; i < len(changes); i += 2 {
		job[changes[i].(string)] = changes[i+1]
	}
	c.accept(job)
	c.eventually(time.Minute, id+" is up", func() bool { return c.runningCount(id) == replicas })
	time.Sleep(8 * time.Second)
}

// runningCount counts the tasks of a job that are on machines.
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

// newRollout is a description of a rollout over a zone's machines, or those named.
func newRollout(name string, machines ...ids.Machine) *rollout.Spec {
	spec := &rollout.Spec{Name: rollout.Name(name), WaveSize: 2, Deadline: 60, AtDeadline: rollout.WaitAtDeadline}
	if spec.Select.Machines = machines; len(machines) == 0 {
		spec.Select.Zone = "north"
	}
	return spec
}

// startRollout starts a rollout at some controller.
func (c *drainCluster) startRollout(spec *rollout.Spec) {
	c.t.Helper()
	if err := c.callUntilAvailable(func(n *drainNode) error { _, err := n.rollouts.Start(c.ctx, spec); return err }); err != nil {
		c.t.Fatalf("start of %s: %v", spec.Name, err)
	}
}

// execute gives a command at some controller that does not lead.
func (c *drainCluster) execute(name string, command rollout.Command) {
	c.t.Helper()
	err := c.callUntilAvailable(func(n *drainNode) error { _, err := n.rollouts.Execute(c.ctx, rollout.Name(name), command); return err })
	if err != nil {
		c.t.Fatalf("%s %s: %v", command, name, err)
	}
}

// callUntilAvailable calls a controller until one can answer.
func (c *drainCluster) callUntilAvailable(call func(n *drainNode) error) (err error) {
	for range 30 {
		if err = call(c.follower()); err == nil || !strings.Contains(err.Error(), rollout.ErrUnavailable.Error()) {
			return err
		}
		time.Sleep(time.Second)
	}
	return err
}

// rolloutRecord is how a rollout is stored.
func (c *drainCluster) rolloutRecord(name string) (r rollout.Record) {
	json.Unmarshal(c.store.Value("rollout/run/"+name), &r)
	return r
}

// awaitState waits until a rollout has a state.
func (c *drainCluster) awaitState(name string, want rollout.State, timeout time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(timeout); c.rolloutRecord(name).State != want; {
		if time.Now().After(end) {
			blockers, _ := c.follower().DrainWaits(c.ctx)
			c.t.Fatalf("%s is not %s within %v: %s; waits: %v", name, want, timeout, c.store.Value("rollout/run/"+name), blockers)
		}
		time.Sleep(100 * time.Millisecond)
		c.checkInvariants()
	}
}

// awaitBlocker waits until some machine waits for a reason with a text in it.
func (c *drainCluster) awaitBlocker(text string) {
	c.t.Helper()
	c.eventually(time.Minute, "a machine waits: "+text, func() bool { return c.isBlockedBy(text) })
}

// isBlockedBy tells whether some machine waits for a reason with a text in it.
func (c *drainCluster) isBlockedBy(text string) bool {
	blockers, err := c.follower().DrainWaits(c.ctx)
	if err != nil {
		return false
	}
	for _, reasons := range blockers {
		if strings.Contains(strings.Join(reasons, "; "), text) {
			return true
		}
	}
	return false
}

// machinesIn lists the machines of a zone that run.
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

// cordonedCount counts the machines that the leader keeps closed to new work.
func (c *drainCluster) cordonedCount() int {
	leader := c.leader()
	if leader == nil {
		return -1
	}
	return leader.elector.Cluster().Summary()["cordoned"].(int)
}

// completeRandomTasks lets tasks of a job end by themselves now and then, until the scenario ends.
func (c *drainCluster) completeRandomTasks(job string, rng *rand.Rand) {
	for c.ctx.Err() == nil {
		select {
		case <-time.After(time.Second):
		case <-c.ctx.Done():
			return
		}
		for _, worker := range c.listWorkers() {
			for _, task := range worker.ActiveTasks() {
				if strings.HasPrefix(task, job) && rng.IntN(8) == 0 {
					worker.EndTask(task, "done")
				}
			}
		}
	}
}

// partitionFromStateService keeps a controller from the state service and the other controllers, not from workers.
func (c *drainCluster) partitionFromStateService(name string) {
	c.network.SetRule(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
		if from == name && to == "state:1" {
			return fake.Drop
		}
		return fake.Deliver
	})
}

// with changes one field of a submission.
func with(job map[string]any, field string, value any) map[string]any {
	job[field] = value
	return job
}
