package placement

import (
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Request holds the requirements of one task for its machine.
type Request struct {
	Resources     Resources
	InstanceTypes []string // allowed instance types; nil allows any
	Zone          string   // empty allows any
	AllowSpot     bool     // whether spot instances are allowed
	Image         string
	ImageGB       float64
	LongRunning   bool // the task runs until it is cancelled
}

// Allows reports whether the task may run on an instance of the given type, zone and market.
func (r *Request) Allows(instanceType, zone string, spot bool) bool {
	if spot && !r.AllowSpot || r.Zone != "" && r.Zone != zone {
		return false
	}
	return r.InstanceTypes == nil || slices.Contains(r.InstanceTypes, instanceType)
}

// Candidate is an instance on which a task may be placed.
type Candidate struct {
	Name                   ids.Machine
	Type                   *InstanceType
	Zone                   string
	Spot                   bool
	Free                   Resources
	ImageExpected          bool // has the task's image in its cache or is pulling it
	ImageCached            bool // has the task's image in its cache, so that the task starts at once
	OtherPulls             int  // number of pulls of other images in progress, which share the pull rate
	PullsForHigherPriority bool // pulls images for tasks of higher priority, which must not be slowed
	FailedBefore           bool // this task failed on the candidate before
	Reserved               bool // its free capacity is reserved for another job
	// ScalingIn is set if the instance will be terminated once it is idle. An instance with accelerators
	// still accepts tasks that need accelerators.
	ScalingIn bool
}

// These constants weigh the drawbacks of a candidate in its score, which is in approximate seconds.
const (
	slowedPullPenalty         = 30   // would slow down a pull for tasks of higher priority
	fragmentationWeight       = 2    // per resource, multiplied by the fraction left unused
	unusedAcceleratorsPenalty = 3    // has accelerators that the task does not use
	preventedScaleInPenalty   = 60   // in addition, if a long-running task would prevent scale-in of the instance
	onDemandPenalty           = 2    // is an on-demand instance although the task accepts spot instances
	failedBeforePenalty       = 1000 // the task failed on the candidate before
	pullInProgressDivisor     = 2    // divisor of the pull time: a pull in progress is assumed to be half done
	minPullGBPerS             = 0.01 // assumed for instance types without a rate
	minTypeCapacity           = 1    // avoids division by zero
)

// Score returns the score of a candidate in approximate seconds. Lower scores are better. The score
// includes the time of the image pull and a penalty for fragmentation, which is the capacity left unused.
// Further penalties keep instances with accelerators and on-demand instances free for tasks that need them.
func Score(candidate *Candidate, request *Request) float64 {
	score := pullCost(candidate, request)
	unused := candidate.Free.Minus(request.Resources)
	score += fragmentationWeight * (unused.Cores/max(candidate.Type.Cores, minTypeCapacity) + unused.RAM/max(candidate.Type.RAM, minTypeCapacity))
	if request.Resources.Accels == 0 && candidate.Type.Accels > 0 {
		score += unusedAcceleratorsPenalty
		if request.LongRunning {
			score += preventedScaleInPenalty
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

// pullCost returns the contribution of the task's image pull to the score.
func pullCost(candidate *Candidate, request *Request) float64 {
	if candidate.ImageCached && candidate.ImageExpected {
		return 0
	}
	pullSeconds := request.ImageGB / max(candidate.Type.PullGBPerS, minPullGBPerS)
	if candidate.ImageExpected {
		return pullSeconds / pullInProgressDivisor
	}
	cost := pullSeconds * float64(1+candidate.OtherPulls)
	if candidate.PullsForHigherPriority {
		cost += slowedPullPenalty
	}
	return cost
}
