package scheduler

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Reservation reserves a part of a machine's capacity for a job.
type Reservation struct {
	Job ids.Job
	// Need is the reserved amount. Other jobs may use the rest of the machine.
	Need      placement.Resources
	CreatedAt time.Time
	ExpiresAt time.Time
	// AwaitsTaskEnd is set if the reservation waits until running tasks complete. It is not set if tasks
	// were preempted to free the reserved capacity.
	AwaitsTaskEnd bool
}

// Reservations holds the reservations of machines, at most one for each machine.
type Reservations struct {
	byMachine map[ids.Machine]Reservation
}

func newReservations() *Reservations {
	return &Reservations{byMachine: map[ids.Machine]Reservation{}}
}

// On returns the reservation of a machine and reports whether there is one that has not expired.
func (r *Reservations) On(machine ids.Machine, now time.Time) (reservation Reservation, reserved bool) {
	reservation, reserved = r.byMachine[machine]
	return reservation, reserved && reservation.ExpiresAt.After(now)
}

// Set sets the reservation of a machine and replaces the previous one, if any.
func (r *Reservations) Set(machine ids.Machine, reservation Reservation) {
	r.byMachine[machine] = reservation
}

// Remove removes the reservation of a machine.
func (r *Reservations) Remove(machine ids.Machine) { delete(r.byMachine, machine) }

// all returns the reservations by machine, including expired ones. Callers must not change the map.
func (r *Reservations) all() map[ids.Machine]Reservation { return r.byMachine }

// isReservedFor reports whether a machine has a reservation, expired or not, for a job.
func (r *Reservations) isReservedFor(machine ids.Machine, job ids.Job) bool {
	return r.byMachine[machine].Job == job
}

// consume removes a machine's reservation if it is for a job. It is called when a task of the job is
// assigned to the machine.
func (r *Reservations) consume(machine ids.Machine, job *workload.Job) {
	if reservation, reserved := r.byMachine[machine]; reserved && reservation.Job == job.ID() {
		delete(r.byMachine, machine)
	}
}

// removeForJob removes all reservations for a job, also on machines to which no task of it was assigned.
func (r *Reservations) removeForJob(job *workload.Job) {
	for machine, reservation := range r.byMachine {
		if reservation.Job == job.ID() {
			delete(r.byMachine, machine)
		}
	}
}

// dropExpired removes all expired reservations and returns how many remain for a job.
func (r *Reservations) dropExpired(job ids.Job, now time.Time) (remaining int) {
	for machine, reservation := range r.byMachine {
		if !reservation.ExpiresAt.After(now) {
			delete(r.byMachine, machine)
		} else if reservation.Job == job {
			remaining++
		}
	}
	return remaining
}

// countAwaitingTaskEnd returns the number of unexpired reservations that wait until running tasks end.
func (r *Reservations) countAwaitingTaskEnd(now time.Time) (count int) {
	for _, reservation := range r.byMachine {
		if reservation.AwaitsTaskEnd && reservation.ExpiresAt.After(now) {
			count++
		}
	}
	return count
}
