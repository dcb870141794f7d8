package claim

import (
	"log/slog"
	"runtime"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// planningPass is what one planning pass has found out so far, so that jobs alike do
// not find it out again.
type planningPass struct {
	now              time.Time
	noCapacity       map[placementKey][]placement.Room // needs for which no machine has room
	preemptible      map[victimKey][]*capacity.Node
	noVictims        map[victimKey][]placement.Room // needs for which stopping others frees nothing
	machinesExamined int                            // machines looked at, for tests and operators
	demands          map[string]quota.Demand        // by team, of tasks that only the team's allowance holds back
}

// examinedPerLock is after how many looks at machines a pass lets others at the cluster state
// before it goes on. Hundreds of jobs that meet thousands of empty machines, or displace what
// runs there, would otherwise hold it, and with it all heartbeats, for longer than a worker
// waits for its answer. To end the pass instead was tried: the next one began with the same
// jobs, and those behind them waited.
const examinedPerLock = 50000

// yieldLock gives the cluster state's lock up for a moment. What the pass has found out may
// be otherwise afterwards, so it is found out again.
func (c *ClusterState) yieldLock(pass *planningPass) {
	c.recordExamined(pass)
	c.mu.Unlock()
	runtime.Gosched()
	c.mu.Lock()
	c.examinedAtLock = c.machinesExamined + pass.machinesExamined
	clear(pass.noCapacity)
	clear(pass.preemptible)
	clear(pass.noVictims)
}

// recordExamined notes how many machines were looked at since the lock was taken.
func (c *ClusterState) recordExamined(pass *planningPass) {
	c.mostExaminedPerLock = max(c.mostExaminedPerLock, c.machinesExamined+pass.machinesExamined-c.examinedAtLock)
}

func newPass(now time.Time) *planningPass {
	return &planningPass{now: now, noCapacity: map[placementKey][]placement.Room{}, preemptible: map[victimKey][]*capacity.Node{}, noVictims: map[victimKey][]placement.Room{}, demands: map[string]quota.Demand{}}
}

// placementKey is what decides, beside the amount, which machines an ask may use.
type placementKey struct {
	types, zone       string
	spot, accelerated bool
}

func placementKeyOf(a *placement.Ask) placementKey {
	k := placementKey{zone: a.Zone, spot: a.Spot, accelerated: a.Need.Accels > 0}
	for _, t := range a.Types {
		k.types += t + ","
	}
	return k
}

// covered tells whether one of the amounts known not to be had lies within
// need.
func covered(known []placement.Room, need placement.Room) bool {
	return slices.ContainsFunc(known, func(r placement.Room) bool { return need.Holds(r) })
}

// Plan claims what there is room for: it puts places in the cluster state, whose
// markers the committer then stores.
func (c *ClusterState) Plan(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.capacity.Types()) == 0 || c.drains.awaitsOrders() {
		return
	}
	defer measure.Process.Took("planning pass", time.Now())
	c.stopOnLeavingMachines(now)
	c.runEvictions(now)
	c.preemptForOtherShards()
	pass := newPass(now)
	c.examinedAtLock = c.machinesExamined
	for _, job := range c.rankedJobs(now) {
		if c.machinesExamined+pass.machinesExamined-c.examinedAtLock > examinedPerLock {
			c.yieldLock(pass)
			if c.closed {
				return
			}
		}
		if !c.jobs.Holds(job) {
			continue
		}
		c.assignTasks(job, pass)
		if job.PendingReason != job.LoggedReason {
			job.LoggedReason = job.PendingReason
			slog.Debug("waits", "class", job.Record.Spec.Class, "job", job.Record.Spec.ID, "why", job.PendingReason, "left", job.Unfinished(), "placed", len(job.Assignments))
		}
	}
	c.quota.SetDemands(pass.demands)
	c.recordExamined(pass)
	c.machinesExamined += pass.machinesExamined
	c.sampleUsage(now)
}

