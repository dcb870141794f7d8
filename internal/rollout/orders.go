package rollout

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Order is what a rollout wants with one machine.
type Order struct {
	Rollout Name
	Wave    int
	// Drain has the machine drained, within the teams' disruption budgets; without it the
	// machine is only cordoned.
	Drain bool
	// Return has it returned to the cloud.
	Return bool
	// Surge tells that a replica is stopped only after there is room for it elsewhere.
	Surge bool
	// Replace tells that the rollout itself provisions the replacement of this machine.
	Replace bool
	// Stop tells that tasks that save no checkpoints are stopped as well, since the step's
	// deadline is over.
	Stop bool
}

// ProvisioningRequest is a request for replacements that the cloud has not answered yet.
type ProvisioningRequest struct {
	Name ids.ProvisioningRequest
	ClassCount
}

// Orders are what all rollouts want of the leader. They follow from what is stored alone, and
// carrying them out is idempotent.
type Orders struct {
	Machines     map[ids.Machine]Order
	Provisioning []ProvisioningRequest
	// ClosedZones are the zones being drained for good, where nothing new is provisioned, with
	// the rollouts that drain them.
	ClosedZones map[string]Name
	// Keep are replacements that are not returned for being idle while they are observed.
	Keep map[ids.Machine]bool
}

// Counters of the leader, for operators and rehearsals.
const (
	PermitsGiven   = "permits given"
	PermitsRefused = "permits refused"
)

// NewOrders makes empty orders.
func NewOrders() *Orders {
	return &Orders{Machines: map[ids.Machine]Order{}, Keep: map[ids.Machine]bool{}, ClosedZones: map[string]Name{}}
}

// add puts in what follows from one rollout.
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
		deadline := record.Wave.DrainingSince + wallOf(spec.Deadline)
		drain.Drain = true
		drain.Stop = spec.AtDeadline == StopAtDeadline && ids.TimestampOf(now) >= deadline
	}
	o.addMachines(record.machinesIn(Draining), drain)
	o.addReplacements(record)
}

func (o *Orders) addMachines(machines *MachineSet, order Order) {
	for name := range machines.All() {
		o.Machines[name] = order
	}
}

// addReplacements keeps the wave's replacements and asks for those that have not been provisioned.
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

// isRunningOrPaused reports whether the rollout's machines stay cordoned until it goes on.
func (r *Record) isRunningOrPaused() bool { return r.State == Running || r.State == Paused }

// drainsWholeZone reports whether the rollout drains a whole zone for good.
func (r *Record) drainsWholeZone() bool {
	selection := &r.Spec.Select
	isZone := selection.Zone != "" && selection.Type == "" && selection.Digest == ""
	return isZone && !r.Spec.Replace && r.isRunningOrPaused()
}
