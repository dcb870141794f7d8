package state

import (
	"context"
	"fmt"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/measure"
)

// Priority orders calls when there are more than the limits allow.
type Priority int

const (
	// Urgent calls are lease renewals, outcomes of tasks and markers, which keep what runs alive.
	Urgent Priority = iota
	// Normal calls, for reading changes and for upkeep, wait for tokens.
	Normal
	// Sheddable calls, those of users, are shed at once while little is left, because a user told
	// when to come back is better off than one kept waiting. Only for a token that is due within
	// a fraction of a second they wait: a few requests that come together must not be sent away
	// by a rate that serves them all.
	Sheddable
)

// reserves are the shares of a bucket that calls leave untouched.
var reserves = [...]float64{Urgent: 0, Normal: 0.25, Sheddable: 0.15}

// leaderReserve is the share of the leader's bucket that its users leave untouched.
const leaderReserve = 0.5

// maxWaits bound how long a call waits for tokens.
var maxWaits = [...]time.Duration{Urgent: time.Second, Normal: 2 * time.Second, Sheddable: 300 * time.Millisecond}

// tokenRequest is one call that asks for tokens, perhaps several times.
type tokenRequest struct {
	priority Priority
	cost     cost
	deadline time.Time
	retried  bool         // it has asked before
	queuedAt *tokenBucket // where it waits; nil while it doesn't
}

// enqueue counts the request among those that wait at a bucket.
func (r *tokenRequest) enqueue(bucket *tokenBucket) {
	bucket.queued = bucket.queued.plus(r.cost)
	r.queuedAt = bucket
}

// dequeue takes the request out of the queue that it waits in, if any.
func (r *tokenRequest) dequeue() {
	if r.queuedAt != nil {
		r.queuedAt.queued = r.queuedAt.queued.minus(r.cost)
		r.queuedAt = nil
	}
}

// acquire waits for the tokens of a call that makes so many changes. The error is ErrRefused.
func (b *Budget) acquire(ctx context.Context, priority Priority, writes int) error {
	if priority == Sheddable && writes > 0 && b.acquireByTransfer(ctx, writes) {
		return nil
	}
	request := &tokenRequest{priority: priority, cost: cost{1, float64(writes)}, deadline: time.Now().Add(maxWaits[priority])}
	for {
		wait, inTime := b.tryAcquire(request)
		if !inTime {
			measure.Process.Count("refused for lack of tokens", 1)
			return fmt.Errorf("%w: own budget", ErrRefused)
		}
		if wait <= 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			b.cancelRequest(request)
			return fmt.Errorf("%w: own budget: %v", ErrRefused, ctx.Err())
		case <-time.After(wait):
		}
	}
}

func (b *Budget) cancelRequest(request *tokenRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	request.dequeue()
}

// tryAcquire takes the tokens, or tells how long to wait before the next try, and whether that is
// within the request's deadline.
func (b *Budget) tryAcquire(request *tokenRequest) (wait time.Duration, inTime bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	request.dequeue()
	b.refreshRates(time.Now())
	bucket, reserved := b.bucketFor(request)
	var ahead cost
	if !request.retried && request.priority == Sheddable {
		ahead = bucket.queued
	}
	wait = bucket.waitFor(request.cost, ahead, reserved)
	if !request.retried {
		b.noteDemand(request, bucket, wait > 0)
	}
	request.retried = true
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

// bucketFor picks the bucket for a request, and the share of it to leave untouched.
func (b *Budget) bucketFor(request *tokenRequest) (bucket *tokenBucket, reserved float64) {
	reserved = reserves[request.priority]
	if request.priority != Sheddable || !b.isLeader() {
		return b.primary(), reserved
	}
	// The leader's changes must not crowd out its users, who have a part of their own and may
	// use what the leader does not.
	if b.users.waitFor(request.cost, cost{}, reserved) > 0 && b.leader.waitFor(request.cost, cost{}, leaderReserve) <= 0 {
		return &b.leader, leaderReserve
	}
	return &b.users, reserved
}

// noteDemand counts what a request asks for, and whether it was there, on the bucket that is the
// request's own.
func (b *Budget) noteDemand(request *tokenRequest, bucket *tokenBucket, short bool) {
	if request.priority == Sheddable {
		bucket = &b.users
	}
	bucket.askedWrites += request.cost.writes
	if short && request.cost.writes > 0 {
		bucket.shortfalls++
	}
}
