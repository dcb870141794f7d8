package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// A job whose tasks take much of a machine may go first in the order and still never begin: whatever a
// machine frees, smaller tasks take before enough is free at once. So for one that starves, machines
// are reserved: nothing but critical work is assigned there until what runs on them has ended.

// Reservation keeps room on a machine for a job.
type Reservation struct {
	Job   ids.Job
	Need  placement.Resources // others may use what is beyond it
	Made  time.Time
	Until time.Time
	// AsItEmpties tells that the machine is kept as it empties, and nothing was preempted.
	AsItEmpties bool
}

// Reservations are kept by machine, one each.
type Reservations struct {
	byMachine map[ids.Machine]Reservation
}

func newReservations() *Reservations {
	return &Reservations{byMachine: map[ids.Machine]Reservation{}}
}

// On is what is reserved on a machine now.
func (r *Reservations) On(machine ids.Machine, now time.Time) (reservation Reservation, reserved bool) {
	reservation, reserved = r.byMachine[machine]
	return reservation, reserved && reservation.Until.After(now)
}

// Set reserves a machine, in place of what was reserved there.
func (r *Reservations) Set(machine ids.Machine, reservation Reservation) {
	r.byMachine[machine] = reservation
}

// Remove gives a machine's reservation up.
func (r *Reservations) Remove(machine ids.Machine) { delete(r.byMachine, machine) }

// All are the reservations by machine, those that ended included. Callers must not change the map.
func (r *Reservations) All() map[ids.Machine]Reservation { return r.byMachine }

// isFor tells whether a machine was reserved for a job, be it ended.
func (r *Reservations) isFor(machine ids.Machine, job ids.Job) bool {
	return r.byMachine[machine].Job == job
}

// use gives a machine's reservation up if it was the job's, which gets a task there.
func (r *Reservations) use(machine ids.Machine, job *workload.Job) {
	if reservation, reserved := r.byMachine[machine]; reserved && reservation.Job == job.ID() {
		delete(r.byMachine, machine)
	}
}

// removeJob gives up what was reserved for a job that found its assignments: it may have found them
// elsewhere.
func (r *Reservations) removeJob(job *workload.Job) {
	for machine, reservation := range r.byMachine {
		if reservation.Job == job.ID() {
			delete(r.byMachine, machine)
		}
	}
}

// dropEnded drops the reservations that have ended, and counts those left for a job.
func (r *Reservations) dropEnded(job ids.Job, now time.Time) (held int) {
	for machine, reservation := range r.byMachine {
		if !reservation.Until.After(now) {
			delete(r.byMachine, machine)
		} else if reservation.Job == job {
			held++
		}
	}
	return held
}

// countAsTheyEmpty counts the machines reserved as they empty.
func (r *Reservations) countAsTheyEmpty(now time.Time) (count int) {
	for _, reservation := range r.byMachine {
		if reservation.AsItEmpties && reservation.Until.After(now) {
			count++
		}
	}
	return count
}

// Machines are reserved for reservationTime at most; others are looked for again after
// reservationRetryDelay; and all together are one machine in reservedFleetFraction, but for a job that
// needs more at once.
const (
	reservationTime       = time.Minute
	reservationRetryDelay = 5 * time.Second
	reservedFleetFraction = 20
)

// wantsReservation tells whether machines are to be reserved for a job that lacks n. High work preempts
// others instead; but on the dearest machines all work may be high: each that ends is followed by a
// gang of one, and one that needs two at once never begins.
func wantsReservation(job *workload.Job, n int, now time.Time) bool {
	if job.EffectivePriority() >= record.High && (n < 2 || job.Record.Spec.Shape != record.Gang) {
		return false
	}
	return !job.Suspect() && job.Starving(now) && now.Sub(job.ReservationSoughtAt) >= reservationRetryDelay
}

// emptyingNode is a node with how long it takes until enough of it is free.
type emptyingNode struct {
	node  *capacity.Node
	zone  string
	after time.Duration
}

// reserveMachines keeps n machines for a starving job, those that are soonest free enough; it tells
// whether it did, or has. It looks at every machine, but once in a while for a job that starves.
func (s *Scheduler) reserveMachines(job *workload.Job, request *placement.Request, n int, now time.Time) bool {
	if !wantsReservation(job, n, now) {
		return false
	}
	job.ReservationSoughtAt = now
	if s.Reservations.countAsTheyEmpty(now)+n > max(2*n, len(s.Capacity.Nodes())/reservedFleetFraction) {
		return false
	}
	nodes, already := s.emptyingNodes(job, request, now)
	if already {
		return true
	}
	if job.Record.Spec.SingleZone && n > 1 {
		nodes = inSoonestZone(nodes, n)
	}
	if len(nodes) < n {
		return false
	}
	until := now.Add(reservationTime)
	if job.EffectivePriority() >= record.High {
		until = now.Add(2 * reservationTime) // what runs there runs long
	}
	for _, found := range nodes[:n] {
		s.Reservations.Set(found.node.Name, Reservation{Job: job.ID(), Need: request.Resources, Made: now, Until: until, AsItEmpties: true})
	}
	s.cluster.RecordEvent(job, "%d machines set aside for it, %s the first", n, nodes[0].node.Name)
	return true
}

// emptyingNodes lists the nodes that have room for a request once what ends by itself has ended, those
// soonest free first; already tells that one is reserved for the job.
func (s *Scheduler) emptyingNodes(job *workload.Job, request *placement.Request, now time.Time) (nodes []emptyingNode, already bool) {
	for _, node := range s.Capacity.Nodes() {
		machine := s.Machines.Machines[node.Name]
		if machine == nil {
			continue
		}
		if reservation, reserved := s.Reservations.On(node.Name, now); reserved {
			if reservation.Job == job.ID() {
				return nil, true
			}
			continue
		}
		offer := s.Capacity.Type(machine.Type)
		if offer == nil || machine.DeleteWhenEmpty || !machine.Schedulable(now, s.reportInterval()) || !request.Allows(machine.Type, machine.Zone, machine.Spot) {
			continue
		}
		onlyForAccelerated := request.Resources.Accels == 0 && offer.Accels > 0
		if onlyForAccelerated || !offer.Capacity().Minus(node.Used).Plus(node.Reclaimable).Holds(request.Resources) {
			continue
		}
		nodes = append(nodes, emptyingNode{node, machine.Zone, node.TimeUntilFree(now)})
	}
	slices.SortFunc(nodes, func(x, y emptyingNode) int {
		return cmp.Or(cmp.Compare(x.after, y.after), cmp.Compare(x.node.Name, y.node.Name))
	})
	return nodes, false
}

// inSoonestZone keeps the nodes of the zone in which n of them are free first; without such a zone all.
func inSoonestZone(nodes []emptyingNode, n int) []emptyingNode {
	count := map[string]int{}
	for _, found := range nodes {
		count[found.zone]++
		if count[found.zone] == n {
			zone := found.zone
			return slices.DeleteFunc(nodes, func(other emptyingNode) bool { return other.zone != zone })
		}
	}
	return nodes
}
