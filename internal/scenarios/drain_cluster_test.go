package scenarios

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// drainFeatures is the features file of most scenarios. It allows drains to take down one replica
// and interrupt two other tasks of team red at a time.
const drainFeatures = `drains { teams { team: "red" budget { replicas_down: 1 tasks_interrupted: 2 } } }`

// drainCluster is a cluster of five controllers with a cloud that provisions and deletes machines.
type drainCluster struct {
	*testCluster
	cloud      *fake.Cloud
	disruption *disruptionRule
	features   string
	// bootTime returns the time that a machine takes to boot, or neverBoots.
	bootTime func(name string) time.Duration

	listenerMu   sync.Mutex
	listener     func(event fake.Event)
	nodes        map[string]*drainNode
	stopMachine  map[string]context.CancelFunc // ends the worker of a running machine, by the machine's name
	seenMachines map[string]bool               // machines that bootMachines has found in the cloud
}

// drainOptions are the parameters in which drain scenarios differ.
type drainOptions struct {
	features string                // contents of the features file; empty means drainFeatures
	budget   map[string]teamBudget // budgets that the disruption rule checks; nil means those of drainFeatures
	capacity int                   // number of machines that the cloud can provision
	teams    []config.Team         // teams in addition to red
}

// drainScenario runs a scenario in a cluster with the given number of machines in each of the two
// zones.
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
		c.disruption = newDisruptionRule(base.rules, func(rule, detail string) { t.Errorf("rule violated: %s: %s", rule, detail) }, budget)
		c.disruption.evictionStored = c.evictionStored
		base.network.Listen("cloud:1", c.cloud)
		for _, zone := range zones {
			c.provision("first-"+zone, zone, machines)
		}
		c.cloud.NotifyDeletions(c.terminateMachine)
		go c.bootMachines()
		for _, name := range fiveNodeNames {
			c.startNode(name)
		}
		c.eventually(30*time.Second, "a leader has heard from all machines", func() bool {
			leader := c.leader()
			return leader != nil && leader.elector.Cluster().Summary()["heard"] == 2*machines
		})
		run(t, c)
	})
}

// evictionStored reports whether the state service holds the permit to evict a task's attempt.
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
	evicted, ok := stored.EvictedAttempt(index)
	return ok && evicted == ids.Attempt(attempt)
}

// startService submits a service, with fields changed as by jobSpec.with, and waits until its
// replicas have run long enough to count as available.
func (c *drainCluster) startService(id string, replicas int, changes ...any) {
	c.t.Helper()
	job := newJob(id, "standing", replicas).with("guessS", 0).with(changes...)
	c.submitToAny(0, job)
	c.eventually(time.Minute, id+" is up", func() bool { return c.runningCount(id) == replicas })
	time.Sleep(8 * time.Second)
}

// partitionFromStateService partitions a controller from the state service, but from nothing else.
func (c *drainCluster) partitionFromStateService(name string) {
	c.network.SetRule(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
		if from == name && to == "state:1" {
			return fake.Drop
		}
		return fake.Deliver
	})
}
