package scenarios

import (
	"net/http"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// concurrentFaults is the number of faults that a faultInjector can inject at a time.
const concurrentFaults = 2

// faultInjector injects random faults, several at a time.
type faultInjector struct {
	cluster  *testCluster
	random   *randomSource
	machines []string

	mu    sync.Mutex
	rules [concurrentFaults]fake.Rule // the network fault of each slot, nil for none
}

// newFaultInjector returns an injector that replaces the rule of the cluster's network.
func newFaultInjector(c *testCluster, random *randomSource, machines []string) *faultInjector {
	injector := &faultInjector{cluster: c, random: random, machines: machines}
	c.network.SetRule(injector.outcome)
	return injector
}

// outcome returns the outcome of the first network fault that affects a request.
func (i *faultInjector) outcome(from, to string, r *http.Request, body []byte) fake.Outcome {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, rule := range i.rules {
		if rule != nil {
			if outcome := rule(from, to, r, body); outcome != fake.Deliver {
				return outcome
			}
		}
	}
	return fake.Deliver
}

// setRule sets the network fault of a slot, nil for none.
func (i *faultInjector) setRule(slot int, rule fake.Rule) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rules[slot] = rule
}

// setRuleFor sets the network fault of a slot, and removes it after the duration.
func (i *faultInjector) setRuleFor(duration time.Duration, slot int, rule fake.Rule) {
	i.setRule(slot, rule)
	time.Sleep(duration)
	i.setRule(slot, nil)
}

// inject injects a random fault for 2 to 28 s, and returns when the fault has ended.
func (i *faultInjector) inject(slot int) {
	machine, kind, duration := i.machines[i.random.intn(len(i.machines))], i.random.intn(12), i.random.milliseconds(2000, 28000)
	switch kind {
	case 0:
		i.hang(machine, duration)
	case 1:
		i.injectMachineFault(slot, fake.PartitionOutbound(machine), duration)
	case 2:
		i.injectMachineFault(slot, fake.PartitionInbound(machine), duration)
	case 3:
		i.injectMachineFault(slot, fake.DuplicateHeartbeats(machine), duration)
	case 4:
		i.refuseLeader(duration)
	case 5:
		i.cluster.store.SetLatency(i.random.milliseconds(50, 800))
		time.Sleep(duration)
		i.cluster.store.SetLatency(0)
	case 6:
		i.restartNode()
	case 7:
		i.cluster.store.SetDown(true)
		time.Sleep(duration)
		i.cluster.store.SetDown(false)
	case 8:
		i.setRuleFor(duration, slot, i.randomCommitFault(fake.DropResponse))
	case 9:
		i.setRuleFor(duration, slot, i.randomCommitFault(fake.Delay))
	case 10:
		i.isolateLeader(slot, duration)
	case 11:
		i.duplicateChanges(slot, duration)
	}
}

// duplicateChanges keeps copies of half of all requests that change something. They arrive seconds late or,
// for every other fault, all at once up to a minute after it.
func (i *faultInjector) duplicateChanges(slot int, duration time.Duration) {
	selected := func() bool { return i.random.intn(2) == 0 }
	if i.random.intn(2) == 0 {
		i.setRuleFor(duration, slot, fake.DuplicateChanges(fake.DuplicateLate, selected))
		return
	}
	i.setRuleFor(duration, slot, fake.DuplicateChanges(fake.Duplicate, selected))
	time.Sleep(i.random.milliseconds(0, 60000))
	i.cluster.network.ReleaseHeld()
}

// hang makes a machine hang for the duration.
func (i *faultInjector) hang(machine string, duration time.Duration) {
	i.cluster.workerNamed(machine).SetHung(true)
	time.Sleep(duration)
	i.cluster.workerNamed(machine).SetHung(false)
}

// injectMachineFault applies a rule to the traffic of a machine, and delivers the requests that were
// held back up to 3 s after the end of the rule.
func (i *faultInjector) injectMachineFault(slot int, rule fake.Rule, duration time.Duration) {
	i.setRuleFor(duration, slot, rule)
	time.Sleep(i.random.milliseconds(0, 3000))
	i.cluster.network.ReleaseHeld()
}

// refuseLeader makes the state service refuse the requests of the leader alone.
func (i *faultInjector) refuseLeader(duration time.Duration) {
	leader := i.cluster.leader()
	if leader == nil {
		return
	}
	i.cluster.store.RefuseCaller(leader.name, true)
	time.Sleep(duration)
	i.cluster.store.RefuseCaller(leader.name, false)
}

// restartNode kills a random node, if it runs, and starts it again.
func (i *faultInjector) restartNode() {
	i.cluster.mu.Lock()
	node := i.cluster.nodes[i.random.node()]
	i.cluster.mu.Unlock()
	if node == nil {
		return
	}
	node.kill()
	time.Sleep(i.random.milliseconds(100, 8000))
	i.cluster.startNode(node.name)
}

// randomCommitFault returns a rule that applies the outcome to one commit in four, chosen at random, and
// delivers all other requests.
func (i *faultInjector) randomCommitFault(outcome fake.Outcome) fake.Rule {
	return func(_, _ string, r *http.Request, _ []byte) fake.Outcome {
		if isCommit(r) && i.random.intn(4) == 0 {
			return outcome
		}
		return fake.Deliver
	}
}

// isolateLeader partitions the leader from its peer and the state service.
func (i *faultInjector) isolateLeader(slot int, duration time.Duration) {
	leader := i.cluster.leader()
	if leader == nil {
		return
	}
	i.setRuleFor(duration, slot, func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
		if isBetween(from, to, "a", "b") || isBetween(from, to, leader.name, "state") {
			return fake.Drop
		}
		return fake.Deliver
	})
}
