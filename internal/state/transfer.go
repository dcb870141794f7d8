package state

import (
	"context"
	"time"
)

// RequestTransfer asks the other controllers for changes of the state service that they
// need not make now, and tells whether one of them gave as many.
type RequestTransfer func(ctx context.Context, changes int) bool

// Loans follow the pace of seconds; a transfer serves a clump of submissions at one
// controller: a pipeline comes within a second, over one connection.
const (
	// transferWait bounds how long a user's call waits for the others' answer.
	transferWait = 100 * time.Millisecond
	// transferPause is how long nobody is asked after all had nothing to give.
	transferPause = 250 * time.Millisecond
	// transferKeep is the share of its burst that a controller keeps for its own users.
	transferKeep = 0.5
)

// SetTransfers names the way to the other controllers. It is called before the first call.
func (b *Budget) SetTransfers(ask RequestTransfer) { b.others = ask }

// TransferOut takes changes out of this node's part for another controller. They are gone
// here before the other one has them, so both never use the same.
func (b *Budget) TransferOut(changes int) bool {
	if changes <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.settle(now)
	k := &b.users
	left := k.writes.TokensAt(now) - k.queue.writes - float64(changes)
	if left < transferKeep*float64(k.writes.Burst()) {
		return false
	}
	k.used += changes
	return k.writes.AllowN(now, changes)
}

// transferIn gets a user's call the changes that this node lacks from another one. It is
// not tried if calls are scarce too, since these can't be given.
func (b *Budget) transferIn(ctx context.Context, changes int) bool {
	if b.others == nil || !b.wantsTransfer(changes) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, transferWait)
	defer cancel()
	given := b.others(ctx, changes)
	b.mu.Lock()
	defer b.mu.Unlock()
	if !given {
		b.noTransfers = time.Now().Add(transferPause)
		return false
	}
	if !b.users.calls.AllowN(time.Now(), 1) {
		return false
	}
	b.users.asked += float64(changes)
	return true
}

// wantsTransfer tells whether a user's call would have to wait for changes, and for them alone.
func (b *Budget) wantsTransfer(changes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.settle(now)
	if now.Before(b.noTransfers) || b.users.shortfall(reserve[Spare], need{calls: 1}, need{}) > 0 {
		return false
	}
	mine := need{1, float64(changes)}
	if b.leads && b.pool.shortfall(poolReserve, mine, need{}) <= 0 {
		return false
	}
	return b.users.shortfall(reserve[Spare], mine, b.users.queue) > 0
}
