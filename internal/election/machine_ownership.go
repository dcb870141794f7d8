package election

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// unclaimedCheckInterval is the interval at which the store is read while there are machines that no
// provisioning request names.
const unclaimedCheckInterval = 500 * time.Millisecond

// Parts of a provisioning request's key, which has the form pool/~SHARD/hire/NAME.
const (
	shardKeyPrefix   = record.PoolPrefix + "~"
	requestKeyPrefix = "hire/"
)

// machineOwnership maps each machine to the shard that it belongs to: the shard whose stored provisioning
// request names the machine (docs/shards.md, "Whose machine"). A machine that no request names belongs to
// the first shard. That is certain only once a read of the store that began after the machine was first
// seen shows no unanswered request: a request is stored before it is sent, so the machine's own request
// would be among those read.
type machineOwnership struct {
	requestsReadAt func() time.Time // returns when the last complete read of the requests began

	// mu guards the fields below. No other lock is acquired and no callback runs while it is held.
	mu                 sync.Mutex
	requests           map[string]provisioningRequest // by key
	machines           map[ids.Machine]ids.Shard      // machines that requests name
	unanswered         int                            // number of unanswered requests
	unclaimed          map[ids.Machine]time.Time      // machines that no request names, and when first seen
	firstShardMachines map[ids.Machine]bool           // machines without a request, assigned to the first shard
}

// storedRequest contains the fields of a stored provisioning request that are used here.
type storedRequest struct {
	Hosts []ids.Machine `json:"hosts"`
}

// provisioningRequest is a stored provisioning request of a shard.
type provisioningRequest struct {
	shard    ids.Shard
	machines []ids.Machine // provisioned machines; nil until the request is answered
}

func (r provisioningRequest) answered() bool { return r.machines != nil }

func newMachineOwnership(requestsReadAt func() time.Time) *machineOwnership {
	return &machineOwnership{
		requestsReadAt:     requestsReadAt,
		requests:           map[string]provisioningRequest{},
		machines:           map[ids.Machine]ids.Shard{},
		unclaimed:          map[ids.Machine]time.Time{},
		firstShardMachines: map[ids.Machine]bool{},
	}
}

// parseRequestKey returns the shard of the provisioning request with the given key; isRequest is false if the
// key is not one of a provisioning request.
func parseRequestKey(key string) (shard ids.Shard, isRequest bool) {
	rest, found := strings.CutPrefix(key, shardKeyPrefix)
	if !found {
		return 0, false
	}
	number, rest, _ := strings.Cut(rest, "/")
	if exactjson.Unmarshal([]byte(number), &shard) != nil || !strings.HasPrefix(rest, requestKeyPrefix) {
		return 0, false
	}
	return shard, true
}

// decodeRequest decodes a stored provisioning request. If the value can't be decoded, the request counts as
// unanswered, since the machines that it provisioned are not known.
func decodeRequest(shard ids.Shard, value json.RawMessage) provisioningRequest {
	var stored storedRequest
	if exactjson.Unmarshal(value, &stored) != nil {
		return provisioningRequest{shard: shard}
	}
	return provisioningRequest{shard: shard, machines: stored.Hosts}
}

// handleChange handles a change of one of the pool's keys.
func (o *machineOwnership) handleChange(change state.Change) {
	shard, isRequest := parseRequestKey(change.Key())
	if !isRequest {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.removeRequest(change.Key())
	if change.Put != "" {
		o.addRequest(change.Key(), decodeRequest(shard, change.Value))
	}
}

// removeRequest removes the request with the given key, if there is one. The caller holds mu.
func (o *machineOwnership) removeRequest(key string) {
	request, known := o.requests[key]
	if !known {
		return
	}
	delete(o.requests, key)
	if !request.answered() {
		o.unanswered--
	}
	for _, machine := range request.machines {
		delete(o.machines, machine)
	}
}

// addRequest adds a request and its machines. The caller holds mu.
func (o *machineOwnership) addRequest(key string, request provisioningRequest) {
	o.requests[key] = request
	if !request.answered() {
		o.unanswered++
	}
	for _, machine := range request.machines {
		o.machines[machine] = request.shard
	}
}

// shardOf returns the shard that a machine belongs to; known is false if that is not known yet.
func (o *machineOwnership) shardOf(machine ids.Machine) (shard ids.Shard, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if shard, known = o.machines[machine]; known {
		delete(o.unclaimed, machine)
		return shard, true
	}
	if o.firstShardMachines[machine] {
		return 0, true
	}
	if _, seen := o.unclaimed[machine]; !seen {
		o.unclaimed[machine] = time.Now()
	}
	return 0, false
}

// resolveUnclaimed determines whether machines that no request names belong to the first shard. It runs until
// the context ends and reads the store only while there are such machines.
func (o *machineOwnership) resolveUnclaimed(ctx context.Context, requests *state.WatchCache) {
	for ctx.Err() == nil {
		wait.For(ctx, unclaimedCheckInterval)
		if o.hasUnclaimed() && requests.Sync(ctx) == nil {
			o.assignUnclaimed()
		}
	}
}

func (o *machineOwnership) hasUnclaimed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.unclaimed) > 0
}

// assignUnclaimed assigns to the first shard the machines that certainly have no provisioning request.
func (o *machineOwnership) assignUnclaimed() {
	readAt := o.requestsReadAt()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unanswered > 0 {
		return
	}
	for machine, seenAt := range o.unclaimed {
		if seenAt.Before(readAt) {
			delete(o.unclaimed, machine)
			o.firstShardMachines[machine] = true
		}
	}
}
