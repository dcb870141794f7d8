// Package estimate estimates durations: how long machines take to boot, images to be pulled and jobs to
// complete. It learns boot times from the machines that have come up.
//
// The package has no lock: the lock of the cluster state that an Estimator belongs to guards it.
package estimate

import (
	"math"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Estimator estimates durations from the settings, the cloud's machine types and recent boots.
type Estimator struct {
	settings *config.Settings
	capacity *capacity.Index
	boots    map[string]*bootHistory // by machine type
}

// New returns an estimator that has seen no boots.
func New(settings *config.Settings, index *capacity.Index) *Estimator {
	return &Estimator{settings: settings, capacity: index, boots: map[string]*bootHistory{}}
}

// RecordBoot records the boot of a machine that has reported for the first time.
func (e *Estimator) RecordBoot(machine *worker.Machine, now time.Time) {
	history := e.boots[machine.Type]
	if history == nil {
		history = &bootHistory{}
		e.boots[machine.Type] = history
	}
	history.add(now.Sub(machine.ProvisionedAt))
	history.newestProvisioned = worker.Later(history.newestProvisioned, machine.ProvisionedAt)
}

// BootTime returns how long machines of a type currently take to boot, but no less than nominal.
func (e *Estimator) BootTime(machineType *placement.InstanceType) time.Duration {
	return max(machineType.BootS.Duration(), e.boots[machineType.Label].typical())
}

// provisionedTogether is the largest difference between the recorded provisioning times of machines that one
// request provisioned.
const provisionedTogether = 2 * time.Second

// IsOvertaken reports whether a machine of the same type that was provisioned with this one, or after it,
// has come up.
func (e *Estimator) IsOvertaken(machine *worker.Machine) bool {
	history := e.boots[machine.Type]
	return history != nil && history.newestProvisioned.After(machine.ProvisionedAt.Add(-provisionedTogether))
}

// minPullRate, in GB per second, is assumed for machine types without a rate.
const minPullRate = 0.01

// PullSeconds returns how long a machine type takes to pull an image of a size in GB.
func PullSeconds(machineType *placement.InstanceType, imageGB float64) float64 {
	return imageGB / max(machineType.PullGBPerS, minPullRate)
}

// ImagePullSeconds returns how long the pull of a spec's image takes on the fastest type that has room
// for a task of it; 0 if no type has.
func (e *Estimator) ImagePullSeconds(spec *record.Spec) float64 {
	best := 0.0
	for _, machineType := range e.capacity.Types() {
		if !machineType.Capacity().Holds(spec.Resources) {
			continue
		}
		if seconds := PullSeconds(machineType, spec.ImageGB); best == 0 || seconds < best {
			best = seconds
		}
	}
	return best
}

// ProvisionSeconds returns how long it takes until a new machine for a task of a spec is up and has the
// image; infinite if no type has room for the task.
func (e *Estimator) ProvisionSeconds(spec *record.Spec) float64 {
	best := math.Inf(1)
	for _, machineType := range e.capacity.Types() {
		if machineType.Capacity().Holds(spec.Resources) {
			best = min(best, e.BootTime(machineType).Seconds()+PullSeconds(machineType, spec.ImageGB))
		}
	}
	return best
}

// JobDuration returns how long a job takes once it may start, by its own estimate.
func (e *Estimator) JobDuration(spec *record.Spec) time.Duration {
	return ids.Seconds(float64(spec.EstimatedDuration) + e.ImagePullSeconds(spec)).Duration()
}

const (
	// minHorizon and maxHorizon bound the horizon of a queue, in seconds.
	minHorizon = 10
	maxHorizon = 60
	// slackDivisor limits the horizon to a part of the job's slack; the rest is kept for bursts of
	// arrivals and delays.
	slackDivisor = 4
)

// QueueHorizon returns the time, in seconds, within which a queued job should start. A queue that the
// present machines clear within it needs no new ones.
func (e *Estimator) QueueHorizon(job *workload.Job) float64 {
	spec := &job.Record.Spec
	if spec.Shape == record.Gang {
		// A new machine helps a queued gang only if waiting for a running one to end takes longer than
		// booting a machine and pulling the image.
		return e.ProvisionSeconds(spec)
	}
	if job.Guaranteed || job.EffectivePriority() >= record.High {
		return minHorizon
	}
	slack := e.secondsLeft(job) - float64(spec.EstimatedDuration)
	return max(minHorizon, min(maxHorizon, slack/slackDivisor))
}

// secondsLeft returns the time until a job should be complete: the least of its own deadline, the
// deadlines of jobs that depend on it and the objectives of its class.
func (e *Estimator) secondsLeft(job *workload.Job) float64 {
	spec := &job.Record.Spec
	left := math.Inf(1)
	if spec.Deadline > 0 {
		left = float64(spec.Deadline) - job.Record.DependencyWait().Seconds()
	}
	if deadline := job.Inherited.Deadline; !deadline.IsZero() {
		left = min(left, time.Until(deadline).Seconds())
	}
	for _, objective := range e.settings.Params.Objectives {
		if objective.Class == spec.Class && objective.Kind == config.ObjectiveFinished {
			left = min(left, float64(objective.WithinS))
		}
	}
	return left
}
