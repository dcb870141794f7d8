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
	// Urgent calls are renewals, settlements and markers, which keep what runs alive.
	Urgent Urgency = iota
	// Normal calls, for reading changes and for upkeep, wait for tokens.
	Normal
	// Spare calls, those of users, are refused at once while little is left, because
	// a user told when to come back is better off than one kept waiting. Only for a
	// token that is due within a fraction of a second they wait: a few requests
	// that come together must not be sent away by a rate that serves them all.
	Spare
)

// reserve is the share of a bucket that less urgent calls leave untouched.
var reserve = [...]float64{Urgent: 0, Normal: 0.25, Spare: 0.15}

// poolReserve is the share of the leader's bucket that its users leave untouched.
const poolReserve = 0.5

// maxWait bounds how long a call waits for tokens.
var maxWait = [...]time.Duration{Urgent: time.Second, Normal: 2 * time.Second, Spare: 300 * time.Millisecond}

// Budget keeps one controller inside its part of the store's limits. The parts
// of all controllers add up to less than the whole, whoever owns the pool and
// whoever can reach whom: a part grows only by what another controller has
// promised not to use meanwhile.
type Budget struct {
	mu       sync.Mutex
	rps, wps float64
	own      share // the leader's, for what it does as such
	rest     share // every node's, for its users and its own upkeep
	users    bucket
	pool     bucket
	leads    bool
	leading  int // shards that this node leads
	shards   int // of the pool
	loans    []loan
	throttle throttle
	// throttled tells that the rates are not back at their full size yet.
	throttled   bool
	others      RequestTransfer // nil: nobody to ask
	noTransfers time.Time       // until when asking is in vain
}

// share is a part of the calls and of the changes.
type share struct{ calls, writes float64 }

// bucket holds tokens for calls and for changes.
type bucket struct {
	calls, writes *rate.Limiter
	base          float64 // changes a second without loans
	baseCalls     float64 // calls a second
	// What happened since the others were last asked for more.
	used, short int
	since       time.Time
	queue       need    // what users' calls wait for now
	asked       float64 // changes asked for since wants were last told, refused ones too
	pace        float64 // the same a second, falling slowly
	told        time.Time
}

// need is a number of calls and of changes.
type need struct{ calls, writes float64 }

func (n need) plus(o need) need { return need{n.calls + o.calls, n.writes + o.writes} }

// headroom leaves a little of the limits unused: clocks drift, and a takeover
// briefly makes two leaders.
const headroom = 0.95

// NewBudget splits the limits among n controllers; leaderShare of the changes
// is for the leader alone.
func NewBudget(rps, wps float64, n int, leaderShare float64) *Budget {
	// The leader makes most changes, in few calls; users' polls cost all nodes
	// alike.
	calls := leaderShare * 2 / 3
	b := &Budget{rps: rps * headroom, wps: wps * headroom, own: share{calls, leaderShare},
		rest: share{(1 - calls) / float64(n), (1 - leaderShare) / float64(n)}}
	now := time.Now()
	b.users = newBucket(b.rps*b.rest.calls, b.wps*b.rest.writes, now)
	b.pool = newBucket(b.rps*b.own.calls, b.wps*b.own.writes, now)
	return b
}

// newBucket begins full: the limits allow bursts of a second's worth.
func newBucket(calls, writes float64, now time.Time) bucket {
	return bucket{calls: rate.NewLimiter(rate.Limit(calls), burst(calls)), writes: rate.NewLimiter(rate.Limit(writes), burst(writes)),
		base: writes, baseCalls: calls, since: now, told: now}
}

func burst(perSecond float64) int { return max(4, int(perSecond)) }

// SplitLeaderShare tells into how many shards the pool is split: each that this node leads
// brings its part of the leader's share.
func (b *Budget) SplitLeaderShare(shards int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shards = shards
	b.sizePool()
}

// SetLeader tells that this node leads one shard more, or one less.
func (b *Budget) SetLeader(leads bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if leads {
		b.leading++
	} else {
		b.leading = max(0, b.leading-1)
	}
	b.leads = b.leading > 0
	b.sizePool()
}

// sizePool makes the leader's bucket as large as the shards that this node leads allow.
func (b *Budget) sizePool() {
	if b.shards <= 1 {
		return
	}
	part := float64(max(1, b.leading)) / float64(b.shards)
	now := time.Now()
	b.pool.base, b.pool.baseCalls = b.wps*b.own.writes*part, b.rps*b.own.calls*part
	b.pool.writes.SetLimitAt(now, rate.Limit(b.pool.base))
	b.pool.writes.SetBurstAt(now, burst(b.pool.base))
	b.pool.calls.SetLimitAt(now, rate.Limit(b.pool.baseCalls))
	b.pool.calls.SetBurstAt(now, burst(b.pool.baseCalls))
}

// WriteBurst is the most changes one transaction may carry now.
func (b *Budget) WriteBurst() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.main().writes.Burst()
}

