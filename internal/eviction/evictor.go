// Package eviction drains machines gracefully: for rollouts, within the teams' disruption budgets and with
// permits that are stored before any task is stopped; and machines that the cloud reclaims, on which tasks
// keep failing, or that are consolidated.
//
// Evictor is the entry point and View is what rollouts see of the fleet. Each decision has an owner of its
// own: orderBook for what rollouts want, disruptionCounter for the teams' budgets, permitTracker for
// evictions in progress, drainer for the next step of emptying a machine, roomFinder for room elsewhere,
// surgePlanner for room to provision first, leavingMachines and relocator for machines that are drained
// without a rollout, replacementTracker for replacement machines, and blockerList for what drains wait for.
//
// The package has no lock: the lock of the cluster state that an Evictor belongs to guards all of it. Every
// method is called under that lock, and so are the methods of Cluster. Only the methods of View take that
// lock, through State.Lock, and must not be called under it.
package eviction

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/estimate"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/scheduler"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Cluster is what evictions ask of the cluster state. Every method is called under that state's lock.
type Cluster interface {
	// StoreAvailable reports whether the store has answered recently: while it does not, nothing is
	// stopped that could not be started again.
	StoreAvailable() bool
	// Stop requests that a task be stopped, with a grace period in which it may save a checkpoint.
	Stop(assignment *workload.Assignment, grace ids.Seconds, reason string)
	// MarkChanged records that a job's record changed; MarkUrgent that it must be stored at once.
	MarkChanged(job *workload.Job)
	MarkUrgent(job *workload.Job)
	// Terminated reports whether the cloud confirmed a machine's deletion.
	Terminated(machine ids.Machine) bool
	// CloudListConclusive reports whether the cloud's list was read so long after the term began that it
	// names every machine.
	CloudListConclusive() bool
}

// State is what evictions read of the shard.
type State struct {
	Settings  *config.Settings
	Jobs      *workload.Queue
	Machines  *worker.Registry
	Capacity  *capacity.Index
	Estimates *estimate.Estimator
	Scheduler *scheduler.Scheduler
	// FirstGeneration is the fencing token that the term began with.
	FirstGeneration ids.Generation
	// Lock is the cluster state's lock, which View takes.
	Lock sync.Locker
}

// reportInterval returns how often workers report.
func (s *State) reportInterval() ids.Seconds { return s.Settings.Params.Workers.ReportS }

// Evictor stops tasks so that machines become empty. It keeps no count of what a team has down: that is
// worked out anew at each look, from the records and the reports (docs/drains.md).
type Evictor struct {
	*State
	cluster      Cluster
	orders       *orderBook
	disruption   *disruptionCounter
	permits      *permitTracker
	blockers     *blockerList
	rooms        *roomFinder
	drainer      *drainer
	surge        *surgePlanner
	relocator    *relocator
	leaving      *leavingMachines
	replacements *replacementTracker

	lookedAt time.Time
	looks    int
}

// New returns the evictor of one term.
func New(state State, cluster Cluster) *Evictor {
	shared := &state
	orders := &orderBook{machines: state.Machines}
	disruption := newDisruptionCounter(shared)
	blockers := newBlockerList()
	rooms := &roomFinder{State: shared, orders: orders}
	permits := &permitTracker{
		State: shared, cluster: cluster, orders: orders, disruption: disruption, blockers: blockers,
		pending: map[*workload.Assignment]*evictionStep{}, evicted: map[*workload.Job]bool{},
	}
	relocator := &relocator{State: shared, cluster: cluster, disruption: disruption, permits: permits}
	return &Evictor{
		State: shared, cluster: cluster, orders: orders, disruption: disruption, permits: permits, blockers: blockers, rooms: rooms,
		drainer: &drainer{
			State: shared, cluster: cluster, disruption: disruption, permits: permits, blockers: blockers, rooms: rooms,
		},
		surge:     &surgePlanner{State: shared, orders: orders, blockers: blockers},
		relocator: relocator,
		leaving:   &leavingMachines{State: shared, cluster: cluster, disruption: disruption, relocator: relocator},
		replacements: &replacementTracker{
			orders: orders, provisioned: map[ids.ProvisioningRequest][]ids.Machine{}, lost: map[ids.Machine]string{},
		},
	}
}

// Enabled reports whether drains are enabled.
func (e *Evictor) Enabled() bool { return e.disruption.enabled() }

// Looks returns how often the teams' budgets were looked at so far.
func (e *Evictor) Looks() int { return e.looks }

// Interval is the least time between two looks at what may be stopped.
const Interval = 200 * time.Millisecond

// AwaitsOrders reports whether drains are enabled and the stored rollouts are not known yet: what is assigned
// now might go to a machine that is being drained.
func (e *Evictor) AwaitsOrders() bool { return e.Enabled() && !e.orders.known() }

// CarryOut replaces what rollouts want. It reports whether a machine was cordoned or uncordoned, or the orders
// are the first.
func (e *Evictor) CarryOut(orders *rollout.Orders) (changed bool) {
	return e.Enabled() && e.orders.replace(orders)
}

// Load takes in the evictions of a record just read: their permits were granted, and whether the stops were
// sent is not known.
func (e *Evictor) Load(job *workload.Job) {
	if e.Enabled() && len(job.Record.Evictions) > 0 {
		e.permits.load(job)
	}
}

