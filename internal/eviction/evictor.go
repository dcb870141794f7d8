// Package eviction drains machines gracefully. It drains machines for rollouts, within the teams'
// disruption budgets and with permits that are stored before any task is stopped. Without a rollout it
// drains machines that the cloud reclaims, on which tasks keep failing, or that are consolidated.
//
// Evictor is the entry point, and View is the view of the fleet for rollouts. Evictor delegates to orderSet
// for the orders of rollouts, disruptionCounter for the teams' budgets, permitTracker for evictions in
// progress, drainer for the next step in draining a machine, capacityFinder for capacity on other machines,
// surgePlanner for capacity to provision first, leavingMachineDrainer and relocator for machines that are
// drained without a rollout, replacementTracker for replacement machines, and blockerList for the reasons
// why drains wait.
//
// The package has no lock of its own. Every method is called with the lock of the cluster state held, and
// so are the methods of Cluster. Only the methods of View take that lock, through State.Lock, and must be
// called without it.
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
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/scheduler"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Cluster provides the operations on the cluster state that evictions need. Every method is called with
// that state's lock held.
type Cluster interface {
	// StoreAvailable reports whether the store has answered recently. While it does not answer, no task is
	// stopped that could not be started again.
	StoreAvailable() bool
	// Stop requests that a task be stopped, with a grace period for saving a checkpoint.
	Stop(assignment *workload.Assignment, grace ids.Seconds, reason string)
	// MarkChanged records that a job's record changed; MarkUrgent records that it must be stored at once.
	MarkChanged(job *workload.Job)
	MarkUrgent(job *workload.Job)
	// RecordSize returns the least size in bytes of a job's record with planned assignments in addition to
	// the present ones.
	RecordSize(job *workload.Job, planned []record.TaskAssignment) (int, error)
	// Terminated reports whether the cloud confirmed a machine's deletion.
	Terminated(machine ids.Machine) bool
	// CloudListConclusive reports whether the cloud's list of machines was read long enough after the
	// beginning of the term to contain every machine.
	CloudListConclusive() bool
}

// State is the part of the shard's state that evictions read.
type State struct {
	Settings  *config.Settings
	Jobs      *workload.Queue
	Machines  *worker.Registry
	Capacity  *capacity.Index
	Estimates *estimate.Estimator
	Scheduler *scheduler.Scheduler
	// FirstToken is the first fencing token of the term.
	FirstToken ids.Generation
	// Lock is the cluster state's lock, which View takes.
	Lock sync.Locker
}

// reportInterval returns the interval at which workers report.
func (s *State) reportInterval() ids.Seconds { return s.Settings.Params.Workers.ReportS }

// Evictor stops tasks so that machines become empty. It stores no counts of a team's disruptions: each
// evaluation derives them from the records and the reports (docs/drains.md).
type Evictor struct {
	*State
	cluster      Cluster
	orders       *orderSet
	disruption   *disruptionCounter
	permits      *permitTracker
	blockers     *blockerList
	finder       *capacityFinder
	drainer      *drainer
	surge        *surgePlanner
	relocator    *relocator
	leaving      *leavingMachineDrainer
	replacements *replacementTracker

	evaluatedAt time.Time
	evaluations int
}

// New returns the Evictor of one term.
func New(state State, cluster Cluster) *Evictor {
	shared := &state
	orders := &orderSet{machines: state.Machines}
	disruption := newDisruptionCounter(shared)
	blockers := newBlockerList()
	finder := &capacityFinder{State: shared, orders: orders}
	permits := &permitTracker{
		State: shared, cluster: cluster, orders: orders, disruption: disruption, blockers: blockers,
		pending: map[*workload.Assignment]*evictionStep{}, evicted: map[*workload.Job]bool{},
	}
	relocator := &relocator{State: shared, cluster: cluster, disruption: disruption, permits: permits}
	return &Evictor{
		State: shared, cluster: cluster, orders: orders, disruption: disruption, permits: permits, blockers: blockers, finder: finder,
		drainer: &drainer{
			State: shared, cluster: cluster, disruption: disruption, permits: permits, blockers: blockers, finder: finder,
		},
		surge:     &surgePlanner{State: shared, orders: orders, blockers: blockers},
		relocator: relocator,
		leaving:   &leavingMachineDrainer{State: shared, cluster: cluster, disruption: disruption, relocator: relocator},
		replacements: &replacementTracker{
			orders: orders, provisioned: map[ids.ProvisioningRequest][]ids.Machine{}, lost: map[ids.Machine]string{},
		},
	}
}

// Enabled reports whether drains are enabled.
func (e *Evictor) Enabled() bool { return e.disruption.enabled() }

// Evaluations returns the number of evaluations so far.
func (e *Evictor) Evaluations() int { return e.evaluations }

// EvaluationInterval is the minimum time between two evaluations of what may be stopped.
const EvaluationInterval = 200 * time.Millisecond

// AwaitsOrders reports whether drains are enabled and the stored rollouts are not known yet. A task
// assigned now might be placed on a machine that is being drained.
func (e *Evictor) AwaitsOrders() bool { return e.Enabled() && !e.orders.known() }

