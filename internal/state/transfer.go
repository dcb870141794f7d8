package state

import (
	"context"
	"time"
)

// RequestTransfer asks the other controllers for changes that they need not make now, and tells
// whether one of them gave as many.
type RequestTransfer func(ctx context.Context, changes int) bool

// Loans follow the pace of seconds; a transfer serves a burst of submissions at one controller: a
// pipeline comes within a second, over one connection.
const (
	// transferTimeout bounds how long a user's call waits for the others' answer.
	transferTimeout = 100 * time.Millisecond
	// transferPause is how long nobody is asked after all had nothing to give.
	transferPause = 250 * time.Millisecond
	// transferReserve is the share of its burst that a controller keeps for its own users.
	transferReserve = 0.5
)

// SetTransferSource sets the way to the other controllers. It is called before the first call.
func (b *Budget) SetTransferSource(request RequestTransfer) { b.transferFrom = request }

// TransferOut takes changes out of this node's part for another controller. They are gone here
// before the other one has them, so both never use the same.
func (b *Budget) TransferOut(changes int) bool {
	if changes <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.refreshRates(now)
	bucket := &b.users
	left := bucket.writes.TokensAt(now) - bucket.queued.writes - float64(changes)
	if left < transferReserve*float64(bucket.writes.Burst()) {
		return false
	}
	bucket.usedWrites += changes
	return bucket.writes.AllowN(now, changes)
}

// acquireByTransfer gets a user's call the changes that this node lacks from another one. It is not
// tried if calls are scarce too, since these can't be given.
func (b *Budget) acquireByTransfer(ctx context.Context, changes int) bool {
	if b.transferFrom == nil || !b.needsTransfer(changes) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	given := b.transferFrom(ctx, changes)
	b.mu.Lock()
	defer b.mu.Unlock()
	if !given {
		b.noTransferUntil = time.Now().Add(transferPause)
		return false
	}
	if !b.users.calls.AllowN(time.Now(), 1) {
		return false
	}
	b.users.askedWrites += float64(changes)
	return true
}

// needsTransfer tells whether a user's call would have to wait for changes, and for them alone.
func (b *Budget) needsTransfer(changes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.refreshRates(now)
	reserved := reserves[Sheddable]
	if now.Before(b.noTransferUntil) || b.users.waitFor(cost{calls: 1}, cost{}, reserved) > 0 {
		return false
	}
	wanted := cost{1, float64(changes)}
	if b.isLeader() && b.leader.waitFor(wanted, cost{}, leaderReserve) <= 0 {
		return false
	}
	return b.users.waitFor(wanted, b.users.queued, reserved) > 0
}
