package state

import "time"

// throttle is the fraction of its rates that a node uses for now. It falls as soon as the store
// answers that there were too many calls or changes, which means that its limits are lower than
// announced or that others use more than their part, and rises again slowly: additive increase,
// multiplicative decrease.
type throttle struct {
	fraction    float64 // as of decreasedAt
	decreasedAt time.Time
}

const (
	throttleDecrease = 0.7 // what is left after a refusal
	throttleMinimum  = 0.1 // renewals and reports must get through
	throttleIncrease = 0.05
	// throttleInterval keeps refusals of calls already under way from counting again.
	throttleInterval = 200 * time.Millisecond
)

// fractionAt is the fraction that may be used at a time.
func (t *throttle) fractionAt(now time.Time) float64 {
	if t.decreasedAt.IsZero() {
		return 1
	}
	return min(1, t.fraction+throttleIncrease*now.Sub(t.decreasedAt).Seconds())
}

// decrease lowers the fraction; it is false if it was lowered a moment ago.
func (t *throttle) decrease(now time.Time) bool {
	if now.Sub(t.decreasedAt) < throttleInterval {
		return false
	}
	t.fraction = max(throttleMinimum, t.fractionAt(now)*throttleDecrease)
	t.decreasedAt = now
	return true
}

// slowDown takes in that the store refused a call for there being too many: what was saved up is
// given up, and less is sent for a while.
func (b *Budget) slowDown() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if !b.throttle.decrease(now) {
		return
	}
	b.throttled = true
	b.refreshRates(now)
	for _, bucket := range b.all() {
		bucket.empty(now)
	}
}
