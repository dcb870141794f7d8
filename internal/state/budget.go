package state

import (
	"sync"
	"time"
)

// Budget keeps one controller inside its part of the store's limits, by token buckets for calls and
// changes. The parts of all controllers add up to less than the whole, whoever is leader and
// whoever can reach whom: a part grows only by what another controller has promised not to use
// meanwhile.
type Budget struct {
	// The limits of all controllers together, a second.
	callLimit, writeLimit float64
	leaderShare           share // of the limits: the leader's, for what it does as such
	nodeShare             share // of the limits: every node's, for its users and its own upkeep
	// transferFrom asks the other controllers for changes; nil: there is nobody to ask. It is set
	// before the first call.
	transferFrom RequestTransfer

	// mu guards all that follows and the buckets. It is held for arithmetic alone: nothing is
	// waited for and no other lock is taken under it.
	mu        sync.Mutex
	users     tokenBucket
	leader    tokenBucket
	ledShards int // shards that this node leads
	shards    int // all shards
	loans     []loan
	throttle  throttle
	throttled bool // the rates are not back at their full size yet
	// noTransferUntil is until when asking the others for changes is in vain.
	noTransferUntil time.Time
}

// share is a part of the limits of calls and of changes, from 0 to 1.
type share struct{ calls, writes float64 }

const (
	// headroom leaves a little of the limits unused: clocks drift, and a failover briefly makes
	// two leaders.
	headroom = 0.95
	// minWriteRate is what a node keeps of its changes a second whatever it has lent.
	minWriteRate = 0.1
	// nearlyExhausted is the share of a full bucket below which what can wait should.
	nearlyExhausted = 0.4
	// retryAfter is when a refused user may find tokens again.
	retryAfter = time.Second
)

// NewBudget splits the store's limits of calls and of changes a second among so many controllers;
// leaderShare of the changes is for the leader alone.
func NewBudget(callLimit, writeLimit float64, controllers int, leaderShare float64) *Budget {
	// The leader makes most changes, in few calls; users' polls cost all nodes alike.
	leaderCalls := leaderShare * 2 / 3
	b := &Budget{
		callLimit:   callLimit * headroom,
		writeLimit:  writeLimit * headroom,
		leaderShare: share{leaderCalls, leaderShare},
		nodeShare:   share{(1 - leaderCalls) / float64(controllers), (1 - leaderShare) / float64(controllers)},
	}
	now := time.Now()
	b.users = newTokenBucket(b.callLimit*b.nodeShare.calls, b.writeLimit*b.nodeShare.writes, now)
	b.leader = newTokenBucket(b.callLimit*b.leaderShare.calls, b.writeLimit*b.leaderShare.writes, now)
	return b
}

// SetShardCount sets the number of shards: each that this node leads brings its part of the
// leader's share.
func (b *Budget) SetShardCount(shards int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shards = shards
	b.resizeLeaderBucket()
}

// LeadershipChanged notes that this node leads one shard more, or one less.
func (b *Budget) LeadershipChanged(acquired bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if acquired {
		b.ledShards++
	} else {
		b.ledShards = max(0, b.ledShards-1)
	}
	b.resizeLeaderBucket()
}

// resizeLeaderBucket makes the leader's bucket as large as the shards that this node leads allow.
func (b *Budget) resizeLeaderBucket() {
	if b.shards <= 1 {
		return
	}
	part := float64(max(1, b.ledShards)) / float64(b.shards)
	b.leader.resize(time.Now(), b.callLimit*b.leaderShare.calls*part, b.writeLimit*b.leaderShare.writes*part)
}

// isLeader tells whether this node leads any shard.
func (b *Budget) isLeader() bool { return b.ledShards > 0 }

// WriteBurst is the most changes one transaction may carry now.
func (b *Budget) WriteBurst() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.primary().writes.Burst()
}

// RetryAfter is when a refused user may find tokens again.
func (b *Budget) RetryAfter() time.Duration { return retryAfter }

// NearlyExhausted tells whether most of the changes that this node may make are spoken for: what can wait
// should.
func (b *Budget) NearlyExhausted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	writes := b.primary().writes
	return writes.Tokens() < nearlyExhausted*float64(writes.Burst())
}

// primary is the bucket of what is not the users'.
func (b *Budget) primary() *tokenBucket {
	if b.isLeader() {
		return &b.leader
	}
	return &b.users
}

// active are the buckets that this node may use now.
func (b *Budget) active() []*tokenBucket {
	if b.isLeader() {
		return []*tokenBucket{&b.users, &b.leader}
	}
	return []*tokenBucket{&b.users}
}

// all are both buckets, whether this node leads or not.
func (b *Budget) all() []*tokenBucket { return []*tokenBucket{&b.users, &b.leader} }

// refreshRates drops loans that are over and sets the rates by the rest, and by how much the store
// takes.
func (b *Budget) refreshRates(now time.Time) {
	if len(b.loans) == 0 && !b.throttled {
		return
	}
	fraction := b.throttle.fractionAt(now)
	b.throttled = fraction < 1
	balance := b.dropExpiredLoans(now)
	for _, bucket := range b.all() {
		writes := bucket.baseWrites
		if bucket == b.primary() {
			writes = max(minWriteRate, writes+balance)
		}
		bucket.setRates(now, bucket.baseCalls*fraction, writes*fraction)
	}
}