// SetOrders replaces the orders of rollouts. It reports whether a machine was cordoned or uncordoned, or the
// orders are the first.
func (e *Evictor) SetOrders(orders *rollout.Orders) (changed bool) {
	return e.Enabled() && e.orders.replace(orders)
}

// Load loads the evictions in a record that was just read. Their permits were granted; whether the stops
// were sent is not known.
func (e *Evictor) Load(job *workload.Job) {
	if e.Enabled() && len(job.Record.Evictions) > 0 {
		e.permits.load(job)
	}
}

// Run evaluates what may be stopped, if the last evaluation was at least EvaluationInterval ago.
func (e *Evictor) Run(now time.Time) {
	if e.Enabled() && now.Sub(e.evaluatedAt) >= EvaluationInterval {
		e.Evaluate(now)
	}
}

// Evaluate determines which tasks may be stopped for rollouts and on machines on which tasks keep failing, and
// stops them. It does nothing if no machine is to be drained and no eviction is in progress. Drains must be
// enabled and the orders known.
func (e *Evictor) Evaluate(now time.Time) {
	ordered := e.orders.current.Machines
	if len(ordered) == 0 && len(e.permits.evicted) == 0 && !e.Machines.AnyLeaving() {
		return
	}
	e.evaluatedAt = now
	e.evaluations++
	e.permits.removeFinished(now)
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

// drainOrders returns the orders of rollouts, and a drain order for each machine that the leader drains
// because tasks keep failing there.
func (e *Evictor) drainOrders() map[ids.Machine]rollout.Order {
	orders := maps.Clone(e.orders.current.Machines)
	for _, machine := range e.Machines.Leaving() {
		_, ordered := orders[machine.Name]
		if !ordered && machine.DrainReason != "" && machine.SpotTerminationAt.IsZero() {
			orders[machine.Name] = rollout.Order{Rollout: faultyRollout, Drain: true, Stop: true}
		}
	}
	return orders
}

// StopOnLeavingMachines stops tasks on machines that the cloud reclaims or on which tasks keep failing, in
// time to save a checkpoint or to start elsewhere. It also relocates replicas off machines that are to be
// deleted when empty.
func (e *Evictor) StopOnLeavingMachines(now time.Time) { e.leaving.stop(now) }

// RelocateReplica moves one replica at a time off a machine that runs only replicas, if another machine has
// free capacity and the image.
func (e *Evictor) RelocateReplica(machine *worker.Machine, now time.Time) {
	e.relocator.relocate(machine, now)
}

// FindCapacity returns a machine outside reserved with free capacity for one more task of a job; nil if there
// is none. A job without accelerators gets a machine with accelerators only if no other has capacity.
func (e *Evictor) FindCapacity(
	job *workload.Job, zones *scheduler.ZoneSpread, reserved map[ids.Machine]scheduler.Reservation, now time.Time,
) *capacity.Node {
	return e.finder.find(job, zones, reserved, now)
}

// SurgeDemands returns the capacity to provision for replicas that are to be moved but fit on no other
// machine. Only rollouts with surge that provision no replacements need it.
func (e *Evictor) SurgeDemands() []placement.Demand { return e.surge.demands() }

// QuotaForRelocated returns the part of a team's quota that a job of the team must leave to tasks that
// rollouts stopped and that are not assigned again. Otherwise less important pending work would use that
// quota, and a replica that was only to be moved would stay unavailable.
func (e *Evictor) QuotaForRelocated(job *workload.Job) (kept placement.Resources) {
	if !e.Enabled() {
		return kept
	}
	return e.permits.quotaForRelocated(job)
}

// Blockers returns the reasons why drains wait, by machine.
func (e *Evictor) Blockers() map[ids.Machine][]string { return e.blockers.all() }

// OrderFor returns the order of a rollout for a machine, if there is one.
func (e *Evictor) OrderFor(name ids.Machine) (order rollout.Order, ok bool) {
	return e.orders.orderFor(name)
}

// ClosedZones returns the zones that rollouts are draining permanently. No machines are provisioned in
// them during the drain.
func (e *Evictor) ClosedZones() map[string]rollout.Name { return e.orders.closedZones() }

// MayConsolidate reports whether machines may be consolidated: no rollout is moving replicas, and no stored
// rollout is unknown to this leader.
func (e *Evictor) MayConsolidate() bool { return !e.Enabled() || e.orders.empty() }

// IsObservedReplacement reports whether a machine is a replacement that is still observed.
func (e *Evictor) IsObservedReplacement(name ids.Machine) bool { return e.orders.observes(name) }

// ReplacementsToProvision returns the replacements that rollouts request and that are not provisioned yet.
func (e *Evictor) ReplacementsToProvision() []rollout.ProvisioningRequest {
	return e.replacements.toProvision()
}

// ReplacementsProvisioned records the machines provisioned for a request, if it is a request for
// replacements.
func (e *Evictor) ReplacementsProvisioned(name ids.ProvisioningRequest, machines []ids.Machine) {
	if e.Enabled() {
		e.replacements.recordProvisioned(name, machines)
	}
}

// ReplacementLost records why a replacement failed, if a rollout is still observing it.
func (e *Evictor) ReplacementLost(name ids.Machine, reason string) {
	e.replacements.recordLost(name, reason)
}
