package state

import "time"

// throttle is the fraction of its rates that a node currently uses. It decreases when the store rejects a
// call because there were too many calls or writes, which means that the store's limits are lower than
// configured or that other nodes use more than their part. It then increases slowly: additive
// increase, multiplicative decrease.
type throttle struct {
	fraction    float64 // as of decreasedAt
	decreasedAt time.Time
}

const (
	throttleDecrease = 0.7  // factor applied to the fraction after a rejection
	throttleMinimum  = 0.1  // lease renewals and reports must still be served
	throttleIncrease = 0.05 // per second
	// throttleInterval is the shortest time between two decreases, so that rejections of calls
	// that were already in flight do not count again.
	throttleInterval = 200 * time.Millisecond
)

// fractionAt returns the fraction that may be used at the given time.
func (t *throttle) fractionAt(now time.Time) float64 {
	if t.decreasedAt.IsZero() {
		return 1
	}
	return min(1, t.fraction+throttleIncrease*now.Sub(t.decreasedAt).Seconds())
}

// decrease lowers the fraction, unless it was lowered within throttleInterval, and reports whether it did.
func (t *throttle) decrease(now time.Time) bool {
	if now.Sub(t.decreasedAt) < throttleInterval {
		return false
	}
	t.fraction = max(throttleMinimum, t.fractionAt(now)*throttleDecrease)
	t.decreasedAt = now
	return true
}

// reduceRates lowers the rates and discards all saved tokens after the store rejected a call because there
// were too many.
func (b *Budget) reduceRates() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if !b.throttle.decrease(now) {
		return
	}
	b.throttled = true
	b.refreshRates(now)
	for _, bucket := range b.buckets() {
		bucket.discardTokens(now)
	}
}
