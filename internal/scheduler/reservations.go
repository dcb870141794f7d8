package scheduler

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Reservation keeps room on a machine for a job.
type Reservation struct {
	Job ids.Job
	// Need is the room that is kept; other jobs may use the rest of the machine.
	Need      placement.Resources
	CreatedAt time.Time
	ExpiresAt time.Time
	// AsItEmpties is set if the machine is reserved while its tasks end by themselves, and not because
	// some of them were preempted.
	AsItEmpties bool
}

// Reservations are the reserved machines, with one reservation each.
type Reservations struct {
	byMachine map[ids.Machine]Reservation
}

func newReservations() *Reservations {
	return &Reservations{byMachine: map[ids.Machine]Reservation{}}
}

// On returns the reservation of a machine that is in force now, if any.
func (r *Reservations) On(machine ids.Machine, now time.Time) (reservation Reservation, reserved bool) {
	reservation, reserved = r.byMachine[machine]
	return reservation, reserved && reservation.ExpiresAt.After(now)
}

// Set reserves a machine and replaces its previous reservation.
func (r *Reservations) Set(machine ids.Machine, reservation Reservation) {
	r.byMachine[machine] = reservation
}

// Remove drops the reservation of a machine.
func (r *Reservations) Remove(machine ids.Machine) { delete(r.byMachine, machine) }

// all returns the reservations by machine, with those that expired. Callers must not change the map.
func (r *Reservations) all() map[ids.Machine]Reservation { return r.byMachine }

// isFor reports whether a machine's reservation, expired or not, is the job's.
func (r *Reservations) isFor(machine ids.Machine, job ids.Job) bool {
	return r.byMachine[machine].Job == job
}

// use drops a machine's reservation if it is the job's, which has got a task there.
func (r *Reservations) use(machine ids.Machine, job *workload.Job) {
	if reservation, reserved := r.byMachine[machine]; reserved && reservation.Job == job.ID() {
		delete(r.byMachine, machine)
	}
}

// removeJob drops all reservations of a job, whose tasks may have been assigned elsewhere.
func (r *Reservations) removeJob(job *workload.Job) {
	for machine, reservation := range r.byMachine {
		if reservation.Job == job.ID() {
			delete(r.byMachine, machine)
		}
	}
}

// dropExpired drops the expired reservations and returns how many the job still has.
func (r *Reservations) dropExpired(job ids.Job, now time.Time) (held int) {
	for machine, reservation := range r.byMachine {
		if !reservation.ExpiresAt.After(now) {
			delete(r.byMachine, machine)
		} else if reservation.Job == job {
			held++
		}
	}
	return held
}

// countEmptying returns how many machines are reserved while they empty.
func (r *Reservations) countEmptying(now time.Time) (count int) {
	for _, reservation := range r.byMachine {
		if reservation.AsItEmpties && reservation.ExpiresAt.After(now) {
			count++
		}
	}
	return count
}
