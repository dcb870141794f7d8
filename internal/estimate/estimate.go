// Package estimate estimates how long machines take to boot, images take to be pulled and jobs take to
// complete. Estimates of boot times are based on the machines that have booted recently.
//
// The package has no lock of its own: an Estimator is guarded by the lock of the cluster state that owns it.
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

// New returns an estimator without recorded boots.
func New(settings *config.Settings, index *capacity.Index) *Estimator {
	return &Estimator{settings: settings, capacity: index, boots: map[string]*bootHistory{}}
}

// RecordBoot records the boot time of a machine that has reported for the first time.
func (e *Estimator) RecordBoot(machine *worker.Machine, now time.Time) {
	history := e.boots[machine.Type]
	if history == nil {
		history = &bootHistory{}
		e.boots[machine.Type] = history
	}
	history.add(now.Sub(machine.ProvisionedAt))
	history.newestProvisioned = worker.Later(history.newestProvisioned, machine.ProvisionedAt)
}

// BootTime returns how long machines of a type currently take to boot, but at least their nominal time.
func (e *Estimator) BootTime(machineType *placement.InstanceType) time.Duration {
	return max(machineType.BootS.Duration(), e.boots[machineType.Label].percentile75())
}

// sameRequestTolerance is the maximum difference between the recorded provisioning times of machines that
// were provisioned by the same request.
const sameRequestTolerance = 2 * time.Second

// LaterMachineBooted reports whether another machine of the same type that was provisioned together with the
// given one, or after it, has booted already.
func (e *Estimator) LaterMachineBooted(machine *worker.Machine) bool {
	history := e.boots[machine.Type]
	return history != nil && history.newestProvisioned.After(machine.ProvisionedAt.Add(-sameRequestTolerance))
}

// minPullRate is the pull rate, in GB per second, that is assumed for machine types with a lower rate or
// none.
const minPullRate = 0.01

// PullSeconds returns the time, in seconds, that a machine type takes to pull an image of imageGB.
func PullSeconds(machineType *placement.InstanceType, imageGB float64) float64 {
	return imageGB / max(machineType.PullGBPerS, minPullRate)
}

// ImagePullSeconds returns the time, in seconds, that the pull of a spec's image takes on the fastest
// machine type with room for one task, or 0 if no type has room.
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

// ProvisionSeconds returns the time, in seconds, until a new machine for a task of a spec has booted and
// has pulled the image. It is infinite if no machine type has room for the task.
func (e *Estimator) ProvisionSeconds(spec *record.Spec) float64 {
	best := math.Inf(1)
	for _, machineType := range e.capacity.Types() {
		if machineType.Capacity().Holds(spec.Resources) {
			best = min(best, e.BootTime(machineType).Seconds()+PullSeconds(machineType, spec.ImageGB))
		}
	}
	return best
}

// JobDuration returns how long a job takes from its start, including the image pull, according to the
// duration estimate in its spec.
func (e *Estimator) JobDuration(spec *record.Spec) time.Duration {
	return ids.Seconds(float64(spec.EstimatedDuration) + e.ImagePullSeconds(spec)).Duration()
}

const (
	// minHorizon and maxHorizon are the bounds, in seconds, of the queue horizon of jobs other than gangs.
	minHorizon = 10
	maxHorizon = 60
	// slackDivisor limits the queue horizon to a fraction of the job's slack. The rest of the slack is
	// kept for delays and for bursts of submissions.
	slackDivisor = 4
)

// QueueHorizon returns the time, in seconds, within which a queued job should start. No machines need to
// be provisioned for queued tasks that existing machines can start within this time.
func (e *Estimator) QueueHorizon(job *workload.Job) float64 {
	spec := &job.Record.Spec
	if spec.JobType == record.Gang {
		// A new machine helps a queued gang only if waiting for a running gang to end takes longer than
		// booting a machine and pulling the image.
		return e.ProvisionSeconds(spec)
	}
	if job.Guaranteed || job.EffectivePriority() >= record.High {
		return minHorizon
	}
	slack := e.secondsLeft(job) - float64(spec.EstimatedDuration)
	return max(minHorizon, min(maxHorizon, slack/slackDivisor))
}

// secondsLeft returns the time, in seconds, in which a job should be completed: the minimum over its own
// deadline, the deadlines of jobs that depend on it and the objectives of its class.
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
