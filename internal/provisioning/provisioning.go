// Package provisioning plans the fleet of a shard: which capacity to provision for queued jobs and as
// headroom, which machines boot too late, which to consolidate, and which to terminate. It makes
// decisions and marks machines; internal/fleet calls the cloud.
//
// Planner is the entry point. Each decision has an owner of its own: queuePlanner for queued jobs,
// usageHistory and headroomPlanner for headroom, bootTracker for late machines, consolidator for
// replicas that can be moved together, shortageTracker for other shards' needs, and terminator for the
// machines to delete.
//
// The package has no lock: the lock of the cluster state that a Planner belongs to guards all of it.
// Every method is called under that lock, and so are the functions and interfaces in State.
package provisioning

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/estimate"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/liveness"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Scheduler is what the planner asks of the shard's scheduler.
type Scheduler interface {
	// Ranked returns the jobs that have tasks to assign, most important first.
	Ranked(now time.Time) []*workload.Job
	// QuotaLeft returns how many tasks like those of a spec, at most want, its team's quota has room for.
	QuotaLeft(spec *record.Spec, want int) int
}

// Rollouts is what the planner asks about rollouts.
type Rollouts interface {
	// Keeps reports whether a machine replaces another one and is still being observed.
	Keeps(machine ids.Machine) bool
	// OrderFor returns the order that a rollout has for a machine, if any.
	OrderFor(machine ids.Machine) (order rollout.Order, ok bool)
	// MayConsolidate reports whether no rollout is moving replicas.
	MayConsolidate() bool
	// SurgeDemands returns the capacity that must be provisioned before replicas can be moved.
	SurgeDemands() []placement.Demand
}

// State is what the planner reads of its shard. It changes machines only in the fields about their
// termination.
type State struct {
	Settings  *config.Settings
	Jobs      *workload.Queue
	Machines  *worker.Registry
	Capacity  *capacity.Index
	Estimates *estimate.Estimator
	Scheduler Scheduler
	Rollouts  Rollouts
	Zones     *liveness.Zones
	// StoreAvailable reports whether the state service has answered recently.
	StoreAvailable func() bool
	// TrustSilence returns the time from which the silence of a machine that has never reported to this
	// leader counts: until then an earlier leader may have been answering it.
	TrustSilence func() time.Time
}

// reportInterval returns how often workers report.
func (s *State) reportInterval() ids.Seconds { return s.Settings.Params.Workers.ReportS }

// machinePrice returns the price of a machine per hour; 0 if its type is not known.
func (s *State) machinePrice(machine *worker.Machine) float64 {
	if offer := s.Capacity.Type(machine.Type); offer != nil {
		return offer.HourlyPrice(machine.Spot)
	}
	return 0
}

// Planner plans the fleet of one shard during one term of its leader.
type Planner struct {
	*State
	cloudList    *cloudList
	usage        *usageHistory
	headroom     *headroomPlanner
	queue        *queuePlanner
	boots        *bootTracker
	consolidator *consolidator
	shortage     *shortageTracker
	terminator   *terminator
}

// New returns the planner of one term.
func New(state State) *Planner {
	shared := &state
	list := &cloudList{State: shared}
	usage := &usageHistory{State: shared, classes: map[string]*classUsage{}}
	boots := &bootTracker{shared}
	consolidator := &consolidator{State: shared}
	shortage := &shortageTracker{State: shared}
	return &Planner{
		State:        shared,
		cloudList:    list,
		usage:        usage,
		headroom:     &headroomPlanner{State: shared, usage: usage},
		queue:        &queuePlanner{shared},
		boots:        boots,
		consolidator: consolidator,
		shortage:     shortage,
		terminator:   &terminator{State: shared, cloudList: list, boots: boots, consolidator: consolidator, shortage: shortage},
	}
}

// Demands returns the capacity that the fleet should provide, most important first.
func (p *Planner) Demands(now time.Time) []placement.Demand {
	demands := append(p.queue.demands(now), p.Rollouts.SurgeDemands()...)
	if !p.shortage.ofOthers {
		demands = append(demands, p.headroom.demands()...)
	}
	return demands
}

