package state

import "time"

// throttle is the part of its rate that a node uses for now. It falls as soon as the
// state service answers that there were too many calls or changes, which means that its
// limits are lower than announced or that others use more than their part, and rises
// again slowly: additive increase, multiplicative decrease.
type throttle struct {
	part    float64 // as of the last change
	changed time.Time
	cut     time.Time // when it last fell
}

const (
	throttleCut      = 0.7 // what is left after a refusal
	throttleLeast    = 0.1 // renewals and reports must get through
	throttleRecovery = 0.05
	// throttleEvery keeps refusals of calls already under way from counting again.
	throttleEvery = 200 * time.Millisecond
)

// at is the part that may be used now.
func (t *throttle) at(now time.Time) float64 {
	if t.changed.IsZero() {
		return 1
	}
	return min(1, t.part+throttleRecovery*now.Sub(t.changed).Seconds())
}

// refused lowers the part; it is false if it was lowered a moment ago.
func (t *throttle) refused(now time.Time) bool {
	if now.Sub(t.cut) < throttleEvery {
		return false
	}
	t.part = max(throttleLeast, t.at(now)*throttleCut)
	t.changed, t.cut = now, now
	return true
}

// TooMany takes in that the state service refused a call for there being too many: what
// was saved up is given up, and less is sent for a while.
func (b *Budget) TooMany() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if !b.throttle.refused(now) {
		return
	}
	b.throttled = true
	b.settle(now)
	for _, k := range []*bucket{&b.users, &b.pool} {
		k.calls.AllowN(now, int(k.calls.TokensAt(now)))
		k.writes.AllowN(now, int(k.writes.TokensAt(now)))
	}
}
