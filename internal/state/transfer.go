package state

import (
	"context"
	"time"
)

// TransferFunc is a function that asks the other controllers for tokens for the given number of writes, and
// reports whether one of them gave all of them.
type TransferFunc func(ctx context.Context, writeCount int) bool

// Loans adapt within seconds, which is too slow for a burst of submissions at one controller: the jobs of a
// pipeline are submitted within a second over one connection. Transfers serve such bursts.
const (
	// transferTimeout is the longest time that a user's call waits for the other controllers.
	transferTimeout = 100 * time.Millisecond
	// transferPause is the time without further transfer requests after one that no controller
	// granted.
	transferPause = 250 * time.Millisecond
	// transferReserve is the share of its burst that a controller keeps for its own users.
	transferReserve = 0.5
)

// SetTransferSource sets the function that asks the other controllers for tokens. It must be called before
// the first call to the store.
func (b *Budget) SetTransferSource(request TransferFunc) { b.requestTransfer = request }

// GiveTokens gives tokens for the given number of writes to another controller, and reports whether it
// did. They are taken from this node's bucket before the other controller gets them, so that both never
// use the same tokens.
func (b *Budget) GiveTokens(writeCount int) bool {
	if writeCount <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.refreshRates(now)
	bucket := &b.userBucket
	left := bucket.writes.TokensAt(now) - bucket.queued.writes - float64(writeCount)
	if left < transferReserve*float64(bucket.writes.Burst()) {
		return false
	}
	bucket.usedWrites += writeCount
	return bucket.writes.AllowN(now, writeCount)
}

// acquireByTransfer takes the tokens for a user's call from another node if this node lacks tokens for
// writes, and reports whether it did. It does not ask if tokens for calls are missing too, since these
// cannot be transferred.
func (b *Budget) acquireByTransfer(ctx context.Context, writeCount int) bool {
	if b.requestTransfer == nil || !b.needsTransfer(writeCount) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	given := b.requestTransfer(ctx, writeCount)
	b.mu.Lock()
	defer b.mu.Unlock()
	if !given {
		b.noTransferUntil = time.Now().Add(transferPause)
		return false
	}
	if !b.userBucket.calls.AllowN(time.Now(), 1) {
		return false
	}
	b.userBucket.requestedWrites += float64(writeCount)
	return true
}

// needsTransfer reports whether a user's call would have to wait for tokens for writes, and only for them.
func (b *Budget) needsTransfer(writeCount int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.refreshRates(now)
	reserved := reserves[Sheddable]
	if now.Before(b.noTransferUntil) || b.userBucket.waitTime(cost{calls: 1}, cost{}, reserved) > 0 {
		return false
	}
	wanted := cost{1, float64(writeCount)}
	if b.isLeader() && b.leaderBucket.waitTime(wanted, cost{}, leaderReserve) <= 0 {
		return false
	}
	return b.userBucket.waitTime(wanted, b.userBucket.queued, reserved) > 0
}
