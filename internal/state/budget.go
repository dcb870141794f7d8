package state

import (
	"sync"
	"time"
)

// Budget limits the calls and writes of one controller to its part of the store's rate limits, by
// token buckets. The parts of all controllers add up to less than the limits, regardless of which
// controller leads and of network partitions, because a part grows only by a rate that another
// controller has given up for the same time.
type Budget struct {
	// The limits per second of all controllers together.
	callLimit, writeLimit float64
	leaderShare           share // part of the limits for the leader's own work
	nodeShare             share // part of the limits for each node's users and its maintenance
	// requestTransfer asks the other controllers for writes; nil if there are none. It is set before
	// the first call.
	requestTransfer TransferFunc

	// mu guards the fields below and the buckets. It is held for computations only: code that
	// holds it neither blocks nor takes another lock.
	mu           sync.Mutex
	userBucket   tokenBucket
	leaderBucket tokenBucket
	ledShards    int // number of shards that this node leads
	shards       int // number of all shards
	loans        []loan
	throttle     throttle
	throttled    bool // whether the rates are still reduced by throttle
	// noTransferUntil is the time before which the other controllers are not asked for writes.
	noTransferUntil time.Time
}

// share is a fraction of the limits of calls and of writes, from 0 to 1.
type share struct{ calls, writes float64 }

const (
	// headroom is the fraction of the limits that is used. The rest allows for clock drift and for
	// two leaders at a time, which a failover briefly causes.
	headroom = 0.95
	// minWriteRate is the rate of writes per second that a node keeps however much it has lent.
	minWriteRate = 0.1
	// nearlyExhausted is the share of a full bucket below which deferrable writes should wait.
	nearlyExhausted = 0.4
	// retryAfter is the time after which tokens may be available again for a rejected user.
	retryAfter = time.Second
)

// NewBudget returns the budget of one of the given number of controllers, which share the store's limits
// of calls and writes per second. The fraction leaderShare of the writes is for the leader alone.
func NewBudget(callLimit, writeLimit float64, controllers int, leaderShare float64) *Budget {
	// The leader makes most of the writes but in few calls, while polls by users cost every node the same
	// number of calls. So the leader's share of the calls is smaller than its share of the writes.
	leaderCalls := leaderShare * 2 / 3
	b := &Budget{
		callLimit:   callLimit * headroom,
		writeLimit:  writeLimit * headroom,
		leaderShare: share{leaderCalls, leaderShare},
		nodeShare:   share{(1 - leaderCalls) / float64(controllers), (1 - leaderShare) / float64(controllers)},
	}
	now := time.Now()
	b.userBucket = newTokenBucket(b.callLimit*b.nodeShare.calls, b.writeLimit*b.nodeShare.writes, now)
	b.leaderBucket = newTokenBucket(b.callLimit*b.leaderShare.calls, b.writeLimit*b.leaderShare.writes, now)
	return b
}

// SetShardCount sets the number of shards. Each shard that this node leads adds an equal part of the
// leader's share to its budget.
func (b *Budget) SetShardCount(shards int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shards = shards
	b.resizeLeaderBucket()
}

// RecordLeadershipChange records that this node acquired or lost the leadership of one shard.
func (b *Budget) RecordLeadershipChange(acquired bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if acquired {
		b.ledShards++
	} else {
		b.ledShards = max(0, b.ledShards-1)
	}
	b.resizeLeaderBucket()
}

// resizeLeaderBucket sets the rates of the leader's bucket in proportion to the shards that this node leads.
func (b *Budget) resizeLeaderBucket() {
	if b.shards <= 1 {
		return
	}
	part := float64(max(1, b.ledShards)) / float64(b.shards)
	b.leaderBucket.resize(time.Now(), b.callLimit*b.leaderShare.calls*part, b.writeLimit*b.leaderShare.writes*part)
}

// isLeader reports whether this node leads any shard.
func (b *Budget) isLeader() bool { return b.ledShards > 0 }

// WriteBurst returns the largest number of writes that one transaction may make now.
func (b *Budget) WriteBurst() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.primaryBucket().writes.Burst()
}

// RetryAfter returns the time after which a rejected user should retry.
func (b *Budget) RetryAfter() time.Duration { return retryAfter }

// NearlyExhausted reports whether few tokens for writes are left, so that deferrable writes should wait.
func (b *Budget) NearlyExhausted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	writes := b.primaryBucket().writes
	return writes.Tokens() < nearlyExhausted*float64(writes.Burst())
}

// primaryBucket returns the bucket for all calls that are not made for users.
func (b *Budget) primaryBucket() *tokenBucket {
	if b.isLeader() {
		return &b.leaderBucket
	}
	return &b.userBucket
}

// activeBuckets returns the buckets that this node may use now.
func (b *Budget) activeBuckets() []*tokenBucket {
	if b.isLeader() {
		return []*tokenBucket{&b.userBucket, &b.leaderBucket}
	}
	return []*tokenBucket{&b.userBucket}
}

// buckets returns both buckets, whether this node leads a shard or not.
func (b *Budget) buckets() []*tokenBucket { return []*tokenBucket{&b.userBucket, &b.leaderBucket} }

// refreshRates removes expired loans and sets the rates of the buckets by the remaining loans and the
// throttle.
func (b *Budget) refreshRates(now time.Time) {
	if len(b.loans) == 0 && !b.throttled {
		return
	}
	fraction := b.throttle.fractionAt(now)
	b.throttled = fraction < 1
	balance := b.dropExpiredLoans(now)
	for _, bucket := range b.buckets() {
		writes := bucket.baseWrites
		if bucket == b.primaryBucket() {
			writes = max(minWriteRate, writes+balance)
		}
		bucket.setRates(now, bucket.baseCalls*fraction, writes*fraction)
	}
}
