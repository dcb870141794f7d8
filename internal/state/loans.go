package state

import "time"

// loan is a rate of writes per second that this node has lent (negative) or borrowed for a limited time.
type loan struct {
	writeRate float64
	endsAt    time.Time
}

// lendPeriod is the time for which the lender gives up the rate, and borrowPeriod the time for which the
// borrower uses it. The borrower's time starts before its request is sent, so that both never use the
// same tokens, whatever the network delay.
const (
	lendPeriod   = 2500 * time.Millisecond
	borrowPeriod = 2 * time.Second
)

const (
	// minDemandPeriod is the shortest period, in seconds, over which a rate of demand is computed.
	minDemandPeriod = 0.2
	// demandDecay is the factor by which the rate of demand falls with each sample of lower demand.
	demandDecay = 0.8
	// userDemandMargin and leaderDemandMargin are the factors from measured demand to the
	// requested rate. The leader's writes may wait briefly, those of users may not.
	userDemandMargin   = 1.7
	leaderDemandMargin = 1.2
	// maxDemand is the highest demand that is reported, in multiples of a bucket's base rate.
	maxDemand = 4

	// Usage is measured for at least minUsagePeriod seconds before a node lends, and the
	// measurement restarts after maxUsagePeriod seconds.
	minUsagePeriod = 0.5
	maxUsagePeriod = 3
	// usageMargin (a factor) and usageAllowance (in writes per second) are the margins that a
	// lender keeps above its recent usage, because similar usage is likely to recur in bursts.
	usageMargin    = 1.5
	usageAllowance = 1
	// lenderReserve is the share of its base rate that a lender always keeps.
	lenderReserve = 0.5
	// minLoan is the smallest rate that is lent, in writes per second.
	minLoan = 0.5
)

// UnmetDemand returns how many more writes per second this node could use now; 0 if its own rate is
// enough. It is computed from recent demand with a margin for random arrivals. A node that asked for more
// only after it had rejected a call would reject a call each time its loans expire.
func (b *Budget) UnmetDemand() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	wanted, now := 0.0, time.Now()
	for _, bucket := range b.activeBuckets() {
		margin := userDemandMargin
		if bucket == &b.leaderBucket {
			margin = leaderDemandMargin
		}
		wanted += bucket.sampleDemand(now, margin)
	}
	return wanted
}

// sampleDemand returns how many writes per second the bucket could use beyond its base rate, computed from
// the demand since the last sample, and starts a new sample.
func (t *tokenBucket) sampleDemand(now time.Time, margin float64) float64 {
	elapsed := max(minDemandPeriod, now.Sub(t.demandSince).Seconds())
	t.demandRate = max(t.requestedWrites/elapsed, demandDecay*t.demandRate)
	t.requestedWrites, t.demandSince = 0, now
	extra := margin*t.demandRate - t.baseWrites
	if t.shortfalls > 0 {
		extra = max(extra, t.baseWrites)
	}
	t.shortfalls = 0
	return max(0, min(extra, maxDemand*t.baseWrites))
}

// Lend lends another node at most the wanted number of writes per second, and only writes that this node
// does not need. It returns the number lent; 0 if none.
func (b *Budget) Lend(wanted float64) float64 {
	if !(wanted > 0) { // also false for NaN
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.refreshRates(now)
	lent := min(wanted, b.primaryBucket().spareRate(now))
	if lent < minLoan {
		return 0
	}
	b.loans = append(b.loans, loan{-lent, now.Add(lendPeriod)})
	b.refreshRates(now)
	return lent
}

// spareRate returns how many writes per second the bucket does not need, computed from its recent usage;
// 0 if usage was measured for too short a time.
func (t *tokenBucket) spareRate(now time.Time) float64 {
	elapsed := now.Sub(t.usageSince).Seconds()
	if elapsed < minUsagePeriod {
		return 0
	}
	usageRate := float64(t.usedWrites) / elapsed
	if elapsed > maxUsagePeriod {
		t.usedWrites, t.usageSince = 0, now
	}
	if t.shortfalls > 0 {
		return 0
	}
	needed := max(usageMargin*max(usageRate, t.demandRate)+usageAllowance, t.baseWrites*lenderReserve)
	return max(0, float64(t.writes.Limit())-needed)
}

// AddBorrowed adds a rate in writes per second that another node lent in response to a request sent at
// the given time.
func (b *Budget) AddBorrowed(writeRate float64, sent time.Time) {
	if !(writeRate > 0) { // also false for NaN
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loans = append(b.loans, loan{writeRate, sent.Add(borrowPeriod)})
	b.refreshRates(time.Now())
}

// dropExpiredLoans removes expired loans and returns the balance of the others in writes per second:
// above zero if more is borrowed than lent.
func (b *Budget) dropExpiredLoans(now time.Time) (balance float64) {
	remaining := b.loans[:0]
	for _, l := range b.loans {
		if now.Before(l.endsAt) {
			remaining = append(remaining, l)
			balance += l.writeRate
		}
	}
	b.loans = remaining
	return balance
}
