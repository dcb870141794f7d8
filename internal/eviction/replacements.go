package eviction

import (
	"slices"
	"strings"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

// replacementTracker tracks the machines that are provisioned to replace others.
type replacementTracker struct {
	orders *orderSet
	// provisioned contains the machines provisioned for each request for replacements.
	provisioned map[ids.ProvisioningRequest][]ids.Machine
	// lost contains the replacements that failed while they were observed, with the reasons.
	lost map[ids.Machine]string
}

// toProvision returns the requests of rollouts that are not answered yet.
func (r *replacementTracker) toProvision() []rollout.ProvisioningRequest {
	if !r.orders.known() {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(r.orders.current.Provisioning), func(request rollout.ProvisioningRequest) bool {
		_, answered := r.provisioned[request.Name]
		return answered
	})
}

// recordProvisioned records the machines provisioned for a request, if it is a request for replacements.
func (r *replacementTracker) recordProvisioned(name ids.ProvisioningRequest, machines []ids.Machine) {
	if strings.HasPrefix(string(name), rollout.ReplacementPrefix) {
		r.provisioned[name] = machines
	}
}

// recordLost records why a replacement failed, if a rollout is still observing it.
func (r *replacementTracker) recordLost(name ids.Machine, reason string) {
	if r.orders.observes(name) {
		r.lost[name] = reason
	}
}
