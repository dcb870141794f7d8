package fleet

import (
	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
)

// This file maps the JSON names of the cloud's API to the names that this project uses.

// typesAnswer is the cloud's answer to a request for its machine types.
type typesAnswer struct {
	Types []placement.InstanceType `json:"builds"`
}

// listAnswer is one page of the machine list.
type listAnswer struct {
	Hosts []listedHost `json:"hosts"`
	More  bool         `json:"more"`
}

// listedHost is one machine of the list. Its fields have the names of the cloud's API.
type listedHost struct {
	UID      ids.Machine `json:"uid"`
	Endpoint string      `json:"endpoint"`
	Build    string      `json:"build"`
	Yard     string      `json:"yard"`
	Loaners  bool        `json:"loaners"`
	Status   string      `json:"status"`
	HeldS    ids.Seconds `json:"heldS"`
}

// machines returns the machines of the page in the form that package clusterstate uses.
func (a listAnswer) machines() []clusterstate.ListedMachine {
	machines := make([]clusterstate.ListedMachine, len(a.Hosts))
	for i, host := range a.Hosts {
		machines[i] = clusterstate.ListedMachine{
			Name:           host.UID,
			Address:        host.Endpoint,
			Type:           host.Build,
			Zone:           host.Yard,
			Spot:           host.Loaners,
			Status:         host.Status,
			ProvisionedFor: host.HeldS,
		}
	}
	return machines
}

// machineNames lists the machines provisioned by a request, or the machines to delete.
type machineNames struct {
	Machines []ids.Machine `json:"hosts"`
}

// provisioningRequest is a request to the cloud for machines. It is stored in this form before it is
// sent, so that a later leader can find out what it provisioned.
type provisioningRequest struct {
	// Name makes the request idempotent.
	Name  ids.ProvisioningRequest `json:"hire"`
	Type  string                  `json:"build"`
	Zone  string                  `json:"yard"`
	Spot  bool                    `json:"loaners"`
	Count int                     `json:"count"`
	// Machines are the machines provisioned, once known. They are stored only if there are several shards,
	// which must know which shard owns a machine.
	Machines []ids.Machine `json:"hosts,omitempty"`

	maybeStored bool // an earlier write of the request got no answer: the request may be stored
}

// newRequest returns a request with the given name for the machines wanted.
func newRequest(name ids.ProvisioningRequest, wanted placement.ProvisioningRequest) provisioningRequest {
	return provisioningRequest{Name: name, Type: wanted.Type, Zone: wanted.Zone, Spot: wanted.Spot, Count: wanted.Count}
}

// placementRequest returns the requested machines in the form that package placement uses.
func (r provisioningRequest) placementRequest() placement.ProvisioningRequest {
	return placement.ProvisioningRequest{Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: r.Count}
}

// offer returns the offer that the cloud refuses if it refuses the request.
func (r provisioningRequest) offer() offer { return offer{r.Type, r.Zone, r.Spot} }
