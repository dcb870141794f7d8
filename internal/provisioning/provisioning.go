// Package provisioning plans the fleet of a shard: which capacity to provision for queued jobs and as
// headroom, which machines boot too late, which machines to consolidate, and which to terminate. It makes
// decisions and marks machines; internal/fleet calls the cloud.
//
// Planner is the entry point. A type of its own makes each kind of decision: queuePlanner for queued jobs,
// usageHistory and headroomPlanner for headroom, bootTracker for late machines, consolidator for machines
// whose replicas fit elsewhere, shortageTracker for other shards' shortages, and terminator for the
// machines to delete.
//
// The package has no lock: the lock of the cluster state that a Planner belongs to guards all of it. The
// caller holds that lock for every method, so it is also held when the Planner calls the functions and
// interfaces in State.
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

// Scheduler is the part of the shard's scheduler that the Planner uses.
type Scheduler interface {
	// Ranked returns the jobs that have tasks to assign, most important first.
	Ranked(now time.Time) []*workload.Job
	// TasksWithinQuota returns how many tasks of a spec, at most want, fit into the remaining quota of its team.
	TasksWithinQuota(spec *record.Spec, want int) int
}

// Rollouts is the part of the shard's rollouts that the Planner uses.
type Rollouts interface {
	// IsObservedReplacement reports whether a machine is kept as a replacement that is still being observed.
	IsObservedReplacement(machine ids.Machine) bool
	// OrderFor returns a rollout's order for a machine. ok reports whether there is one.
	OrderFor(machine ids.Machine) (order rollout.Order, ok bool)
	// MayConsolidate reports whether no rollout is moving replicas.
	MayConsolidate() bool
	// SurgeDemands returns the capacity that must be provisioned before rollouts can move replicas.
	SurgeDemands() []placement.Demand
}

// State is the state of the shard that the Planner reads. The Planner modifies only those fields of
// machines that concern their termination.
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
	// EarliestLeaseExpiry returns the time from which the silence of a machine that has never reported to this
	// leader counts. Until then an earlier leader may have been receiving the machine's reports.
	EarliestLeaseExpiry func() time.Time
}

// reportInterval returns the configured interval between two reports of a worker.
func (s *State) reportInterval() ids.Seconds { return s.Settings.Params.Workers.ReportS }

// machinePrice returns the hourly price of a machine, or 0 if its type is unknown.
func (s *State) machinePrice(machine *worker.Machine) float64 {
	if offer := s.Capacity.Type(machine.Type); offer != nil {
		return offer.HourlyPrice(machine.Spot)
	}
	return 0
}

// Planner plans the fleet of one shard during one term of the shard's leader.
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

// New returns the Planner of one term.
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
	if !p.shortage.othersHaveShortage {
		demands = append(demands, p.headroom.demands()...)
	}
	return demands
}

// Types returns the machine types that the cloud offers, sorted by name.
func (p *Planner) Types() []*placement.InstanceType {
	return slices.SortedFunc(maps.Values(p.Capacity.Types()), func(x, y *placement.InstanceType) int { return cmp.Compare(x.Label, y.Label) })
}

// Instances returns the machines that are up or booting, sorted by name, as input of scale-out and
// scale-in. It omits machines that are leaving or silent.
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

// SampleUsage samples the usage of each job class, at most once a second. It reports whether this call
// took a sample.
func (p *Planner) SampleUsage(now time.Time) bool { return p.usage.sample(now) }

// BootStatus returns how late a machine is. It is NotLate for a machine that has reported.
func (p *Planner) BootStatus(machine *worker.Machine, now time.Time) BootStatus {
	return p.boots.bootStatus(machine, now)
}

// DescribeBooting returns a line that describes, for the user, the booting machines that a pending job
// could use. It returns no line if there are none.
func (p *Planner) DescribeBooting(job *workload.Job, now time.Time) []string {
	return p.boots.describe(job, now)
}

// ConsolidationCandidates returns machines on which only replicas run, ordered by the cores in use per unit
// of price, lowest first. It returns none while a machine is being emptied or a rollout moves replicas, so
// that only one process at a time causes optional moves of replicas.
func (p *Planner) ConsolidationCandidates(now time.Time) []ConsolidationCandidate {
	return p.consolidator.candidates(now)
}

// Consolidate starts to move a machine's replicas to other machines; an empty name ends the current
// consolidation. It reports whether another consolidation was in progress before the call.
func (p *Planner) Consolidate(name ids.Machine, now time.Time) bool {
	return p.consolidator.begin(name, now)
}

// SetShortage records whether the cloud currently refuses to provision capacity that pending jobs need.
func (p *Planner) SetShortage(refused bool, now time.Time) { p.shortage.setShortage(refused, now) }

// Shortage returns this shard's shortage of machines.
func (p *Planner) Shortage() Shortage { return p.shortage.current() }

// ShareCapacity frees capacity for other shards, which have been short of machines for othersShortage. The
// shard keeps no headroom during the shortage. If the shortage lasts, the shard releases the machines that
// it has beyond averageMachines, the average number of machines per shard, one at a time.
func (p *Planner) ShareCapacity(othersShortage time.Duration, averageMachines int, now time.Time) {
	p.shortage.shareCapacity(othersShortage, averageMachines, now)
}

// MachinesToTerminate returns the machines to delete now, sorted by name, and marks them so that no more
// tasks are assigned to them. needed contains the machines that the plan for the whole fleet keeps.
func (p *Planner) MachinesToTerminate(now time.Time, needed map[ids.Machine]bool) []ids.Machine {
	return p.terminator.machinesToTerminate(now, needed)
}

// CloudListRead records that a read of the cloud's list of machines, which began at the given time, was
// completed.
func (p *Planner) CloudListRead(began time.Time) { p.cloudList.readBegan = began }

// CloudListLag returns the time after its provisioning from which a machine is certainly in the cloud's
// list.
func (p *Planner) CloudListLag() time.Duration { return p.cloudList.lag() }

// CloudListSince returns the time from a moment to the start of the last complete read of the cloud's
// list. It is negative if that read began before the moment.
func (p *Planner) CloudListSince(moment time.Time) time.Duration { return p.cloudList.since(moment) }
