package estimate

import (
	"slices"
	"time"
)

// bootHistory remembers how long machines of one type lately took to be heard. A type's nominal time
// says little on a bad night: if all boots take many times as long, giving machines up by it would
// rent for ever and never have one.
type bootHistory struct {
	durations    []time.Duration // the last few, newest last
	newestRental time.Time       // when the last rented of those heard was rented
}

// bootsKept is how many boots are looked back on.
const bootsKept = 8

func (h *bootHistory) add(duration time.Duration) {
	h.durations = append(h.durations, duration)
	if len(h.durations) > bootsKept {
		h.durations = h.durations[1:]
	}
}

// typical is what three quarters of the last boots stayed below; 0 without any.
func (h *bootHistory) typical() time.Duration {
	if h == nil || len(h.durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(h.durations))
	return sorted[(len(sorted)-1)*3/4]
}
