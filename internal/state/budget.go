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
	// user told when to come back is better off than one kept waiting. Only for a
	// token that is due within a fraction of a second they wait: a few requests
	// that come together must not be sent away by a rate that serves them all.
	Spare
)

// reserve is the share of a bucket that less urgent calls leave untouched.
var reserve = [...]float64{Urgent: 0, Normal: 0.25, Spare: 0.15}

// maxWait bounds how long a call waits for tokens.
var maxWait = [...]time.Duration{Urgent: time.Second, Normal: 2 * time.Second, Spare: 300 * time.Millisecond}

// Budget keeps one controller inside its part of the store's limits. The parts
// of all controllers add up to less than the whole, whoever owns the pool and
// whoever can reach whom: a part grows only by what another controller has
// promised not to use meanwhile.
type Budget struct {
	mu       sync.Mutex
	rps, wps float64
	own      share // the pool owner's, for what it does as such
	rest     share // every node's, for its users and its own upkeep
	users    bucket
	pool     bucket
	owner    bool
	loans    []loan
	others   AskOthers // nil: nobody to ask
	noGifts  time.Time // until when asking is in vain
}

// share is a part of the calls and of the changes.
type share struct{ calls, writes float64 }

// bucket holds tokens for calls and for changes.
type bucket struct {
	calls, writes *rate.Limiter
	base          float64 // changes a second without loans
	// What happened since the others were last asked for more.
	used, short int
	since       time.Time
	queue       need    // what users' calls wait for now
	asked       float64 // changes asked for since wants were last told, refused ones too
	pace        float64 // the same a second, falling slowly
	told        time.Time
}

// loan is changes a second lent (below zero) or borrowed until it ends.
type loan struct {
	rate float64
	ends time.Time
}

// need is a number of calls and of changes.
type need struct{ calls, writes float64 }

func (n need) plus(o need) need { return need{n.calls + o.calls, n.writes + o.writes} }

// headroom leaves a little of the limits unused: clocks drift, and a takeover
// briefly makes two owners.
const headroom = 0.95

// NewBudget splits the limits among n controllers; ownerShare of the changes
// is for the pool's owner alone.
func NewBudget(rps, wps float64, n int, ownerShare float64) *Budget {
	// The owner makes most changes, in few calls; users' polls cost all nodes
	// alike.
	calls := ownerShare * 2 / 3
	b := &Budget{rps: rps * headroom, wps: wps * headroom, own: share{calls, ownerShare},
		rest: share{(1 - calls) / float64(n), (1 - ownerShare) / float64(n)}}
	now := time.Now()
	b.users = newBucket(b.rps*b.rest.calls, b.wps*b.rest.writes, now)
	b.pool = newBucket(b.rps*b.own.calls, b.wps*b.own.writes, now)
	return b
}

// newBucket begins full: the limits allow bursts of a second's worth.
func newBucket(calls, writes float64, now time.Time) bucket {
	return bucket{calls: rate.NewLimiter(rate.Limit(calls), burst(calls)), writes: rate.NewLimiter(rate.Limit(writes), burst(writes)),
		base: writes, since: now, told: now}
}

func burst(perSecond float64) int { return max(4, int(perSecond)) }

// SetOwner tells whether this node owns the pool.
func (b *Budget) SetOwner(owner bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.owner = owner
}

// WriteBurst is the most changes one transaction may carry now.
func (b *Budget) WriteBurst() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.main().writes.Burst()
}

// main is the bucket of what is not the users'.
func (b *Budget) main() *bucket {
	if b.owner {
		return &b.pool
	}
	return &b.users
}

// RetryAfter is when a refused user may find tokens again.
func (b *Budget) RetryAfter() time.Duration {
	return time.Second
}

// ownerKeep is the share of the pool owner's burst that its users leave to it.
const ownerKeep = 0.5

