package placement

import (
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Ask is what one task requests of its machine.
type Ask struct {
	Need    Room
	Types   []string // allowed instance types; nil allows any
	Zone    string   // empty allows any
	Spot    bool     // whether spot instances are allowed
	Image   string
	ImageGB float64
	Long    bool // runs until it is cancelled
}

// Allows reports whether the task may run on such an instance at all.
func (r *Ask) Allows(instanceType, zone string, spot bool) bool {
	if spot && !r.Spot || r.Zone != "" && r.Zone != zone {
		return false
	}
	return r.Types == nil || slices.Contains(r.Types, instanceType)
}

// Machine is a candidate for the placement of a task.
type Machine struct {
	Name  ids.Machine
	Type  *Type
	Zone  string
	Spot  bool
	Free  Room
	Warm  bool // has the task's image in its cache or is pulling it
	Holds bool // has the task's image in its cache, so that the task starts at once
	Pulls int  // pulls of other images under way, which share its rate
	Hush  bool // pulls images for tasks of higher priority, which must not be slowed
	Avoid bool // failed this very task before
	Held  bool // its free capacity is reserved for another job
	// Going means to be terminated once it is idle. One with accelerators still takes tasks that
	// need them.
	Going bool
}

// What a drawback of a candidate counts in its score, in rough seconds.
const (
	slowedPullPenalty         = 30   // slows a pull for tasks of higher priority
	fragmentationWeight       = 2    // per resource, times the share that is left over
	unusedAcceleratorsPenalty = 3    // has accelerators that the task does not use
	keptAcceleratorsPenalty   = 60   // and the task would keep the instance from scaling in
	onDemandPenalty           = 2    // is no spot instance, which the task would accept
	failedBeforePenalty       = 1000 // failed the task before
	expectedPullShare         = 2    // half of a pull under way is still to come
	minPullGBPerS             = 0.01
	minTypeCapacity           = 1 // keeps the shares of resources finite
)

// Score rates a candidate in rough seconds; less is better. A pull counts as the time it takes,
// capacity left over as fragmentation; instances with accelerators and on-demand instances are
// kept for the tasks that need them.
func Score(candidate *Machine, request *Ask) float64 {
	score := pullCost(candidate, request)
	left := candidate.Free.Minus(request.Need)
	score += fragmentationWeight * (left.Cores/max(candidate.Type.Cores, minTypeCapacity) + left.RAM/max(candidate.Type.RAM, minTypeCapacity))
	if request.Need.Accels == 0 && candidate.Type.Accels > 0 {
		score += unusedAcceleratorsPenalty
		if request.Long {
			score += keptAcceleratorsPenalty
		}
	}
	if request.Spot && !candidate.Spot {
		score += onDemandPenalty
	}
	if candidate.Avoid {
		score += failedBeforePenalty
	}
	return score
}

// pullCost is what the pull of the task's image counts.
func pullCost(candidate *Machine, request *Ask) float64 {
	if candidate.Holds && candidate.Warm {
		return 0
	}
	pullAlone := request.ImageGB / max(candidate.Type.PullGBPerS, minPullGBPerS)
	if candidate.Warm {
		return pullAlone / expectedPullShare
	}
	cost := pullAlone * float64(1+candidate.Pulls)
	if candidate.Hush {
		cost += slowedPullPenalty
	}
	return cost
}
