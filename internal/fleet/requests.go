package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// maxPerRequest is the maximum number of machines in one request.
const maxPerRequest = 50

// requests holds the provisioning requests of a leader by their progress.
type requests struct {
	sequence    int                   // sequence number of the last request made
	unconfirmed []provisioningRequest // possibly stored; not sent before the write is confirmed
	outstanding []provisioningRequest // stored, without a definite answer from the cloud
	// fulfilled are the answered requests that stay stored with the names of their machines.
	fulfilled map[ids.ProvisioningRequest]provisioningRequest
}

// anyOutstanding reports whether any request may provision machines that are not known yet.
func (r *requests) anyOutstanding() bool { return len(r.unconfirmed) > 0 || len(r.outstanding) > 0 }

// isOutstanding reports whether a request of that name may still lack an answer.
func (r *requests) isOutstanding(name ids.ProvisioningRequest) bool {
	matchesName := func(request provisioningRequest) bool { return request.Name == name }
	return slices.ContainsFunc(r.outstanding, matchesName) || slices.ContainsFunc(r.unconfirmed, matchesName)
}

// removeOutstanding removes a request that was answered from the outstanding requests.
func (r *requests) removeOutstanding(name ids.ProvisioningRequest) {
	index := slices.IndexFunc(r.outstanding, func(request provisioningRequest) bool { return request.Name == name })
	if index >= 0 {
		r.outstanding = slices.Delete(r.outstanding, index, index+1)
	}
}

// addFulfilled adds a request that is stored with its machines, unless it has none.
func (r *requests) addFulfilled(request provisioningRequest) {
	if r.fulfilled == nil {
		r.fulfilled = map[ids.ProvisioningRequest]provisioningRequest{}
	}
	if len(request.Machines) > 0 {
		r.fulfilled[request.Name] = request
	}
}

// removeMachine removes a deleted machine from its request. If it was the last machine, removeMachine also
// removes the request and returns its name.
func (r *requests) removeMachine(machine ids.Machine) (emptied ids.ProvisioningRequest, isEmpty bool) {
	for name, request := range r.fulfilled {
		index := slices.Index(request.Machines, machine)
		if index < 0 {
			continue
		}
		request.Machines = slices.Delete(slices.Clone(request.Machines), index, index+1)
		r.fulfilled[name] = request
		if len(request.Machines) == 0 {
			delete(r.fulfilled, name)
			return name, true
		}
		return "", false
	}
	return "", false
}

// LoadRequests loads the requests that an earlier leader stored. Those without an answer are sent again, which
// reveals the machines that they provisioned.
func (p *Provisioner) LoadRequests(entries []state.Entry) {
	for _, entry := range entries {
		var request provisioningRequest
		if err := exactjson.Unmarshal(entry.Value, &request); err != nil || request.Name == "" {
			continue
		}
		if request.Machines == nil {
			p.requests.outstanding = append(p.requests.outstanding, request)
			continue
		}
		p.requests.addFulfilled(request)
		p.Cluster.MachinesProvisioned(request.Machines, request.placementRequest(), time.Now())
	}
}

// provision stores a new request and then sends it. Because it is stored first, a later leader can find out
// what it provisioned, and no name is ever used for two requests.
func (p *Provisioner) provision(ctx context.Context, wanted placement.ProvisioningRequest) {
	p.requests.sequence++
	wanted.Count = min(wanted.Count, maxPerRequest)
	p.storeAndSend(ctx, newRequest(p.requestName(), wanted))
}

// requestName returns the name of the next request. It contains the shard if there are several: their
// generations may be equal, but the names of requests must differ.
func (p *Provisioner) requestName() ids.ProvisioningRequest {
	if p.Owns == nil {
		return ids.ProvisioningRequest(fmt.Sprintf("h-%d-%d", p.Generation, p.requests.sequence))
	}
	return ids.ProvisioningRequest(fmt.Sprintf("h-s%d-%d-%d", p.Shard, p.Generation, p.requests.sequence))
}

func (p *Provisioner) storeAndSend(ctx context.Context, request provisioningRequest) {
	if p.storeRequest(ctx, request) {
		p.sendRequest(ctx, request)
	}
}