// Run looks at what may be stopped, if the last look was at least Interval ago.
func (e *Evictor) Run(now time.Time) {
	if e.Enabled() && now.Sub(e.lookedAt) >= Interval {
		e.Look(now)
	}
}

// Look looks at what may be stopped for rollouts, and on machines on which tasks keep failing, and has it
// stopped. It does nothing where no machine is to be drained and no eviction is in progress. Drains must be
// enabled and the orders known.
func (e *Evictor) Look(now time.Time) {
	ordered := e.orders.current.Machines
	if len(ordered) == 0 && len(e.permits.evicted) == 0 && !e.Machines.AnyLeaving() {
		return
	}
	e.lookedAt = now
	e.looks++
	e.permits.clearFinished(now)
	e.permits.withdraw()
	e.blockers.clear()
	if !e.cluster.StoreAvailable() {
		for name := range ordered {
			e.blockers.add(name, "the state service does not answer: nothing is stopped that could not be started again")
		}
		return
	}
	meter := e.disruption.meter(now)
	e.permits.stopStored(meter, now)
	orders := e.drainOrders()
	for _, name := range slices.Sorted(maps.Keys(orders)) {
		switch order := orders[name]; {
		case order.Drain:
			e.drainer.evictNextStep(name, order, meter, now)
		case order.Return:
			e.blockers.add(name, "the cloud has not confirmed its return yet")
		}
	}
}

// drainOrders returns the machines that rollouts want drained or returned, and those that the leader drains
// because tasks keep failing there.
func (e *Evictor) drainOrders() map[ids.Machine]rollout.Order {
	orders := maps.Clone(e.orders.current.Machines)
	for _, machine := range e.Machines.Leaving() {
		_, ordered := orders[machine.Name]
		if !ordered && machine.DrainReason != "" && machine.SpotTerminationAt.IsZero() {
			orders[machine.Name] = rollout.Order{Rollout: faulty, Drain: true, Stop: true}
		}
	}
	return orders
}

// StopOnLeavingMachines stops, in time to save a checkpoint or to start elsewhere, what is on machines that the
// cloud reclaims or on which tasks keep failing, and relocates replicas off those to be deleted when empty.
func (e *Evictor) StopOnLeavingMachines(now time.Time) { e.leaving.stop(now) }

// RelocateReplica moves one replica at a time off a machine that runs nothing but replicas, when another
// machine has room and the image.
func (e *Evictor) RelocateReplica(machine *worker.Machine, now time.Time) {
	e.relocator.relocate(machine, now)
}

// FindRoom returns a machine with room for one more task of a job, outside the machines in reserved; nil if
// there is none. Work without accelerators gets a machine with some only where nothing else has room.
func (e *Evictor) FindRoom(
	job *workload.Job, zones *scheduler.ZoneSpread, reserved map[ids.Machine]scheduler.Reservation, now time.Time,
) *capacity.Node {
	return e.rooms.find(job, zones, reserved, now)
}

// SurgeDemands returns the capacity that must be provisioned before what is to be moved can be stopped: of
// rollouts that provision no replacements, for replicas that have no room elsewhere.
func (e *Evictor) SurgeDemands() []placement.Demand { return e.surge.demands() }

// QuotaForRelocated returns what a job must leave of its team's quota to tasks that rollouts have stopped and
// that are not assigned again: else less important work that is pending would take it, and a replica that was
// only to be moved would stay down.
func (e *Evictor) QuotaForRelocated(job *workload.Job) (kept placement.Resources) {
	if !e.Enabled() {
		return kept
	}
	return e.permits.quotaForRelocated(job)
}

// Blockers returns what the machines being drained wait for.
func (e *Evictor) Blockers() map[ids.Machine][]string { return e.blockers.all() }

// OrderFor returns what rollouts want with a machine, if anything.
func (e *Evictor) OrderFor(name ids.Machine) (order rollout.Order, ok bool) { return e.orders.of(name) }

// ClosedZones returns the zones that rollouts give up: nothing is provisioned there meanwhile.
func (e *Evictor) ClosedZones() map[string]rollout.Name { return e.orders.closedZones() }

// MayConsolidate reports whether no rollout is moving replicas, and none may begin unknown to this leader.
func (e *Evictor) MayConsolidate() bool { return !e.Enabled() || e.orders.none() }

// Keeps reports whether a machine replaces another one and is still observed.
func (e *Evictor) Keeps(name ids.Machine) bool { return e.orders.keeps(name) }

// ReplacementsToProvision returns the replacements that rollouts want and that were not provisioned yet.
func (e *Evictor) ReplacementsToProvision() []rollout.ProvisioningRequest {
	return e.replacements.toProvision()
}

// ReplacementsProvisioned records the machines provisioned for a request, if it was one for replacements.
func (e *Evictor) ReplacementsProvisioned(name ids.ProvisioningRequest, machines []ids.Machine) {
	if e.Enabled() {
		e.replacements.recordProvisioned(name, machines)
	}
}

// ReplacementLost records why a replacement was given up, if a rollout still observed it.
func (e *Evictor) ReplacementLost(name ids.Machine, reason string) {
	e.replacements.recordLost(name, reason)
}
