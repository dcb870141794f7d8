package fleet

import (
	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
)

// The JSON names in this file are the cloud's; they are mapped to the project's terms here.

// typesAnswer holds the machine types on offer.
type typesAnswer struct {
	Types []placement.InstanceType `json:"builds"`
}

// listAnswer is one page of the machine list.
type listAnswer struct {
	Hosts []listedHost `json:"hosts"`
	More  bool         `json:"more"`
}

// listedHost is one machine of the list. Its fields have the cloud's names.
type listedHost struct {
	UID      ids.Machine `json:"uid"`
	Endpoint string      `json:"endpoint"`
	Build    string      `json:"build"`
	Yard     string      `json:"yard"`
	Loaners  bool        `json:"loaners"`
	Status   string      `json:"status"`
	HeldS    ids.Seconds `json:"heldS"`
}

// machines is the page in the project's terms.
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

// machineNames are the machines provisioned, or those to delete.
type machineNames struct {
	Machines []ids.Machine `json:"hosts"`
}

// provisioningRequest asks the cloud for machines. It is stored in this form before it is sent, so
// that whoever is leader next can learn what it provisioned.
type provisioningRequest struct {
	// Name makes the request idempotent.
	Name  ids.ProvisioningRequest `json:"hire"`
	Type  string                  `json:"build"`
	Zone  string                  `json:"yard"`
	Spot  bool                    `json:"loaners"`
	Count int                     `json:"count"`
	// Machines are those provisioned, once that is known, where several shards have to tell whose
	// they are.
	Machines []ids.Machine `json:"hosts,omitempty"`

	attempted bool // to store it was tried without an answer: its name may be stored
}

// newRequest makes a request for what the placement wants.
func newRequest(name ids.ProvisioningRequest, wanted placement.ProvisioningRequest) provisioningRequest {
	return provisioningRequest{Name: name, Type: wanted.Type, Zone: wanted.Zone, Spot: wanted.Spot, Count: wanted.Count}
}

// wanted is what the request asks for.
func (r provisioningRequest) wanted() placement.ProvisioningRequest {
	return placement.ProvisioningRequest{Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: r.Count}
}

// offer is what the request would be refused for.
func (r provisioningRequest) offer() offer { return offer{r.Type, r.Zone, r.Spot} }
