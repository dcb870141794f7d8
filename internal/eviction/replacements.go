package eviction

import (
	"slices"
	"strings"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

// replacementTracker tracks the machines that are provisioned to replace others.
type replacementTracker struct {
	orders *orderBook
	// provisioned are the machines provisioned for requests of replacements.
	provisioned map[ids.ProvisioningRequest][]ids.Machine
	// lost are replacements that were given up while they were observed, and why.
	lost map[ids.Machine]string
}

// toProvision returns the requests of rollouts that were not answered yet.
func (r *replacementTracker) toProvision() []rollout.ProvisioningRequest {
	if !r.orders.known() {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(r.orders.current.Provisioning), func(request rollout.ProvisioningRequest) bool {
		_, answered := r.provisioned[request.Name]
		return answered
	})
}

// recordProvisioned records the machines provisioned for a request, if it was one for replacements.
func (r *replacementTracker) recordProvisioned(name ids.ProvisioningRequest, machines []ids.Machine) {
	if strings.HasPrefix(string(name), rollout.ReplacementPrefix) {
		r.provisioned[name] = machines
	}
}

// recordLost records why a replacement was given up, if a rollout still observed it.
func (r *replacementTracker) recordLost(name ids.Machine, reason string) {
	if r.orders.keeps(name) {
		r.lost[name] = reason
	}
}
