package claim

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
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