// main is the bucket of what is not the users'.
func (b *Budget) main() *bucket {
	if b.leads {
		return &b.pool
	}
	return &b.users
}

// RetryAfter is when a refused user may find tokens again.
func (b *Budget) RetryAfter() time.Duration {
	return time.Second
}

// request is one call that asks for tokens, perhaps several times.
type request struct {
	urgency  Urgency
	need     need
	deadline time.Time
	again    bool    // it has asked before
	queued   *bucket // where it waits
}

// leaveQueue takes the request out of the queue that it waits in.
func (r *request) leaveQueue() {
	if r.queued != nil {
		r.queued.queue = r.queued.queue.plus(need{-r.need.calls, -r.need.writes})
		r.queued = nil
	}
}

// take waits for the tokens of a call that makes so many changes.
func (b *Budget) take(ctx context.Context, u Urgency, writes int) error {
	if u == Spare && writes > 0 && b.transferIn(ctx, writes) {
		return nil
	}
	r := &request{urgency: u, need: need{1, float64(writes)}, deadline: time.Now().Add(maxWait[u])}
	for {
		wait, inTime := b.try(r)
		if !inTime {
			measure.Process.Count("refused for lack of tokens", 1)
			return fmt.Errorf("%w: own budget", ErrRefused)
		}
		if wait <= 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			b.mu.Lock()
			r.leaveQueue()
			b.mu.Unlock()
			return fmt.Errorf("%w: own budget: %v", ErrRefused, ctx.Err())
		case <-time.After(wait):
		}
	}
}

// try takes the tokens, or tells how long to wait before the next try, and whether
// that is within the request's deadline.
func (b *Budget) try(r *request) (wait time.Duration, inTime bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.leaveQueue()
	b.settle(time.Now())
	from, keep := b.bucketFor(r)
	var ahead need
	if !r.again && r.urgency == Spare {
		ahead = from.queue
	}
	wait = from.shortfall(keep, r.need, ahead)
	if !r.again {
		b.noteDemand(r, from, wait > 0)
	}
	r.again = true
	if wait <= 0 {
		from.spend(r.need)
		return 0, true
	}
	inTime = !time.Now().Add(wait).After(r.deadline)
	if inTime && r.urgency == Spare {
		from.queue, r.queued = from.queue.plus(r.need), from
	}
	return wait, inTime
}

// bucketFor picks the bucket for a request, and the share of it to leave untouched.
func (b *Budget) bucketFor(r *request) (*bucket, float64) {
	keep := reserve[r.urgency]
	if r.urgency != Spare || !b.leads {
		return b.main(), keep
	}
	// The leader's changes must not crowd out its users, who have a part of their own
	// and may use what the leader does not.
	if b.users.shortfall(keep, r.need, need{}) > 0 && b.pool.shortfall(poolReserve, r.need, need{}) <= 0 {
		return &b.pool, poolReserve
	}
	return &b.users, keep
}

// noteDemand counts what a request asks for, and whether it was there, on the bucket
// that is the request's own.
func (b *Budget) noteDemand(r *request, from *bucket, short bool) {
	if r.urgency == Spare {
		from = &b.users
	}
	from.asked += r.need.writes
	if short && r.need.writes > 0 {
		from.short++
	}
}

// spend takes tokens that are there.
func (k *bucket) spend(n need) {
	now := time.Now()
	k.calls.AllowN(now, int(n.calls))
	if n.writes > 0 {
		k.writes.AllowN(now, int(n.writes))
		k.used += int(n.writes)
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

// Tight tells whether most of the changes that this node may make are spoken for:
// what can wait should.
func (b *Budget) Tight() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.main()
	return k.writes.Tokens() < 0.4*float64(k.writes.Burst())
}

func (b *Budget) buckets() []*bucket {
	if b.leads {
		return []*bucket{&b.users, &b.pool}
	}
	return []*bucket{&b.users}
}

// settle drops loans that are over and sets the rates by the rest, and by how much the
// state service takes.
func (b *Budget) settle(now time.Time) {
	if len(b.loans) == 0 && !b.throttled {
		return
	}
	part := b.throttle.at(now)
	b.throttled = part < 1
	kept, sum := b.loans[:0], 0.0
	for _, l := range b.loans {
		if now.Before(l.ends) {
			kept = append(kept, l)
			sum += l.rate
		}
	}
	b.loans = kept
	for _, k := range []*bucket{&b.users, &b.pool} {
		if calls := k.baseCalls * part; float64(k.calls.Limit()) != calls {
			k.calls.SetLimitAt(now, rate.Limit(calls))
		}
		v := k.base
		if k == b.main() {
			v = max(0.1, v+sum)
		}
		v *= part
		if float64(k.writes.Limit()) != v {
			k.writes.SetLimitAt(now, rate.Limit(v))
			k.writes.SetBurstAt(now, burst(v))
		}
	}
}
