package claim

import (
	"log/slog"
	"sort"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// MachinesRented notes machines just rented.
func (c *ClusterState) MachinesRented(names []ids.Machine, h placement.ProvisioningRequest, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range names {
		machine := c.machines.Ensure(n, now, c.trustSilence)
		if !machine.HasReported {
			machine.Type, machine.Zone, machine.Spot, machine.Booting = h.Type, h.Zone, h.Spot, true
			c.markHintChanged(machine)
		}
	}
}

// ListedMachine is one machine of the cloud's list.
type ListedMachine struct {
	Name      ids.Machine `json:"uid"`
	Address   string      `json:"endpoint"`
	Type      string      `json:"build"`
	Zone      string      `json:"yard"`
	Spot      bool        `json:"loaners"`
	Status    string      `json:"status"`
	RentedFor ids.Seconds `json:"heldS"`
}

// ReconcileCloudList takes in the cloud's list. It lags, so that absence proves nothing and
// only what it says outright counts.
func (c *ClusterState) ReconcileCloudList(ls []ListedMachine, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range ls {
		listed := &ls[i]
		if c.terminated[listed.Name] {
			continue // the list is older than its deletion
		}
		machine := c.machines.Ensure(listed.Name, now, c.trustSilence)
		machine.ListedAt = now
		if !machine.HasReported {
			machine.Type, machine.Zone, machine.Spot, machine.Addr = listed.Type, listed.Zone, listed.Spot, listed.Address
			machine.Booting = listed.Status == "booting"
		}
		// The list describes a moment before now: the earliest is nearest.
		if at := now.Add(-listed.RentedFor.Duration()); at.Before(machine.ProvisionedAt) {
			machine.ProvisionedAt = at
		}
		machine.Failed = machine.Failed || listed.Status == "failed"
	}
}

// CloudListRead notes that the cloud's list was read to its end, and when that reading began.
func (c *ClusterState) CloudListRead(began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listReadBegan = began
}

// missingFromCloud tells whether the cloud surely knows a machine no more: a machine stays listed
// until it is gone, and a list lags by twice its nominal lag at most.
func (c *ClusterState) missingFromCloud(machine *worker.Machine) bool {
	lag := 3 * c.settings.Params.Cloud.ListLagS.Duration()
	return !machine.HasReported && c.listReadBegan.Sub(machine.DiscoveredAt) > lag && machine.ListedAt.Before(c.listReadBegan) && c.listReadBegan.Sub(machine.ListedAt) > lag
}

// ConsolidationCandidate is a machine whose few services others might take over.
type ConsolidationCandidate struct {
	Name  ids.Machine
	Needs []placement.Demand
}

// settled is how long a replica must have run before it is moved: a start that
// is soon undone is worth nothing.
const minRelocatableAge = 40 * time.Second

// ConsolidationCandidates lists machines that only services hold, least used for their
// price first; none while one is being emptied.
func (c *ClusterState) ConsolidationCandidates(now time.Time) []ConsolidationCandidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if machine := c.machines.Machines[c.consolidating]; machine != nil && now.Sub(c.consolidatingSince) < time.Minute {
		return nil
	}
	c.consolidating = ""
	if c.drains != nil && (c.drains.orders == nil || len(c.drains.orders.Machines) > 0) {
		return nil // one reason at a time to move replicas that nobody has to move
	}
	var out []ConsolidationCandidate
	worth := map[ids.Machine]float64{}
next:
	for name, node := range c.capacity.Nodes() {
		if len(node.Assignments) == 0 {
			continue
		}
		ps := node.Assignments
		machine := c.machines.Machines[name]
		if machine == nil || c.capacity.Type(machine.Type) == nil || !machine.Schedulable(now, c.settings.Params.Workers.ReportS) || now.Sub(machine.ProvisionedAt) < time.Minute || machine.DeleteWhenEmpty {
			continue
		}
		machineType := c.capacity.Type(machine.Type)
		e := ConsolidationCandidate{Name: name}
		for assignment := range ps {
			if assignment.Job.Record.Spec.Shape != record.Service || assignment.Stopping || assignment.Status != worker.StateRunning || now.Sub(assignment.RunningSince) < minRelocatableAge || assignment.Job.Record.Spec.Resources.Accels > 0 {
				continue next
			}
			request := assignment.Job.Record.Spec.PlacementRequest()
			request.Zone = machine.Zone
			e.Needs = append(e.Needs, placement.Demand{Request: request, Count: 1, Headroom: true})
		}
		worth[name] = c.capacity.AllocatedOn(name).Cores / machineType.HourlyPrice(machine.Spot)
		out = append(out, e)
	}
	sort.Slice(out, func(x, y int) bool {
		if worth[out[x].Name] != worth[out[y].Name] {
			return worth[out[x].Name] < worth[out[y].Name]
		}
		return out[x].Name < out[y].Name
	})
	return out[:min(len(out), 6)]
}

// Consolidate begins to move a machine's services elsewhere, or with no name gives
// that up; it tells whether there was something to give up.
func (c *ClusterState) Consolidate(name ids.Machine, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.consolidating
	c.consolidating, c.consolidatingSince = name, now
	if name != "" {
		slog.Info("machine is being emptied", "machine", name)
		if machine := c.machines.Machines[name]; machine != nil {
			machine.DeleteWhenEmpty = true
			c.leaving[name] = true
		}
	}
	return was != "" && c.machines.Machines[was] != nil
}
