package estimate

import (
	"slices"
	"time"
)

// bootHistory holds the recent boot times, from provisioning to the first report, of machines of one type.
// The nominal boot time can't be used while the cloud is slow: if all boots take many times as long,
// machines would be given up and replaced by new ones again and again, and none would ever come up.
type bootHistory struct {
	durations         []time.Duration // newest last, at most maxRecordedBoots
	newestProvisioned time.Time       // latest provisioning time of the machines that have booted
}

const maxRecordedBoots = 8

func (h *bootHistory) add(duration time.Duration) {
	h.durations = append(h.durations, duration)
	if len(h.durations) > maxRecordedBoots {
		h.durations = h.durations[1:]
	}
}

// percentile75 returns the 75th percentile of the recent boot times, or 0 if there are none.
func (h *bootHistory) percentile75() time.Duration {
	if h == nil || len(h.durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(h.durations))
	return sorted[(len(sorted)-1)*3/4]
}
