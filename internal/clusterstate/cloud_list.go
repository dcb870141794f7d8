package clusterstate

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
)

// MachinesProvisioned records machines that were just provisioned.
func (c *State) MachinesProvisioned(names []ids.Machine, request placement.ProvisioningRequest, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		machine := c.machines.Ensure(name, now, c.earliestLeaseExpiry)
		if !machine.HasReported {
			machine.Type, machine.Zone, machine.Spot, machine.Booting = request.Type, request.Zone, request.Spot, true
			c.markHintChanged(machine)
		}
	}
}

// ListedMachine is a machine in the cloud's list.
type ListedMachine struct {
	Name           ids.Machine
	Address        string
	Type           string
	Zone           string
	Spot           bool
	Status         string
	ProvisionedFor ids.Seconds
}

// ReconcileCloudList updates the machines from the cloud's list. The list lags, so a machine's absence from
// it proves nothing, and only what the list states is used.
func (c *State) ReconcileCloudList(list []ListedMachine, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range list {
		listed := &list[i]
		if c.terminated[listed.Name] {
			continue // the list is older than the machine's deletion
		}
		machine := c.machines.Ensure(listed.Name, now, c.earliestLeaseExpiry)
		machine.ListedAt = now
		if !machine.HasReported {
			machine.Type, machine.Zone, machine.Spot, machine.Addr = listed.Type, listed.Zone, listed.Spot, listed.Address
			machine.Booting = listed.Status == "booting"
		}
		// The list is older than now, so each provisioning time computed from it is too late. The earliest
		// one is closest to the real time.
		if at := now.Add(-listed.ProvisionedFor.Duration()); at.Before(machine.ProvisionedAt) {
			machine.ProvisionedAt = at
		}
		machine.Failed = machine.Failed || listed.Status == "failed"
	}
}
