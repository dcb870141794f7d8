package state

import (
	"time"

	"golang.org/x/time/rate"
)

// cost is a number of calls and of changes.
type cost struct{ calls, writes float64 }

func (c cost) plus(other cost) cost { return cost{c.calls + other.calls, c.writes + other.writes} }

func (c cost) minus(other cost) cost { return cost{c.calls - other.calls, c.writes - other.writes} }

// tokenBucket holds tokens for calls and for changes, and counts what is asked of it. It is guarded
// by the lock of its Budget.
type tokenBucket struct {
	calls, writes *rate.Limiter
	// baseCalls and baseWrites are the rates a second without loans and at full speed.
	baseCalls, baseWrites float64

	queued cost // what users' calls wait for now

	// What this node could lend goes by the changes made since usageSince.
	usedWrites int
	usageSince time.Time

	// What this node lacks goes by the changes asked for, refused ones too, since demandSince.
	askedWrites float64
	shortfalls  int // calls that found too few tokens
	demandSince time.Time
	demandRate  float64 // changes asked for a second; it falls slowly
}

// newTokenBucket makes a full bucket: the limits allow bursts of a second's worth.
func newTokenBucket(calls, writes float64, now time.Time) tokenBucket {
	return tokenBucket{
		calls:       rate.NewLimiter(rate.Limit(calls), burstOf(calls)),
		writes:      rate.NewLimiter(rate.Limit(writes), burstOf(writes)),
		baseCalls:   calls,
		baseWrites:  writes,
		usageSince:  now,
		demandSince: now,
	}
}

// minBurst is the smallest burst: a submission makes several changes at once.
const minBurst = 4

func burstOf(perSecond float64) int { return max(minBurst, int(perSecond)) }

// resize gives the bucket other base rates.
func (t *tokenBucket) resize(now time.Time, calls, writes float64) {
	t.baseCalls, t.baseWrites = calls, writes
	t.writes.SetLimitAt(now, rate.Limit(writes))
	t.writes.SetBurstAt(now, burstOf(writes))
	t.calls.SetLimitAt(now, rate.Limit(calls))
	t.calls.SetBurstAt(now, burstOf(calls))
}

// setRates sets the present rates, which loans and throttling take away from the base rates.
func (t *tokenBucket) setRates(now time.Time, calls, writes float64) {
	if float64(t.calls.Limit()) != calls {
		t.calls.SetLimitAt(now, rate.Limit(calls))
	}
	if float64(t.writes.Limit()) != writes {
		t.writes.SetLimitAt(now, rate.Limit(writes))
		t.writes.SetBurstAt(now, burstOf(writes))
	}
}

// spend takes tokens that are there.
func (t *tokenBucket) spend(spent cost) {
	now := time.Now()
	t.calls.AllowN(now, int(spent.calls))
	if spent.writes > 0 {
		t.writes.AllowN(now, int(spent.writes))
		t.usedWrites += int(spent.writes)
	}
}

// empty takes all tokens.
func (t *tokenBucket) empty(now time.Time) {
	t.calls.AllowN(now, int(t.calls.TokensAt(now)))
	t.writes.AllowN(now, int(t.writes.TokensAt(now)))
}

// waitFor is how long until a call of a cost could be let through after those ahead of it, so that
// a share of the bucket stays untouched; 0 if it could be now.
func (t *tokenBucket) waitFor(wanted, ahead cost, reserved float64) time.Duration {
	wait := waitForTokens(t.calls, wanted.calls, ahead.calls, reserved)
	if wanted.writes > 0 {
		wait = max(wait, waitForTokens(t.writes, wanted.writes, ahead.writes, reserved))
	}
	return wait
}

func waitForTokens(limiter *rate.Limiter, wanted, ahead, reserved float64) time.Duration {
	burst := float64(limiter.Burst())
	missing := min(wanted+reserved*burst, burst) + ahead - limiter.Tokens()
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing/float64(limiter.Limit())*float64(time.Second)) + time.Millisecond
}
