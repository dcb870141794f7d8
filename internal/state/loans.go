package state

import "time"

// loan is changes a second that this node lent (below zero) or borrowed until it ends.
type loan struct {
	writeRate float64
	endsAt    time.Time
}

// How long a lender keeps its promise, and the borrower counts on it. The borrower counts from
// before it asked, so that no delay makes both use the same tokens.
const (
	lendPeriod   = 2500 * time.Millisecond
	borrowPeriod = 2 * time.Second
)

const (
	// minDemandPeriod is the least time by which demand is divided to get a rate, in seconds.
	minDemandPeriod = 0.2
	// demandDecay is what is left of the rate of demand when less is asked for.
	demandDecay = 0.8
	// userDemandMargin and leaderDemandMargin are what is wanted for each change asked for: what
	// the leader writes may wait a little for its turn, a user's may not.
	userDemandMargin   = 1.7
	leaderDemandMargin = 1.2
	// maxDemand is the most that is wanted, in multiples of a bucket's base rate.
	maxDemand = 4

	// Usage is measured for at least minUsagePeriod seconds before anything is lent, and anew
	// after maxUsagePeriod.
	minUsagePeriod = 0.5
	maxUsagePeriod = 3
	// usageMargin and usageAllowance are what a lender keeps beyond what it uses: what a node
	// used a moment ago comes again, and in clumps.
	usageMargin    = 1.5
	usageAllowance = 1
	// lenderReserve is the share of its base rate that a lender keeps whatever it uses.
	lenderReserve = 0.5
	// minLoan is the smallest loan worth a promise, in changes a second.
	minLoan = 0.5
)

// UnmetDemand is how many more changes a second this node could use now; 0 if it gets by. It goes by what
// was asked for lately, with a margin for what comes at random: one that asked for more only when
// it had refused somebody would refuse somebody every time its loans end.
func (b *Budget) UnmetDemand() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	wanted, now := 0.0, time.Now()
	for _, bucket := range b.active() {
		margin := userDemandMargin
		if bucket == &b.leader {
			margin = leaderDemandMargin
		}
		wanted += bucket.sampleDemand(now, margin)
	}
	return wanted
}

// sampleDemand is how many changes a second beyond its base rate the bucket could use, by what was
// asked for since the last sample.
func (t *tokenBucket) sampleDemand(now time.Time, margin float64) float64 {
	elapsed := max(minDemandPeriod, now.Sub(t.demandSince).Seconds())
	t.demandRate = max(t.askedWrites/elapsed, demandDecay*t.demandRate)
	t.askedWrites, t.demandSince = 0, now
	extra := margin*t.demandRate - t.baseWrites
	if t.shortfalls > 0 {
		extra = max(extra, t.baseWrites)
	}
	t.shortfalls = 0
	return max(0, min(extra, maxDemand*t.baseWrites))
}

// Lend promises part of the wanted changes a second to another node, as far as this one does not
// use them, and returns how many; 0 for none.
func (b *Budget) Lend(wanted float64) float64 {
	if !(wanted > 0) { // not a number is nothing either
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.refreshRates(now)
	lent := min(wanted, b.primary().spareRate(now))
	if lent < minLoan {
		return 0
	}
	b.loans = append(b.loans, loan{-lent, now.Add(lendPeriod)})
	b.refreshRates(now)
	return lent
}

// spareRate is how many changes a second the bucket does not need, by its use lately; 0 if it can't
// be told or there are none.
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

// AddBorrowed adds changes a second that another node promised in answer to a request sent then.
func (b *Budget) AddBorrowed(writeRate float64, sent time.Time) {
	if !(writeRate > 0) { // not a number is nothing either
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loans = append(b.loans, loan{writeRate, sent.Add(borrowPeriod)})
	b.refreshRates(time.Now())
}

// dropExpiredLoans forgets loans that are over and returns the balance of the others in changes a
// second: above zero if more is borrowed than lent.
func (b *Budget) dropExpiredLoans(now time.Time) (balance float64) {
	running := b.loans[:0]
	for _, l := range b.loans {
		if now.Before(l.endsAt) {
			running = append(running, l)
			balance += l.writeRate
		}
	}
	b.loans = running
	return balance
}
