package rollout

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Order is a rollout's instruction to the leader for one machine.
type Order struct {
	Rollout Name
	Wave    int
	// Drain makes the leader evict the machine's tasks within the teams' disruption budgets; without it
	// the machine is only cordoned.
	Drain bool
	// Return makes the leader return the machine to the cloud.
	Return bool
	// Surge makes the leader stop a replica only once another machine has capacity for it.
	Surge bool
	// Replace reports whether the rollout itself provisions the replacement of this machine.
	Replace bool
	// Stop makes the leader also stop tasks that save no checkpoints, because the deadline of the step
	// has passed.
	Stop bool
}

// ProvisioningRequest is a request for replacements that the cloud has not answered yet.
type ProvisioningRequest struct {
	Name ids.ProvisioningRequest
	ClassCount
}

// Orders are the instructions of all rollouts to the leader. They are derived from the stored records alone,
// and carrying them out is idempotent.
type Orders struct {
	Machines     map[ids.Machine]Order
	Provisioning []ProvisioningRequest
	// ClosedZones maps each zone that is drained permanently to the rollout that drains it. Nothing new is
	// provisioned in these zones.
	ClosedZones map[string]Name
	// Keep contains the replacements of the current waves, which must not be returned for being idle.
	Keep map[ids.Machine]bool
}

// Names of the leader's counters, which operators and rehearsals read.
const (
	CounterPermitsGranted = "permits given"
	CounterPermitsRefused = "permits refused"
)

// NewOrders returns empty orders.
func NewOrders() *Orders {
	return &Orders{Machines: map[ids.Machine]Order{}, Keep: map[ids.Machine]bool{}, ClosedZones: map[string]Name{}}
}

// add adds the orders of one rollout.
func (o *Orders) add(record *Record, now time.Time) {
	if record.drainsWholeZone() {
		o.ClosedZones[record.Spec.Select.Zone] = record.Spec.Name
	}
	if record.Wave == nil || record.State.isFinal() {
		return
	}
	spec := &record.Spec
	cordon := Order{Rollout: spec.Name, Wave: record.Wave.Number, Surge: spec.Surge, Replace: spec.Replace}
	empty := cordon
	empty.Return = true
	o.addMachines(record.machinesIn(Empty), empty)
	if !record.isRunningOrPaused() {
		return
	}
	o.addMachines(record.machinesIn(Cordoned), cordon)
	drain := cordon
	if record.State == Running {
		deadline := record.Wave.DrainingSince + timestampOffset(spec.Deadline)
		drain.Drain = true
		drain.Stop = spec.DeadlineAction == StopAtDeadline && ids.TimestampOf(now) >= deadline
	}
	o.addMachines(record.machinesIn(Draining), drain)
	o.addReplacements(record)
}

func (o *Orders) addMachines(machines *MachineSet, order Order) {
	for name := range machines.All() {
		o.Machines[name] = order
	}
}

// addReplacements adds the wave's replacements to Keep and its unanswered requests to Provisioning.
func (o *Orders) addReplacements(record *Record) {
	for i := range record.Wave.ReplacementRequests {
		request := &record.Wave.ReplacementRequests[i]
		for name := range request.Machines.All() {
			o.Keep[name] = true
		}
		if !request.Answered && record.State == Running {
			o.Provisioning = append(o.Provisioning, ProvisioningRequest{Name: request.Name, ClassCount: request.ClassCount})
		}
	}
}

// isRunningOrPaused reports whether the rollout is in a state in which its machines stay cordoned.
func (r *Record) isRunningOrPaused() bool { return r.State == Running || r.State == Paused }

// drainsWholeZone reports whether the rollout drains a whole zone permanently.
func (r *Record) drainsWholeZone() bool {
	selection := &r.Spec.Select
	selectsZoneOnly := selection.Zone != "" && selection.Type == "" && selection.Digest == ""
	return selectsZoneOnly && !r.Spec.Replace && r.isRunningOrPaused()
}