func (b *Budget) take(ctx context.Context, u Urgency, writes int) error {
	if u == Spare && writes > 0 && b.gift(ctx, writes) {
		return nil
	}
	deadline := time.Now().Add(maxWait[u])
	var queued *bucket // where this call stands in line
	mine := need{1, float64(writes)}
	leave := func() {
		if queued != nil {
			queued.queue, queued = queued.queue.plus(need{-mine.calls, -mine.writes}), nil
		}
	}
	for first := true; ; first = false {
		b.mu.Lock()
		leave()
		b.settle(time.Now())
		from, keep := b.main(), reserve[u]
		var ahead need
		if u == Spare {
			if b.owner {
				// The owner's changes must not crowd out its users, who have a part
				// of their own and may use what the owner does not.
				if from = &b.users; from.shortfall(keep, mine, need{}) > 0 && b.pool.shortfall(ownerKeep, mine, need{}) <= 0 {
					from, keep = &b.pool, ownerKeep
				}
			}
			if first {
				b.users.asked += float64(writes)
				ahead = from.queue
			}
		} else if first {
			from.asked += float64(writes)
		}
		wait := from.shortfall(keep, mine, ahead)
		if wait <= 0 {
			from.calls.AllowN(time.Now(), 1)
			if writes > 0 {
				from.writes.AllowN(time.Now(), writes)
				from.used += writes
			}
			b.mu.Unlock()
			return nil
		}
		if first && writes > 0 {
			if u == Spare {
				b.users.short++
			} else {
				from.short++
			}
		}
		late := time.Now().Add(wait).After(deadline)
		if !late && u == Spare {
			from.queue, queued = from.queue.plus(mine), from
		}
		b.mu.Unlock()
		if late {
			measure.Process.Count("refused for lack of tokens", 1)
			return fmt.Errorf("%w: own budget", ErrRefused)
		}
		select {
		case <-ctx.Done():
			b.mu.Lock()
			leave()
			b.mu.Unlock()
			return fmt.Errorf("%w: own budget: %v", ErrRefused, ctx.Err())
		case <-time.After(wait):
		}
	}
}

// shortfall is how long until a call could be let through, after those ahead of it.
func (k *bucket) shortfall(keep float64, n, ahead need) time.Duration {
	lack := func(l *rate.Limiter, n, ahead float64) time.Duration {
		need := min(n+keep*float64(l.Burst()), float64(l.Burst()))
		miss := need + ahead - l.Tokens()
		if miss <= 0 {
			return 0
		}
		return time.Duration(miss/float64(l.Limit())*float64(time.Second)) + time.Millisecond
	}
	wait := lack(k.calls, n.calls, ahead.calls)
	if n.writes > 0 {
		wait = max(wait, lack(k.writes, n.writes, ahead.writes))
	}
	return wait
}

// How long a lender keeps its promise, and the borrower counts on it. The
// borrower counts from before it asked, so that no delay makes both use the
// same tokens.
const (
	lentFor     = 2500 * time.Millisecond
	borrowedFor = 2 * time.Second
)

// Tight tells whether most of the changes that this node may make are spoken for:
// what can wait should.
func (b *Budget) Tight() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.main()
	return k.writes.Tokens() < 0.4*float64(k.writes.Burst())
}

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
		// What the owner writes may wait a little for its turn, a user's may not.
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

func (b *Budget) buckets() []*bucket {
	if b.owner {
		return []*bucket{&b.users, &b.pool}
	}
	return []*bucket{&b.users}
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

// settle drops loans that are over and sets the rate by the rest.
func (b *Budget) settle(now time.Time) {
	if len(b.loans) == 0 {
		return
	}
	kept, sum := b.loans[:0], 0.0
	for _, l := range b.loans {
		if now.Before(l.ends) {
			kept = append(kept, l)
			sum += l.rate
		}
	}
	b.loans = kept
	for _, k := range []*bucket{&b.users, &b.pool} {
		v := k.base
		if k == b.main() {
			v = max(0.1, v+sum)
		}
		if float64(k.writes.Limit()) != v {
			k.writes.SetLimitAt(now, rate.Limit(v))
			k.writes.SetBurstAt(now, burst(v))
		}
	}
}
