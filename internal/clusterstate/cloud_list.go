package clusterstate

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
)

// MachinesProvisioned notes machines just provisioned.
func (c *State) MachinesProvisioned(names []ids.Machine, request placement.ProvisioningRequest, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		machine := c.machines.Ensure(name, now, c.trustSilence)
		if !machine.HasReported {
			machine.Type, machine.Zone, machine.Spot, machine.Booting = request.Type, request.Zone, request.Spot, true
			c.markHintChanged(machine)
		}
	}
}

// ListedMachine is one machine of the cloud's list.
type ListedMachine struct {
	Name           ids.Machine
	Address        string
	Type           string
	Zone           string
	Spot           bool
	Status         string
	ProvisionedFor ids.Seconds
}

// ReconcileCloudList takes in the cloud's list. It lags, so that absence proves nothing and
// only what it says outright counts.
func (c *State) ReconcileCloudList(list []ListedMachine, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range list {
		listed := &list[i]
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
		if at := now.Add(-listed.ProvisionedFor.Duration()); at.Before(machine.ProvisionedAt) {
			machine.ProvisionedAt = at
		}
		machine.Failed = machine.Failed || listed.Status == "failed"
	}
}
