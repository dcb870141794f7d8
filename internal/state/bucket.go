package state

import (
	"time"

	"golang.org/x/time/rate"
)

// cost is a number of calls and of writes.
type cost struct{ calls, writes float64 }

func (c cost) plus(other cost) cost { return cost{c.calls + other.calls, c.writes + other.writes} }

func (c cost) minus(other cost) cost { return cost{c.calls - other.calls, c.writes - other.writes} }

// tokenBucket holds tokens for calls and for writes and measures the demand for them. It is guarded
// by the mutex of its Budget.
type tokenBucket struct {
	calls, writes *rate.Limiter
	// baseCalls and baseWrites are the rates per second without loans and throttling.
	baseCalls, baseWrites float64

	queued cost // total cost of the users' calls that wait for tokens

	// The rate that this node can lend is computed from the writes made since usageSince.
	usedWrites int
	usageSince time.Time

	// The rate that this node lacks is computed from the writes requested since demandSince,
	// including rejected ones.
	requestedWrites float64
	shortfalls      int // calls for which tokens were missing
	demandSince     time.Time
	demandRate      float64 // requested writes per second; decays slowly
}

// newTokenBucket returns a full bucket. It allows bursts of one second's worth of tokens, as the store's
// limits do.
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

// minBurst is the smallest burst. A submission makes several writes in one transaction.
const minBurst = 4

func burstOf(perSecond float64) int { return max(minBurst, int(perSecond)) }

// resize changes the base rates of the bucket.
func (t *tokenBucket) resize(now time.Time, calls, writes float64) {
	t.baseCalls, t.baseWrites = calls, writes
	t.writes.SetLimitAt(now, rate.Limit(writes))
	t.writes.SetBurstAt(now, burstOf(writes))
	t.calls.SetLimitAt(now, rate.Limit(calls))
	t.calls.SetBurstAt(now, burstOf(calls))
}

// setRates sets the current rates, which differ from the base rates by loans and throttling.
func (t *tokenBucket) setRates(now time.Time, calls, writes float64) {
	if float64(t.calls.Limit()) != calls {
		t.calls.SetLimitAt(now, rate.Limit(calls))
	}
	if float64(t.writes.Limit()) != writes {
		t.writes.SetLimitAt(now, rate.Limit(writes))
		t.writes.SetBurstAt(now, burstOf(writes))
	}
}

// spend takes tokens that the caller knows to be available.
func (t *tokenBucket) spend(spent cost) {
	now := time.Now()
	t.calls.AllowN(now, int(spent.calls))
	if spent.writes > 0 {
		t.writes.AllowN(now, int(spent.writes))
		t.usedWrites += int(spent.writes)
	}
}

// discardTokens takes all tokens.
func (t *tokenBucket) discardTokens(now time.Time) {
	t.calls.AllowN(now, int(t.calls.TokensAt(now)))
	t.writes.AllowN(now, int(t.writes.TokensAt(now)))
}

// waitTime returns the time until the tokens for wanted are available behind the queued cost ahead,
// without using the reserved share of the bucket; 0 if they are available now.
func (t *tokenBucket) waitTime(wanted, ahead cost, reserved float64) time.Duration {
	wait := tokenWaitTime(t.calls, wanted.calls, ahead.calls, reserved)
	if wanted.writes > 0 {
		wait = max(wait, tokenWaitTime(t.writes, wanted.writes, ahead.writes, reserved))
	}
	return wait
}

func tokenWaitTime(limiter *rate.Limiter, wanted, ahead, reserved float64) time.Duration {
	burst := float64(limiter.Burst())
	missing := min(wanted+reserved*burst, burst) + ahead - limiter.Tokens()
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing/float64(limiter.Limit())*float64(time.Second)) + time.Millisecond
}