// assignTasks places what it can of one job.
func (c *ClusterState) assignTasks(job *workload.Job, pass *planningPass) {
	spec := &job.Record.Spec
	if spec.Shape == record.Gang {
		c.assignGang(job, pass)
		return
	}
	now := pass.now
	pending := job.Unassigned()
	if pending <= 0 {
		job.PendingReason = ""
		return
	}
	if job.BackingOff(now) {
		job.PendingReason = job.BackOffReason()
		return
	}
	allowed, open := c.assignableTasks(job, pending, now), c.maxAssignedTasks(job)-len(job.Assignments)
	may := min(pending, allowed, open)
	if job.Failing() {
		may = min(may, 1)
	}
	placed := 0
	why := ""
	switch {
	case open <= 0:
		why = "as many of its tasks are under way as a record of the state service holds"
	case allowed <= 0:
		pass.addUnmetDemand(job, min(pending, open))
		why = c.quota.Explain(spec.Team)
		if c.yieldQuota(job, pending, now) {
			why += "; lesser work of its own makes way"
		}
	}
	request := spec.Ask()
	search := c.newSearch(job, &request, pass)
	for i := job.Record.Finished.NextMissing(0); i < spec.Tasks && placed < may; i = job.Record.Finished.NextMissing(i + 1) {
		if job.Assignments[i] != nil {
			continue
		}
		retry := job.Retries[i]
		if retry != nil && retry.NotBefore.After(now) {
			why = "backing off after failures"
			continue
		}
		at := search.pick(retry)
		if at != nil && job.EffectivePriority() == record.Critical && !c.capacity.HoldsImage(at, spec.Image) {
			// A fetch takes longer than stopping lesser work where the image
			// is.
			if host := c.preemptWhereCached(job, &request, pass); host != "" {
				why = "waits for room freed on " + host
				break
			}
		}
		if at == nil {
			why = "no machine has room"
			if ok, victim := c.preempt(job, &request, pass); ok {
				why = "waits for room freed on " + victim
			} else if c.reserveMachines(job, &request, 1, now) {
				why = "waits for a machine set aside for it"
			}
			if retry == nil {
				break
			}
			continue
		}
		if placed == 0 && !job.ContinuesSlice(i) {
			job.Record.Attempt++
		}
		job.LastSlice.Attempt, job.LastSlice.LastTask = job.Record.Attempt, i
		c.assign(job, i, job.Record.Attempt, at, now)
		search.zones.add(c.machines.Machines[at.Name].Zone)
		placed++
	}
	c.tasksAssigned(job, placed)
	job.PendingReason = why
	if placed == pending {
		job.PendingReason = ""
		c.releaseReservations(job)
	}
}

func (c *ClusterState) tasksAssigned(job *workload.Job, n int) {
	if n == 0 {
		return
	}
	c.markChanged(job)
	c.markUrgent(job)
	var fresh []*workload.Assignment
	for _, assignment := range job.Assignments {
		if assignment.MarkerVersion == 0 {
			assignment.MarkerVersion = job.Version
			fresh = append(fresh, assignment)
		}
	}
	if !job.ReservationSoughtAt.IsZero() {
		c.protectStart(job, fresh)
		c.releaseReservations(job) // it has begun, perhaps elsewhere
		job.ReservationSoughtAt = time.Time{}
	}
	c.recordRestarts(job, fresh)
}

// reservedForOther tells whether what is free on a machine was freed for another job
// that goes first.
func (c *ClusterState) reservedForOther(m *placement.Machine, job *workload.Job, now time.Time) bool {
	reservation, ok := c.reservations[m.Name]
	return ok && reservation.job != job.Record.Spec.ID && reservation.until.After(now) && c.outranks(reservation.job, job, now) && !m.Free.Minus(reservation.need).Holds(job.Record.Spec.Need)
}

// releaseReservations gives up what was freed for a job that found its places: it may have
// found them elsewhere.
func (c *ClusterState) releaseReservations(job *workload.Job) {
	for name, reservation := range c.reservations {
		if reservation.job == job.Record.Spec.ID {
			delete(c.reservations, name)
		}
	}
}

// outranks tells whether a reservation's job still goes before j.
func (c *ClusterState) outranks(id ids.Job, job *workload.Job, now time.Time) bool {
	h := c.jobs.Get(id)
	return h != nil && h.Schedulable() && (h.EffectivePriority() >= job.EffectivePriority() || h.Starving(now) && job.EffectivePriority() < record.Critical)
}

func (c *ClusterState) assign(job *workload.Job, i int, a ids.Attempt, node *capacity.Node, now time.Time) {
	machine := c.machines.Machines[node.Name]
	if reservation, ok := c.reservations[machine.Name]; ok && reservation.job == job.Record.Spec.ID {
		delete(c.reservations, machine.Name)
	}
	warm := machine.Images.Has(job.Record.Spec.Image) || node.ImagePulls[job.Record.Spec.Image] != nil
	c.addAssignment(&workload.Assignment{Job: job, TaskIndex: i, Machine: machine.Name, Incarnation: machine.Session, Attempt: a, FencingToken: c.generation, AssignedAt: now})
	slog.Debug("placed", "class", job.Record.Spec.Class, "job", job.Record.Spec.ID, "task", i, "attempt", a, "machine", machine.Name, "type", machine.Type,
		"warm", warm, "sinceSubmit", now.Sub(job.Record.Submitted.Time()).Round(time.Millisecond))
}