// Types returns the machine types that the cloud offers, sorted by name.
func (p *Planner) Types() []*placement.InstanceType {
	return slices.SortedFunc(maps.Values(p.Capacity.Types()), func(x, y *placement.InstanceType) int { return cmp.Compare(x.Label, y.Label) })
}

// Instances returns the machines that are up or booting, sorted by name, in the form in which scale-out
// and scale-in consider them. Machines that are leaving or silent are left out.
func (p *Planner) Instances(now time.Time) (instances []placement.Instance) {
	replaced := p.boots.replaced(now)
	for _, machine := range p.Machines.Sorted() {
		offer := p.Capacity.Type(machine.Type)
		if offer == nil || machine.Failed || machine.Deleting || machine.DrainReason != "" || !machine.SpotTerminationAt.IsZero() {
			continue
		}
		if machine.HasReported && !machine.Schedulable(now, p.reportInterval()) || p.consolidator.isEmptying(machine.Name) {
			continue
		}
		instance := placement.Instance{Name: machine.Name, Type: offer, Zone: machine.Zone, Spot: machine.Spot,
			Pending: !machine.HasReported, Overdue: replaced[machine.Name], Free: offer.Capacity(), Idle: machine.HasReported}
		if node := p.Capacity.Node(machine.Name); node != nil {
			instance.Free = instance.Free.Minus(node.Used)
			instance.Reclaimable = node.Reclaimable
			instance.Idle = machine.HasReported && len(node.Assignments) == 0
		}
		instances = append(instances, instance)
	}
	return instances
}

// SampleUsage samples the usage of each class of jobs once a second. It reports whether it took a sample
// in this call.
func (p *Planner) SampleUsage(now time.Time) bool { return p.usage.sample(now) }

// Lateness returns how late a provisioned machine is that has not reported yet.
func (p *Planner) Lateness(machine *worker.Machine, now time.Time) Lateness {
	return p.boots.lateness(machine, now)
}

// DescribeBooting describes, for the user, the booting machines that a pending job could use, in one
// line or none.
func (p *Planner) DescribeBooting(job *workload.Job, now time.Time) []string {
	return p.boots.describe(job, now)
}

// ConsolidationCandidates returns machines that have only replicas on them, those with the least use for
// their price first. It returns none while a machine is being emptied or a rollout moves replicas, so
// that replicas which need not move are disturbed for one reason at a time.
func (p *Planner) ConsolidationCandidates(now time.Time) []ConsolidationCandidate {
	return p.consolidator.candidates(now)
}

// Consolidate begins to move a machine's replicas elsewhere; an empty name ends that. It reports whether
// a machine was being emptied until now.
func (p *Planner) Consolidate(name ids.Machine, now time.Time) bool {
	return p.consolidator.begin(name, now)
}

// SetShortage records whether the cloud currently refuses capacity that pending jobs need.
func (p *Planner) SetShortage(refused bool, now time.Time) { p.shortage.set(refused, now) }

// Shortage returns this shard's shortage of machines.
func (p *Planner) Shortage() Shortage { return p.shortage.current() }

// ShareCapacity gives capacity up for other shards that have had a shortage for othersShortage: no
// headroom is kept, and if that lasts, machines beyond this shard's part of the fleet are released, one
// at a time.
func (p *Planner) ShareCapacity(othersShortage time.Duration, part int, now time.Time) {
	p.shortage.shareCapacity(othersShortage, part, now)
}

// MachinesToTerminate returns the machines to delete now, sorted by name, and marks them so that nothing
// more is assigned to them. needed are the machines that a plan of the whole fleet keeps.
func (p *Planner) MachinesToTerminate(now time.Time, needed map[ids.Machine]bool) []ids.Machine {
	return p.terminator.machinesToTerminate(now, needed)
}

// CloudListRead records that the cloud's list of machines was read to its end, and when that read began.
func (p *Planner) CloudListRead(began time.Time) { p.cloudList.readBegan = began }

// CloudListLag returns how long after its provisioning a machine is certain to be in the cloud's list.
func (p *Planner) CloudListLag() time.Duration { return p.cloudList.lag() }

// CloudListSince returns how long after a moment the last complete read of the cloud's list began.
func (p *Planner) CloudListSince(moment time.Time) time.Duration { return p.cloudList.since(moment) }
