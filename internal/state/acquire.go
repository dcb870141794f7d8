package state

import (
	"context"
	"fmt"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/measure"
)

// Priority determines which calls to the store get tokens first while the rate limits do not allow all
// calls.
type Priority int

const (
	// Urgent calls renew leases, store results of tasks or store assignments, which must be stored
	// before tasks start. Running tasks depend on these calls.
	Urgent Priority = iota
	// Normal calls read changes or do maintenance. They wait for tokens.
	Normal
	// Sheddable calls are those of users. While few tokens are left they are rejected immediately,
	// because telling a user when to retry is better than keeping the user waiting. They wait only
	// if the next token is due within a fraction of a second, so that a few simultaneous requests
	// are not rejected although the rate is sufficient for all of them.
	Sheddable
)

// reserves holds, for each priority, the share of a bucket's tokens that its calls must not use.
var reserves = [...]float64{Urgent: 0, Normal: 0.25, Sheddable: 0.15}

// leaderReserve is the share of the leader bucket's tokens that calls of users must not use.
const leaderReserve = 0.5

// maxWaits holds the longest time that a call of each priority waits for tokens.
var maxWaits = [...]time.Duration{Urgent: time.Second, Normal: 2 * time.Second, Sheddable: 300 * time.Millisecond}

// tokenRequest is a call's request for tokens, which may be tried several times.
type tokenRequest struct {
	priority  Priority
	cost      cost
	deadline  time.Time
	attempted bool         // whether it was tried before
	queuedAt  *tokenBucket // the bucket that it waits for; nil while it does not wait
}

// enqueue adds the request's cost to the queue of a bucket.
func (r *tokenRequest) enqueue(bucket *tokenBucket) {
	bucket.queued = bucket.queued.plus(r.cost)
	r.queuedAt = bucket
}

// dequeue subtracts the request's cost from the queue that it waits in, if any.
func (r *tokenRequest) dequeue() {
	if r.queuedAt != nil {
		r.queuedAt.queued = r.queuedAt.queued.minus(r.cost)
		r.queuedAt = nil
	}
}

// acquire takes tokens for one call that makes the given number of writes, and waits for them if
// necessary. If they do not become available in time it returns ErrRefused.
func (b *Budget) acquire(ctx context.Context, priority Priority, writes int) error {
	if priority == Sheddable && writes > 0 && b.acquireByTransfer(ctx, writes) {
		return nil
	}
	request := &tokenRequest{priority: priority, cost: cost{1, float64(writes)}, deadline: time.Now().Add(maxWaits[priority])}
	for {
		wait, inTime := b.tryAcquire(request)
		if !inTime {
			measure.Default.Count("refused for lack of tokens", 1)
			return fmt.Errorf("%w: no tokens left in this controller's budget", ErrRefused)
		}
		if wait <= 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			b.cancelRequest(request)
			return fmt.Errorf("%w: waiting for tokens of this controller's budget: %v", ErrRefused, ctx.Err())
		case <-time.After(wait):
		}
	}
}

func (b *Budget) cancelRequest(request *tokenRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	request.dequeue()
}

// tryAcquire takes the tokens, or returns how long to wait before the next attempt and whether that
// attempt is within the request's deadline.
func (b *Budget) tryAcquire(request *tokenRequest) (wait time.Duration, inTime bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	request.dequeue()
	b.refreshRates(time.Now())
	bucket, reserved := b.bucketFor(request)
	var ahead cost
	if !request.attempted && request.priority == Sheddable {
		ahead = bucket.queued
	}
	wait = bucket.waitTime(request.cost, ahead, reserved)
	if !request.attempted {
		b.recordDemand(request, bucket, wait > 0)
	}
	request.attempted = true
	if wait <= 0 {
		bucket.spend(request.cost)
		return 0, true
	}
	inTime = !time.Now().Add(wait).After(request.deadline)
	if inTime && request.priority == Sheddable {
		request.enqueue(bucket)
	}
	return wait, inTime
}

// bucketFor returns the bucket for a request, and the share of its tokens that the request must not use.
func (b *Budget) bucketFor(request *tokenRequest) (bucket *tokenBucket, reserved float64) {
	reserved = reserves[request.priority]
	if request.priority != Sheddable || !b.isLeader() {
		return b.primaryBucket(), reserved
	}
	// The leader's writes must not starve its users' calls. Users have a bucket of their own and
	// may use tokens that the leader does not need.
	if b.userBucket.waitTime(request.cost, cost{}, reserved) > 0 && b.leaderBucket.waitTime(request.cost, cost{}, leaderReserve) <= 0 {
		return &b.leaderBucket, leaderReserve
	}
	return &b.userBucket, reserved
}

// recordDemand records on the request's own bucket how many writes were requested and whether tokens
// were missing. Users' requests count on the users' bucket even if the leader's bucket serves them.
func (b *Budget) recordDemand(request *tokenRequest, bucket *tokenBucket, shortfall bool) {
	if request.priority == Sheddable {
		bucket = &b.userBucket
	}
	bucket.requestedWrites += request.cost.writes
	if shortfall && request.cost.writes > 0 {
		bucket.shortfalls++
	}
}
