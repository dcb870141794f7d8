package state

import (
	"time"
)

// loan is changes a second lent (below zero) or borrowed until it ends.
type loan struct {
	rate float64
	ends time.Time
}

// How long a lender keeps its promise, and the borrower counts on it. The
// borrower counts from before it asked, so that no delay makes both use the
// same tokens.
const (
	lentFor     = 2500 * time.Millisecond
	borrowedFor = 2 * time.Second
)

// Wants is how many more changes a second this node could use now; 0 if it
// gets by. It goes by what was asked for lately, with a margin for what comes at
// random: one that asked for more only when it had refused somebody would refuse
// somebody every time its loans end.
func (b *Budget) Wants() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	want, now := 0.0, time.Now()
	for _, k := range b.buckets() {
		dt := max(0.2, now.Sub(k.told).Seconds())
		k.pace = max(k.asked/dt, 0.8*k.pace)
		k.asked, k.told = 0, now
		// What the leader writes may wait a little for its turn, a user's may not.
		margin := 1.7
		if k == &b.pool {
			margin = 1.2
		}
		more := margin*k.pace - k.base
		if k.short > 0 {
			more = max(more, k.base)
		}
		want += max(0, min(more, 4*k.base))
		k.short = 0
	}
	return want
}

// Lend promises part of what this node does not use to another.
func (b *Budget) Lend(want float64) float64 {
	if !(want > 0) {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.settle(now)
	k := b.main()
	dt := now.Sub(k.since).Seconds()
	if dt < 0.5 {
		return 0
	}
	using := float64(k.used) / dt
	if dt > 3 {
		k.used, k.since = 0, now
	}
	if k.short > 0 {
		return 0
	}
	// What a node used a moment ago comes again, and in clumps.
	got := min(want, float64(k.writes.Limit())-max(1.5*max(using, k.pace)+1, k.base/2))
	if got < 0.5 {
		return 0
	}
	b.loans = append(b.loans, loan{-got, now.Add(lentFor)})
	b.settle(now)
	return got
}

// Borrowed adds what another node promised in answer to a request sent then.
func (b *Budget) Borrowed(perSecond float64, sent time.Time) {
	if !(perSecond > 0) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loans = append(b.loans, loan{perSecond, sent.Add(borrowedFor)})
	b.settle(time.Now())
}
