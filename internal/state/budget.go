package state

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/pebbletrail/pebbletrail/internal/measure"
)

// Urgency orders calls when there are more than the limits allow.
type Urgency int

const (
	// Urgent: renewals, settlements and markers, which keep what runs alive.
	Urgent Urgency = iota
	// Normal: news and housekeeping; waits.
	Normal
	// Spare: users' calls; refused at once while little is left, because a
	// user told when to come back is better off than one kept waiting.
	Spare
)

// reserve is the share of a bucket that less urgent calls leave untouched.
var reserve = [...]float64{Urgent: 0, Normal: 0.25, Spare: 0.15}

// maxWait bounds how long a call waits for tokens.
var maxWait = [...]time.Duration{Urgent: time.Second, Normal: 2 * time.Second, Spare: 0}

// Budget keeps one controller inside its part of the store's limits. The parts
// of all controllers add up to less than the whole, whoever owns the pool.
type Budget struct {
	mu        sync.Mutex
	calls     *rate.Limiter
	writes    *rate.Limiter
	rps, wps  float64
	own, rest share
}

// share is a controller's part of the calls and of the changes.
type share struct{ calls, writes float64 }

// headroom leaves a little of the limits unused: clocks drift, and a takeover
// briefly makes two owners.
const headroom = 0.92

// NewBudget splits the limits among n controllers, of which the pool's owner
// gets ownerShare.
func NewBudget(rps, wps float64, n int, ownerShare float64) *Budget {
	b := &Budget{rps: rps * headroom, wps: wps * headroom, own: share{1, 1}, rest: share{1, 1}}
	if n > 1 {
		// The owner makes most changes, in few calls; users' polls cost all
		// nodes alike.
		calls := ownerShare * 2 / 3
		b.own = share{calls, ownerShare}
		b.rest = share{(1 - calls) / float64(n-1), (1 - ownerShare) / float64(n-1)}
	}
	// Buckets begin full: the limits allow bursts of a second's worth.
	b.calls = rate.NewLimiter(rate.Limit(b.rps*b.rest.calls), burst(b.rps*b.rest.calls))
	b.writes = rate.NewLimiter(rate.Limit(b.wps*b.rest.writes), burst(b.wps*b.rest.writes))
	return b
}

func burst(perSecond float64) int { return max(4, int(perSecond)) }

// SetOwner changes to the owner's part or back.
func (b *Budget) SetOwner(owner bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	part := b.rest
	if owner {
		part = b.own
	}
	set := func(l *rate.Limiter, v float64) {
		l.SetLimit(rate.Limit(v))
		l.SetBurst(burst(v))
	}
	set(b.calls, b.rps*part.calls)
	set(b.writes, b.wps*part.writes)
}

// WriteBurst is the most changes one transaction may carry now.
func (b *Budget) WriteBurst() int { return b.writes.Burst() }

// RetryAfter is when a refused user may find tokens again.
func (b *Budget) RetryAfter() time.Duration {
	return time.Second
}

func (b *Budget) take(ctx context.Context, u Urgency, writes int) error {
	deadline := time.Now().Add(maxWait[u])
	for {
		b.mu.Lock()
		wait := b.shortfall(u, writes)
		if wait <= 0 {
			b.calls.AllowN(time.Now(), 1)
			if writes > 0 {
				b.writes.AllowN(time.Now(), writes)
			}
			b.mu.Unlock()
			return nil
		}
		b.mu.Unlock()
		if time.Now().Add(wait).After(deadline) {
			measure.Process.Count("refused for lack of tokens", 1)
			return fmt.Errorf("%w: own budget", ErrRefused)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: own budget: %v", ErrRefused, ctx.Err())
		case <-time.After(wait):
		}
	}
}

// shortfall is how long until the call could be let through.
func (b *Budget) shortfall(u Urgency, writes int) time.Duration {
	lack := func(l *rate.Limiter, n float64) time.Duration {
		need := min(n+reserve[u]*float64(l.Burst()), float64(l.Burst()))
		miss := need - l.Tokens()
		if miss <= 0 {
			return 0
		}
		return time.Duration(miss/float64(l.Limit())*float64(time.Second)) + time.Millisecond
	}
	wait := lack(b.calls, 1)
	if writes > 0 {
		wait = max(wait, lack(b.writes, float64(writes)))
	}
	return wait
}
