package estimate

import (
	"slices"
	"time"
)

// bootHistory holds the recent boot times of machines of one type, from provisioning to the first
// report. The nominal boot time says little while the cloud is slow: if all boots take many times as
// long, giving machines up by it would provision new ones for ever and never have one.
type bootHistory struct {
	durations         []time.Duration // newest last, at most bootsKept
	newestProvisioned time.Time       // the latest provisioning time of a machine that has come up
}

const bootsKept = 8

func (h *bootHistory) add(duration time.Duration) {
	h.durations = append(h.durations, duration)
	if len(h.durations) > bootsKept {
		h.durations = h.durations[1:]
	}
}

// typical returns the 75th percentile of the recent boot times; 0 if there are none.
func (h *bootHistory) typical() time.Duration {
	if h == nil || len(h.durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(h.durations))
	return sorted[(len(sorted)-1)*3/4]
}
