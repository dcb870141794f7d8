package claim

import (
	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// assignGang places all tasks of a new attempt or none; a task lost while the
// gang still waits is replaced under the same attempt.
func (c *ClusterState) assignGang(job *workload.Job, pass *planningPass) {
	spec, now := &job.Record.Spec, pass.now
	missing := spec.Tasks - len(job.Assignments)
	if missing <= 0 {
		job.PendingReason = ""
		return
	}
	if job.BackingOff(now) {
		job.PendingReason = job.BackOffReason()
		return
	}
	if spec.Tasks > c.maxAssignedTasks(job) {
		job.PendingReason = "its places do not fit into a record of the state service"
		return
	}
	fresh := len(job.Assignments) == 0
	if !fresh {
		for _, assignment := range job.Assignments {
			// Once a task of the attempt ran or is being stopped, the rest end
			// by themselves, and only then may the next attempt begin.
			if assignment.Attempt != job.Record.Attempt || assignment.Stopping || assignment.Confirmed && assignment.Status != worker.Pulling && assignment.Status != worker.Waiting || !assignment.Confirmed && assignment.FencingToken != c.generation {
				job.PendingReason = "for the gang's last attempt to end"
				return
			}
		}
	}
	for i := range spec.Tasks {
		if retry := job.Retries[i]; job.Assignments[i] == nil && retry != nil && retry.NotBefore.After(now) {
			job.PendingReason = "backing off after failures"
			return
		}
	}
	if c.assignableTasks(job, missing, now) < missing {
		pass.addUnmetDemand(job, missing)
		job.PendingReason = c.quota.Explain(spec.Team)
		if c.yieldQuota(job, missing, now) {
			job.PendingReason += "; lesser work of its own makes way"
		}
		return
	}
	request := spec.Ask()
	search := c.newSearch(job, &request, pass)
	if !search.exhaustive {
		search.searchAll()
	}
	zones := []string{""}
	if spec.OneZone && fresh && spec.Zone == "" {
		zones = c.settings.Params.Zones // all tasks go to one: the cheapest
	}
	var best []*capacity.Node
	bestCost := 0.0
	for _, zone := range zones {
		if nodes, cost := search.findTogether(zone, missing); nodes != nil && (best == nil || cost < bestCost) {
			best, bestCost = nodes, cost
		}
	}
	if best == nil {
		c.freeRoomForGang(job, &request, pass)
		return
	}
	if fresh {
		job.Record.Attempt++
	}
	n := 0
	for i := range spec.Tasks {
		if job.Assignments[i] == nil {
			c.assign(job, i, job.Record.Attempt, best[n], now)
			n++
		}
	}
	c.tasksAssigned(job, n)
	job.PendingReason = ""
	c.releaseReservations(job)
}

// findTogether finds room for n tasks at once, in one zone if it names one; nil if
// there is not enough.
func (s *candidateSearch) findTogether(zone string, n int) (nodes []*capacity.Node, cost float64) {
	avoid := map[ids.Machine]bool{}
	for _, retry := range s.job.Retries {
		for m := range retry.Avoid {
			avoid[m] = true
		}
	}
	here := map[string]int{}
	for _, last := range []bool{false, true} {
		for _, found := range s.candidates {
			if len(nodes) == n {
				return nodes, cost
			}
			if avoid[found.node.Name] != last || zone != "" && found.machine.Zone != zone || found.node.Class == nil {
				continue
			}
			k := min(found.node.Free().Count(s.request.Need, n-len(nodes)), s.zones.allowed(found.machine.Zone, n)-here[found.machine.Zone])
			for range max(k, 0) {
				nodes = append(nodes, found.node)
				cost += found.score
				here[found.machine.Zone]++
			}
		}
	}
	if len(nodes) < n {
		return nil, 0
	}
	return nodes, cost
}

func (c *ClusterState) freeRoomForGang(job *workload.Job, request *placement.Ask, pass *planningPass) {
	job.PendingReason = "not all tasks of the gang have room at once"
	missing := job.Record.Spec.Tasks - len(job.Assignments)
	for range missing {
		ok, victim := c.preempt(job, request, pass)
		if !ok {
			if c.reserveMachines(job, request, missing, pass.now) {
				job.PendingReason = "waits for machines set aside for it"
			}
			return
		}
		job.PendingReason = "waits for room freed on " + victim
	}
}

// startAllowed tells whether a placed task's start should go out now. Two things
// hold it back, both of gangs. A task that has its image at once would only
// wait for those that must fetch theirs, and give up after gang_wait_s, long
// before a large image is there; so it starts when they wait for it. And a task
// replaced where it ended under the same attempt must be cleared first, or the
// worker would take its start for one it knows.
func (c *ClusterState) startAllowed(assignment *workload.Assignment, machine *worker.Machine) bool {
	job := assignment.Job
	if job.Record.Spec.Shape != record.Gang {
		return true
	}
	for i := range machine.Pieces {
		if machine.Pieces[i].Attempt == assignment.Attempt && machine.Pieces[i].Task == assignment.Task().String() {
			return false
		}
	}
	if !machine.Images.Has(job.Record.Spec.Image) {
		return true
	}
	for _, other := range job.Assignments {
		if other == assignment || other.Stopping || other.Confirmed && other.Status != worker.Pulling {
			continue
		}
		if om := c.machines.Machines[other.Machine]; om == nil || !om.Images.Has(job.Record.Spec.Image) {
			return false
		}
	}
	return true
}