// retryRequests stores requests again whose write was not confirmed, and sends requests again that have no
// answer.
func (p *Provisioner) retryRequests(ctx context.Context) {
	unconfirmed := p.requests.unconfirmed
	p.requests.unconfirmed = nil
	for _, request := range unconfirmed {
		p.storeRequest(ctx, request)
	}
	for _, request := range slices.Clone(p.requests.outstanding) {
		p.sendRequest(ctx, request)
	}
}

// storeRequest stores a request and reports whether the write was confirmed. If the answer was lost, the
// write may still be executed, even after later writes of this leader; the request is therefore stored
// again and not dropped.
func (p *Provisioner) storeRequest(ctx context.Context, request provisioningRequest) bool {
	err := p.putRequest(ctx, request)
	if err == nil {
		p.requests.outstanding = append(p.requests.outstanding, request)
		return true
	}
	slog.Debug("failed to store provisioning request", "request", request.Name, "err", err)
	var conflict *state.ConflictError
	if !errors.As(err, &conflict) && (errors.Is(err, state.ErrOutcomeUnknown) || request.maybeStored) {
		request.maybeStored = true
		p.requests.unconfirmed = append(p.requests.unconfirmed, request)
	}
	return false
}

// sendRequest sends a stored request and processes the answer. Without an answer the request stays
// outstanding and is sent again under the same name.
func (p *Provisioner) sendRequest(ctx context.Context, request provisioningRequest) {
	machines, err := p.Cloud.provision(ctx, request, p.ConfirmLeadership)
	switch {
	case err == nil && p.Owns != nil && !p.storeMachines(ctx, request, machines):
		return // the request is sent again, which provisions nothing more
	case err == nil:
		p.registerMachines(request, machines)
	case errors.Is(err, errNoCapacity):
		p.markRefused(request.offer(), refusalPeriod)
	case errors.Is(err, errMalformed):
		slog.Error("cloud rejected provisioning request as malformed", "request", request.Name, "err", err)
		p.markRefused(request.offer(), malformedPeriod)
	default:
		return
	}
	if _, fulfilled := p.requests.fulfilled[request.Name]; !fulfilled {
		p.removeRequest(ctx, request.Name)
	}
	p.requests.removeOutstanding(request.Name)
}

// registerMachines adds the machines of a request to the cluster state.
func (p *Provisioner) registerMachines(request provisioningRequest, machines []ids.Machine) {
	slog.Info("machines provisioned", "request", request.Name, "type", request.Type, "zone", request.Zone, "spot", request.Spot,
		"asked", request.Count, "got", len(machines))
	p.Cluster.MachinesProvisioned(machines, request.placementRequest(), time.Now())
	p.Cluster.ReplacementsProvisioned(request.Name, machines)
	if len(machines) < request.Count {
		p.markRefused(request.offer(), refusalPeriod)
	}
}

// storeMachines stores which machines a request provisioned, before any task is started on them. From
// then on this shard owns the machines.
func (p *Provisioner) storeMachines(ctx context.Context, request provisioningRequest, machines []ids.Machine) bool {
	request.Machines = machines
	if err := p.putRequest(ctx, request); err != nil {
		slog.Debug("failed to store the machines of a provisioning request", "request", request.Name, "err", err)
		return false
	}
	p.requests.addFulfilled(request)
	return true
}

// putRequest writes a request with its present content to the store.
func (p *Provisioner) putRequest(ctx context.Context, request provisioningRequest) error {
	raw, err := json.Marshal(request)
	if err != nil {
		return err
	}
	return p.Store.Apply(ctx, []state.Op{{Put: p.requestKey(request.Name), Value: raw}})
}

// removeRequest removes a request from the store.
func (p *Provisioner) removeRequest(ctx context.Context, name ids.ProvisioningRequest) {
	if err := p.Store.Apply(ctx, []state.Op{{Remove: p.requestKey(name)}}); err != nil {
		slog.Debug("failed to remove provisioning request from the store", "request", name, "err", err)
	}
}

func (p *Provisioner) requestKey(name ids.ProvisioningRequest) string {
	return p.Keys.ProvisioningRequests() + string(name)
}
