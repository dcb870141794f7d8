package election

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// unclaimedCheckInterval spaces the readings of the store for the sake of machines that no
// provisioning request names.
const unclaimedCheckInterval = 500 * time.Millisecond

// The parts of a provisioning request's key, which is pool/~SHARD/hire/NAME.
const (
	shardKeyPrefix   = record.PoolPrefix + "~"
	requestKeyPrefix = "hire/"
)

// machineOwnership tells which shard each machine belongs to: the one whose stored provisioning
// request names it (docs/shards.md, "Whose machine"). A machine that no request names belongs to the
// first shard, but only once a reading of the store that began after the machine was first seen
// shows no request without an answer: its own was stored before it was sent.
type machineOwnership struct {
	requestsReadAt func() time.Time // when the last complete read of the requests began

	// mu guards what follows; nothing is called under it.
	mu         sync.Mutex
	requests   map[string]provisioningRequest // by key
	machines   map[ids.Machine]ids.Shard      // that the requests name
	unanswered int                            // requests without an answer
	unclaimed  map[ids.Machine]time.Time      // that no request names, with when they were first seen
	adopted    map[ids.Machine]bool           // that nobody provisioned, and the first shard has
}

// storedRequest is what matters here of the stored form of a provisioning request.
type storedRequest struct {
	Hosts []ids.Machine `json:"hosts"`
}

// provisioningRequest is a stored request and the shard that it is of.
type provisioningRequest struct {
	shard    ids.Shard
	machines []ids.Machine // nil until the request is answered
}

func (r provisioningRequest) answered() bool { return r.machines != nil }

func newMachineOwnership(requestsReadAt func() time.Time) *machineOwnership {
	return &machineOwnership{
		requestsReadAt: requestsReadAt,
		requests:       map[string]provisioningRequest{},
		machines:       map[ids.Machine]ids.Shard{},
		unclaimed:      map[ids.Machine]time.Time{},
		adopted:        map[ids.Machine]bool{},
	}
}

// requestShard is the shard whose provisioning request is stored at a key, if one is.
func requestShard(key string) (shard ids.Shard, isRequest bool) {
	rest, found := strings.CutPrefix(key, shardKeyPrefix)
	if !found {
		return 0, false
	}
	number, rest, _ := strings.Cut(rest, "/")
	if json.Unmarshal([]byte(number), &shard) != nil || !strings.HasPrefix(rest, requestKeyPrefix) {
		return 0, false
	}
	return shard, true
}

// decodeRequest reads the value of a provisioning request's key. One that can't be read counts as
// not answered: which machines it provisioned is not known.
func decodeRequest(shard ids.Shard, value json.RawMessage) provisioningRequest {
	var stored storedRequest
	if json.Unmarshal(value, &stored) != nil {
		return provisioningRequest{shard: shard}
	}
	return provisioningRequest{shard: shard, machines: stored.Hosts}
}

// handleChange takes in a change of a key of the pool.
func (o *machineOwnership) handleChange(change state.Change) {
	shard, isRequest := requestShard(change.Key())
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

// removeRequest forgets the request at a key, if there is one. The caller holds the lock.
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

// addRequest takes in the request at a key. The caller holds the lock.
func (o *machineOwnership) addRequest(key string, request provisioningRequest) {
	o.requests[key] = request
	if !request.answered() {
		o.unanswered++
	}
	for _, machine := range request.machines {
		o.machines[machine] = request.shard
	}
}

// shardOf is the shard that a machine belongs to, if that is known already.
func (o *machineOwnership) shardOf(machine ids.Machine) (shard ids.Shard, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if shard, known = o.machines[machine]; known {
		delete(o.unclaimed, machine)
		return shard, true
	}
	if o.adopted[machine] {
		return 0, true
	}
	if _, seen := o.unclaimed[machine]; !seen {
		o.unclaimed[machine] = time.Now()
	}
	return 0, false
}

// resolveUnclaimed finds out, while there are machines that no request names, whether they are the
// first shard's, until the context ends.
func (o *machineOwnership) resolveUnclaimed(ctx context.Context, requests *state.WatchCache) {
	for ctx.Err() == nil {
		wait.For(ctx, unclaimedCheckInterval)
		if o.hasUnclaimed() && requests.Sync(ctx) == nil {
			o.adoptUnclaimed()
		}
	}
}

func (o *machineOwnership) hasUnclaimed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.unclaimed) > 0
}

// adoptUnclaimed gives the first shard the machines that surely nobody provisioned.
func (o *machineOwnership) adoptUnclaimed() {
	readAt := o.requestsReadAt()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unanswered > 0 {
		return
	}
	for machine, seenAt := range o.unclaimed {
		if seenAt.Before(readAt) {
			delete(o.unclaimed, machine)
			o.adopted[machine] = true
		}
	}
}
