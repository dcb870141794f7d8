package claim

import (
	"github.com/pebbletrail/pebbletrail/internal/eviction"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/wait"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// newEvictor makes the evictor of a term.
func newEvictor(c *ClusterState) *eviction.Evictor {
	return eviction.New(eviction.State{Settings: c.settings, Jobs: c.jobs, Machines: c.machines, Capacity: c.capacity,
		Estimates: c.estimates, Scheduler: c.scheduler, FirstGeneration: c.firstGeneration, Lock: &c.mu}, evictionCluster{schedulerCluster{c}})
}

// evictionCluster carries out what evictions decide. It is called under the cluster state's lock.
type evictionCluster struct{ schedulerCluster }

// MarkChanged notes that a job's record changed.
func (c evictionCluster) MarkChanged(job *workload.Job) { c.markChanged(job) }

// MarkUrgent has a job's record stored at once.
func (c evictionCluster) MarkUrgent(job *workload.Job) { c.markUrgent(job) }

// Terminated tells that the cloud confirmed a machine's deletion.
func (c evictionCluster) Terminated(machine ids.Machine) bool { return c.terminated[machine] }

// CloudListConclusive tells that a machine which this leader does not know is surely none: the cloud's
// list was read to its end so long after the takeover that it would name it.
func (c evictionCluster) CloudListConclusive() bool {
	return c.planner.CloudListSince(c.termBegan) > c.planner.CloudListLag()
}

// CarryOut replaces what rollouts want of the leader.
func (c *ClusterState) CarryOut(orders *rollout.Orders) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evictor.CarryOut(orders) {
		wait.Signal(c.planSignal)
	}
}

// RolloutView looks at the fleet as it is now.
func (c *ClusterState) RolloutView() rollout.View { return c.evictor.NewView() }

// RolloutPlanner is what plans are made from.
func (c *ClusterState) RolloutPlanner() rollout.Planner { return c.evictor.NewView() }

// DrainProvisioning are the replacements that rollouts want rented and that were not rented yet.
func (c *ClusterState) DrainProvisioning() []rollout.ProvisioningRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evictor.ReplacementsToProvision()
}

// DrainProvisioned notes the machines rented for a request, if it was one for replacements.
func (c *ClusterState) DrainProvisioned(name ids.ProvisioningRequest, machines []ids.Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evictor.ReplacementsProvisioned(name, machines)
}

// ClosedZones are the zones that rollouts give up: nothing is rented there meanwhile.
func (c *ClusterState) ClosedZones() map[string]rollout.Name {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evictor.ClosedZones()
}

// DrainBlockers tells what the machines being emptied wait for.
func (c *ClusterState) DrainBlockers() map[ids.Machine][]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evictor.Blockers()
}
