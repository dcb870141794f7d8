package scheduler

import (
	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// assignGang assigns all tasks of a new attempt or none; a task lost while the gang still waits is
// replaced under the same attempt.
func (s *Scheduler) assignGang(job *workload.Job, pass *Pass) {
	spec := &job.Record.Spec
	missing := spec.Tasks - len(job.Assignments)
	if missing <= 0 {
		job.PendingReason = ""
		return
	}
	if reason := s.gangBlocked(job, pass); reason != "" {
		job.PendingReason = reason
		return
	}
	if s.assignableTasks(job, missing, pass.now) < missing {
		pass.addQuotaDemand(job, missing)
		job.PendingReason = s.quotaReason(job, missing, pass.now)
		return
	}
	request := spec.PlacementRequest()
	search := s.newSearch(job, &request, pass)
	nodes := search.cheapestTogether(s.gangZones(job), missing)
	if nodes == nil {
		s.freeRoomForGang(job, search, missing)
		return
	}
	s.startGang(job, nodes, pass)
}

// gangBlocked tells why a gang can't be assigned now, whatever room there is; empty: it can.
func (s *Scheduler) gangBlocked(job *workload.Job, pass *Pass) string {
	switch {
	case job.BackingOff(pass.now):
		return job.BackOffReason()
	case job.Record.Spec.Tasks > job.MaxAssignedTasks(s.valueBytes()):
		return "its places do not fit into a record of the state service"
	case !s.attemptMayGrow(job):
		return "for the gang's last attempt to end"
	}
	for i := range job.Record.Spec.Tasks {
		if retry := job.Retries[i]; job.Assignments[i] == nil && retry != nil && retry.NotBefore.After(pass.now) {
			return "backing off after failures"
		}
	}
	return ""
}

// attemptMayGrow tells whether all of a gang's tasks still wait for one another. Once a task of the
// attempt ran or is being stopped, the rest end by themselves, and only then may the next attempt
// begin.
func (s *Scheduler) attemptMayGrow(job *workload.Job) bool {
	for _, assignment := range job.Assignments {
		waiting := assignment.Status == worker.StatePulling || assignment.Status == worker.StateWaiting
		switch {
		case assignment.Attempt != job.Record.Attempt || assignment.Stopping:
			return false
		case assignment.Confirmed && !waiting:
			return false
		case !assignment.Confirmed && assignment.FencingToken != s.cluster.FencingToken():
			return false
		}
	}
	return true
}

// gangZones are the zones to look in, one after the other; an empty name stands for all at once.
func (s *Scheduler) gangZones(job *workload.Job) []string {
	spec := &job.Record.Spec
	if spec.SingleZone && len(job.Assignments) == 0 && spec.Zone == "" {
		return s.Settings.Params.Zones // all tasks go to one: the cheapest
	}
	return []string{""}
}

// startGang assigns a gang's missing tasks, one to each of the nodes.
func (s *Scheduler) startGang(job *workload.Job, nodes []*capacity.Node, pass *Pass) {
	if len(job.Assignments) == 0 {
		job.Record.Attempt++
	}
	assigned := 0
	for i := range job.Record.Spec.Tasks {
		if job.Assignments[i] == nil {
			s.assignTask(job, i, nodes[assigned], pass.now)
			assigned++
		}
	}
	s.tasksAssigned(job, assigned)
	job.PendingReason = ""
	s.Reservations.removeJob(job)
}

// cheapestTogether finds room for n tasks at once in the zone where that is cheapest; nil if there is
// none.
func (s *search) cheapestTogether(zones []string, n int) (best []*capacity.Node) {
	if !s.exhaustive {
		s.listAll()
	}
	bestCost := 0.0
	for _, zone := range zones {
		if nodes, cost := s.together(zone, n); nodes != nil && (best == nil || cost < bestCost) {
			best, bestCost = nodes, cost
		}
	}
	return best
}

// together finds room for n tasks at once, in one zone if it names one; nil if there is not enough.
// Machines on which tasks of the job failed come last.
func (s *search) together(zone string, n int) (nodes []*capacity.Node, cost float64) {
	avoid := s.avoidedMachines()
	inZone := map[string]int{}
	for _, avoided := range []bool{false, true} {
		for _, found := range s.candidates {
			if len(nodes) == n {
				return nodes, cost
			}
			if avoid[found.node.Name] != avoided || zone != "" && found.machine.Zone != zone || found.node.Class == nil {
				continue
			}
			allowed := s.zones.Allowed(found.machine.Zone, n) - inZone[found.machine.Zone]
			fitting := min(found.node.Free().CountFitting(s.request.Resources, n-len(nodes)), allowed)
			for range max(fitting, 0) {
				nodes = append(nodes, found.node)
				cost += found.score
				inZone[found.machine.Zone]++
			}
		}
	}
	if len(nodes) < n {
		return nil, 0
	}
	return nodes, cost
}

// avoidedMachines are those on which tasks of the job failed.
func (s *search) avoidedMachines() map[ids.Machine]bool {
	avoid := map[ids.Machine]bool{}
	for _, retry := range s.job.Retries {
		for machine := range retry.Avoid {
			avoid[machine] = true
		}
	}
	return avoid
}

// freeRoomForGang preempts others for a gang's missing tasks, or reserves machines for it, and notes
// what it waits for.
func (s *Scheduler) freeRoomForGang(job *workload.Job, search *search, missing int) {
	job.PendingReason = "not all tasks of the gang have room at once"
	for range missing {
		freed, machine := s.preempt(job, search.request, search.pass)
		if !freed {
			if s.reserveMachines(job, search.request, missing, search.pass.now) {
				job.PendingReason = "waits for machines set aside for it"
			}
			return
		}
		job.PendingReason = "waits for room freed on " + machine
	}
}

// GangStartAllowed tells whether an assigned task's start should go out now. Two things hold it back,
// both of gangs. A task that has its image at once would only wait for those that must pull theirs,
// and give up after gang_wait_s, long before a large image is there; so it starts when they wait for
// it. And a task replaced where it ended under the same attempt must be cleared first, or the worker
// would take its start for one it knows.
func GangStartAllowed(assignment *workload.Assignment, machine *worker.Machine, machines *worker.Registry) bool {
	job := assignment.Job
	if job.Record.Spec.Shape != record.Gang {
		return true
	}
	for i := range machine.Tasks {
		reported := &machine.Tasks[i]
		if reported.Attempt == assignment.Attempt && reported.Task == assignment.Task().String() {
			return false
		}
	}
	image := job.Record.Spec.Image
	if !machine.Images.Has(image) {
		return true
	}
	for _, other := range job.Assignments {
		if other == assignment || other.Stopping || other.Confirmed && other.Status != worker.StatePulling {
			continue
		}
		if holder := machines.Machines[other.Machine]; holder == nil || !holder.Images.Has(image) {
			return false
		}
	}
	return true
}
