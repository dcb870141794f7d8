// Package provisioning decides how large a shard's fleet should be: what the queued jobs call for, what
// headroom is kept, which machines boot too late, and which are terminated. It decides on values that it
// reads and marks machines; the calls of the cloud are internal/fleet's. It takes no lock:
// internal/clusterstate's State guards it.
package provisioning

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/estimate"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/liveness"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/scheduler"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Rollouts is what rollouts want with machines.
type Rollouts interface {
	// Keeps tells that a machine replaces another one and is still observed.
	Keeps(machine ids.Machine) bool
	// OrderFor is what a rollout wants with a machine, if any does.
	OrderFor(machine ids.Machine) (order rollout.Order, ok bool)
	// MayConsolidate tells that no rollout is moving replicas.
	MayConsolidate() bool
	// SurgeDemands is what has to be rented before replicas can be moved.
	SurgeDemands() []placement.Demand
}

// State is what the planner reads of the shard. Of the machines it sets what concerns their end.
type State struct {
	Settings  *config.Settings
	Jobs      *workload.Queue
	Machines  *worker.Registry
	Capacity  *capacity.Index
	Estimates *estimate.Estimator
	Scheduler *scheduler.Scheduler
	Rollouts  Rollouts
	Zones     *liveness.Zones
	// StoreAvailable tells whether the store has answered just now.
	StoreAvailable func() bool
	// TrustSilence is from when on the silence of a machine that never reported to this leader counts.
	TrustSilence func() time.Time
}

// Planner plans the fleet of one shard during one term.
type Planner struct {
	State
	usage          classUsages
	consolidation  consolidation
	shortage       shortage
	cloudListBegan time.Time
}

// New makes the planner of one term.
func New(state State) *Planner {
	return &Planner{State: state, usage: classUsages{classes: map[string]*classUsage{}}}
}

// reportInterval is how often workers report.
func (p *Planner) reportInterval() ids.Seconds { return p.Settings.Params.Workers.ReportS }

// CloudListRead notes that the cloud's list was read to its end, and when that reading began.
func (p *Planner) CloudListRead(began time.Time) { p.cloudListBegan = began }

// listLags is how many times its nominal lag the cloud's list may lag, and one more.
const listLags = 3

// CloudListLag is after how long a machine must be in the cloud's list.
func (p *Planner) CloudListLag() time.Duration {
	return listLags * p.Settings.Params.Cloud.ListLagS.Duration()
}

// CloudListSince tells whether the cloud's list was read to its end, and how long after a moment that
// reading began.
func (p *Planner) CloudListSince(moment time.Time) time.Duration { return p.cloudListBegan.Sub(moment) }

// missingFromCloud tells whether the cloud surely knows a machine no more: a machine stays listed until
// it is gone.
func (p *Planner) missingFromCloud(machine *worker.Machine) bool {
	lag := p.CloudListLag()
	return !machine.HasReported && p.CloudListSince(machine.DiscoveredAt) > lag &&
		machine.ListedAt.Before(p.cloudListBegan) && p.CloudListSince(machine.ListedAt) > lag
}
