package placement

import (
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Request is what one task requests of its machine.
type Request struct {
	Resources     Resources
	InstanceTypes []string // allowed instance types; nil allows any
	Zone          string   // empty allows any
	AllowSpot     bool     // whether spot instances are allowed
	Image         string
	ImageGB       float64
	LongRunning   bool // runs until it is cancelled
}

// Allows reports whether the task may run on such an instance at all.
func (r *Request) Allows(instanceType, zone string, spot bool) bool {
	if spot && !r.AllowSpot || r.Zone != "" && r.Zone != zone {
		return false
	}
	return r.InstanceTypes == nil || slices.Contains(r.InstanceTypes, instanceType)
}

// Candidate is a candidate for the placement of a task.
type Candidate struct {
	Name                   ids.Machine
	Type                   *InstanceType
	Zone                   string
	Spot                   bool
	Free                   Resources
	ImageExpected          bool // has the task's image in its cache or is pulling it
	ImageCached            bool // has the task's image in its cache, so that the task starts at once
	OtherPulls             int  // pulls of other images under way, which share its rate
	PullsForHigherPriority bool // pulls images for tasks of higher priority, which must not be slowed
	FailedBefore           bool // failed this very task before
	Reserved               bool // its free capacity is reserved for another job
	// ScalingIn means to be terminated once it is idle. One with accelerators still takes tasks that
	// need them.
	ScalingIn bool
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
func Score(candidate *Candidate, request *Request) float64 {
	score := pullCost(candidate, request)
	left := candidate.Free.Minus(request.Resources)
	score += fragmentationWeight * (left.Cores/max(candidate.Type.Cores, minTypeCapacity) + left.RAM/max(candidate.Type.RAM, minTypeCapacity))
	if request.Resources.Accels == 0 && candidate.Type.Accels > 0 {
		score += unusedAcceleratorsPenalty
		if request.LongRunning {
			score += keptAcceleratorsPenalty
		}
	}
	if request.AllowSpot && !candidate.Spot {
		score += onDemandPenalty
	}
	if candidate.FailedBefore {
		score += failedBeforePenalty
	}
	return score
}

// pullCost is what the pull of the task's image counts.
func pullCost(candidate *Candidate, request *Request) float64 {
	if candidate.ImageCached && candidate.ImageExpected {
		return 0
	}
	pullAlone := request.ImageGB / max(candidate.Type.PullGBPerS, minPullGBPerS)
	if candidate.ImageExpected {
		return pullAlone / expectedPullShare
	}
	cost := pullAlone * float64(1+candidate.OtherPulls)
	if candidate.PullsForHigherPriority {
		cost += slowedPullPenalty
	}
	return cost
}
