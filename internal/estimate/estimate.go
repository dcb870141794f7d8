// Package estimate guesses how long things take: machines until they are up, images until they are
// pulled, jobs until they are complete. It learns from the boots that it is told of. It takes no lock:
// internal/clusterstate's State guards it.
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

// Estimator holds what was learned of boots beside the settings and the cloud's machine types.
type Estimator struct {
	settings *config.Settings
	capacity *capacity.Index
	boots    map[string]*bootHistory // by machine type
}

// New makes an estimator that has seen no boot.
func New(settings *config.Settings, index *capacity.Index) *Estimator {
	return &Estimator{settings: settings, capacity: index, boots: map[string]*bootHistory{}}
}

// RecordBoot notes that a machine was heard for the first time since it was rented.
func (e *Estimator) RecordBoot(machine *worker.Machine, now time.Time) {
	history := e.boots[machine.Type]
	if history == nil {
		history = &bootHistory{}
		e.boots[machine.Type] = history
	}
	history.add(now.Sub(machine.ProvisionedAt))
	history.newestRental = worker.Later(history.newestRental, machine.ProvisionedAt)
}

// BootTime is how long a boot of the type takes now, its nominal time at least.
func (e *Estimator) BootTime(machineType *placement.InstanceType) time.Duration {
	return max(machineType.BootS.Duration(), e.boots[machineType.Label].typical())
}

// rentedTogether is how far apart machines that one request rented may have been learned of.
const rentedTogether = 2 * time.Second

// Overtaken tells whether a machine of its type that was rented with it or after it is up.
func (e *Estimator) Overtaken(machine *worker.Machine) bool {
	history := e.boots[machine.Type]
	return history != nil && history.newestRental.After(machine.ProvisionedAt.Add(-rentedTogether))
}

// minPullRate is assumed, in GB a second, of a machine type that names none.
const minPullRate = 0.01

// pullSeconds is how long an image takes on a machine type.
func pullSeconds(machineType *placement.InstanceType, imageGB float64) float64 {
	return imageGB / max(machineType.PullGBPerS, minPullRate)
}

// ImagePullSeconds is how long a task's image takes on the type that pulls it fastest.
func (e *Estimator) ImagePullSeconds(spec *record.Spec) float64 {
	best := 0.0
	for _, machineType := range e.capacity.Types() {
		if !machineType.Capacity().Holds(spec.Resources) {
			continue
		}
		if took := pullSeconds(machineType, spec.ImageGB); best == 0 || took < best {
			best = took
		}
	}
	return best
}

// ProvisionSeconds is how long a new machine for such tasks takes to be up with the image.
func (e *Estimator) ProvisionSeconds(spec *record.Spec) float64 {
	best := math.Inf(1)
	for _, machineType := range e.capacity.Types() {
		if machineType.Capacity().Holds(spec.Resources) {
			best = min(best, e.BootTime(machineType).Seconds()+pullSeconds(machineType, spec.ImageGB))
		}
	}
	return best
}

// JobDuration is how long a job takes once it may start, by its own estimate.
func (e *Estimator) JobDuration(spec *record.Spec) time.Duration {
	return ids.Seconds(float64(spec.EstimatedDuration) + e.ImagePullSeconds(spec)).Duration()
}

// The least and the most of a queue's horizon, in seconds, and the part of a job's slack that it may
// take: the rest is for arrivals in bunches and bad luck.
const (
	minHorizon   = 10
	maxHorizon   = 60
	slackDivisor = 4
)

// QueueHorizon is the time, in seconds, within which a queued job should get its turn: a queue that
// the machines at hand work off sooner needs no new ones.
func (e *Estimator) QueueHorizon(job *workload.Job) float64 {
	spec := &job.Record.Spec
	if spec.Shape == record.Gang {
		// A queued gang gains from a new machine only if the wait for a running one to end is longer
		// than a boot and a pull.
		return e.ProvisionSeconds(spec)
	}
	if job.Guaranteed || job.EffectivePriority() >= record.High {
		return minHorizon
	}
	slack := e.secondsLeft(job) - float64(spec.EstimatedDuration)
	return max(minHorizon, min(maxHorizon, slack/slackDivisor))
}

// secondsLeft is the time until a job should be complete, by its own deadline, by that of jobs that
// depend on it and by the objectives of its class.
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
