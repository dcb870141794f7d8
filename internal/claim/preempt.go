package claim

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// reservation keeps room that was freed by stopping others for whom it was
// freed.
type reservation struct {
	job           ids.Job
	need          placement.Room // others may use what is beyond it
	madeAt        time.Time
	until         time.Time
	untilReleased bool // kept free for it as it empties, nothing was stopped
}

// victimKey is what decides whom a job may displace.
type victimKey struct {
	priority   record.Priority
	guaranteed bool
	team       string
	image      string // only machines that hold it; empty: all
	placementKey
}

func victimKeyOf(job *workload.Job, request *placement.Ask) victimKey {
	k := victimKey{priority: job.EffectivePriority(), guaranteed: job.Guaranteed, placementKey: placementKeyOf(request)}
	if job.Guaranteed {
		k.team = job.Record.Spec.Team
	}
	return k
}

// preemptionNodes lists the machines on which a job may stop something, or where
// something is being stopped; if an image is named, only those that hold it. Jobs alike
// share the list within a pass.
func (c *ClusterState) preemptionNodes(job *workload.Job, request *placement.Ask, image string, pass *planningPass) []*capacity.Node {
	k := victimKeyOf(job, request)
	k.image = image
	if nodes, ok := pass.preemptible[k]; ok {
		return nodes
	}
	if image != "" {
		nodes := slices.DeleteFunc(slices.Clone(c.preemptionNodes(job, request, "", pass)), func(node *capacity.Node) bool { return !c.capacity.HoldsImage(node, image) })
		pass.preemptible[k] = nodes
		return nodes
	}
	on := map[*capacity.Node]bool{}
	for _, other := range c.jobs.Ordered() {
		if len(other.Assignments) == 0 || !c.mayPreemptJob(other, job) {
			continue
		}
		for _, assignment := range other.Assignments {
			on[c.capacity.Node(assignment.Machine)] = true
		}
	}
	nodes := make([]*capacity.Node, 0, len(on))
	for node := range on {
		machine := c.machines.Machines[node.Name]
		machineType := c.capacity.Type(machine.Type)
		if machineType == nil || !machine.Usable(pass.now, c.settings.Params.Workers.ReportS) || !request.Allows(machine.Type, machine.Zone, machine.Spot) {
			continue
		}
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, func(x, y *capacity.Node) int { return cmpString(string(x.Name), string(y.Name)) })
	pass.preemptible[k] = nodes
	return nodes
}

// preempt frees room for one task of j by stopping others, where the rules of
// priority and guarantee allow it, at the least loss.
func (c *ClusterState) preempt(job *workload.Job, request *placement.Ask, pass *planningPass) (bool, string) {
	k := victimKeyOf(job, request)
	if covered(pass.noVictims[k], request.Need) {
		return false, ""
	}
	ok, host, barren := c.preemptCheapest(job, request, pass, anyVictims)
	if barren {
		pass.noVictims[k] = append(pass.noVictims[k], request.Need)
	}
	return ok, host
}

// preemptWhereCached frees room on a machine that holds the image, by stopping
// tasks that exit at once; it names the machine, also while that goes on.
func (c *ClusterState) preemptWhereCached(job *workload.Job, request *placement.Ask, pass *planningPass) string {
	for name, reservation := range c.reservations {
		if reservation.job != job.Record.Spec.ID || pass.now.Sub(reservation.madeAt) >= time.Second {
			continue
		}
		if node := c.capacity.Node(name); node != nil && c.capacity.HoldsImage(node, request.Image) && (node.Class == nil || !node.Free().Holds(request.Need)) {
			return string(name) // not free yet
		}
		return ""
	}
	if len(c.capacity.WithImage(request.Image)) == 0 {
		return ""
	}
	// Only lesser work: to swap one replica for another, as a guarantee would allow, gains
	// nothing here and costs the other its start.
	lesser := func(victims []*workload.Assignment) bool {
		return len(victims) > 0 && !slices.ContainsFunc(victims, func(victim *workload.Assignment) bool {
			return victim.CheckpointGrace() > 0 || victim.Job.Record.Spec.Shape == record.Service || victim.Job.EffectivePriority() >= job.EffectivePriority()
		})
	}
	_, host, _ := c.preemptCheapest(job, request, pass, victimFilter{image: request.Image, accepts: lesser})
	return host
}

// victimFilter says where tasks may be stopped for another one.
type victimFilter struct {
	image   string // only on machines that hold it; empty: on all
	accepts func([]*workload.Assignment) bool
}

var anyVictims = victimFilter{accepts: func([]*workload.Assignment) bool { return true }}

// maxPreemptionCandidates is among how many machines the one is chosen on which stopping others
// loses least. In a fleet of thousands, on most of which that is possible, to weigh them all
// for each of hundreds of urgent tasks takes longer than their workers' leases last.
const maxPreemptionCandidates = 200

// canPreemptWithoutAccelerators tells whether stopping others would make room on machines
// without accelerators.
func (c *ClusterState) canPreemptWithoutAccelerators(job *workload.Job, request *placement.Ask, pass *planningPass) bool {
	zones := c.zoneSpreadOf(job)
	for _, node := range c.preemptionNodes(job, request, "", pass) {
		machine := c.machines.Machines[node.Name]
		machineType := c.capacity.Type(machine.Type)
		if machineType.Accels > 0 || !machineType.Room().Holds(request.Need) || zones.allowed(machine.Zone, 1) == 0 {
			continue
		}
		if _, _, ok := c.victimsOn(job, node, machineType.Room().Minus(node.Used), request, pass.now); ok {
			return true
		}
	}
	return false
}

// preemptCheapest picks the machine where stopping others loses least among those
// that the filter allows; barren tells that no machine was left to choose from.
func (c *ClusterState) preemptCheapest(job *workload.Job, request *placement.Ask, pass *planningPass, filter victimFilter) (done bool, where string, barren bool) {
	if job.Suspect() {
		return false, "", false // nothing is stopped for what may fail anyway
	}
	if job.EffectivePriority() < record.High && !job.Guaranteed || !c.StoreAvailable() {
		return false, "", true
	}
	now := pass.now
	zones := c.zoneSpreadOf(job)
	held := 0
	for name, reservation := range c.reservations {
		if !reservation.until.After(now) {
			delete(c.reservations, name)
		} else if reservation.job == job.Record.Spec.ID {
			held++
		}
	}
	if held >= max(1, job.Unfinished()-len(job.Assignments)) {
		return false, "", false
	}
	var best *capacity.Node
	var bestVictims []*workload.Assignment
	bestLoss := 0.0
	barren = true
	hosts := c.preemptionNodes(job, request, filter.image, pass)
	first, candidates := 0, 0
	if len(hosts) > maxPreemptionCandidates {
		first = c.rng.IntN(len(hosts))
	}
	for i := 0; i < len(hosts) && candidates < maxPreemptionCandidates; i++ {
		node := hosts[(first+i)%len(hosts)]
		if _, ok := c.reservations[node.Name]; ok {
			continue
		}
		machine := c.machines.Machines[node.Name]
		machineType := c.capacity.Type(machine.Type)
		if !machineType.Room().Holds(request.Need) {
			continue
		}
		pass.machinesExamined++
		free := machineType.Room().Minus(node.Used)
		victims, loss, ok := c.victimsOn(job, node, free, request, now)
		if !ok {
			continue
		}
		barren = false
		pm := placement.Machine{Name: node.Name, Type: machineType, Zone: machine.Zone, Spot: machine.Spot, Free: free, Holds: machine.Images.Has(request.Image)}
		if zones.allowed(machine.Zone, 1) == 0 || !filter.accepts(victims) {
			continue
		}
		candidates++
		if request.Long && machineType.Accels > request.Need.Accels {
			loss += 1e6 // it would hold the dear machine for good
		}
		if !pm.Holds && node.ImagePulls[request.Image] == nil {
			loss += request.ImageGB / max(machineType.PullGBPerS, 0.01)
		}
		if best == nil || loss < bestLoss {
			best, bestLoss, bestVictims = node, loss, victims
		}
	}
	if best == nil {
		return false, "", barren
	}
	grace := ids.Seconds(0)
	for _, victim := range bestVictims {
		victimGrace := victim.CheckpointGrace()
		if job.EffectivePriority() == record.Critical && victim.LittleToSave(now) {
			victimGrace = 0
		}
		c.stopAssignment(victim, victimGrace, fmt.Sprintf("to make room for %s (%s)", job.Record.Spec.ID, job.EffectivePriority()))
		grace = max(grace, victim.StopGrace)
	}
	c.reservations[best.Name] = reservation{job: job.Record.Spec.ID, need: request.Need, madeAt: now, until: now.Add((grace + 10).Duration())}
	return true, string(best.Name), false
}

// victimsOn picks whom to stop on a machine so that the ask fits.
func (c *ClusterState) victimsOn(job *workload.Job, node *capacity.Node, free placement.Room, request *placement.Ask, now time.Time) ([]*workload.Assignment, float64, bool) {
	type cand struct {
		p    *workload.Assignment
		loss float64
	}
	var candidates []cand
	for assignment := range node.Assignments {
		if assignment.Stopping {
			free = free.Plus(assignment.Job.Record.Spec.Need)
			continue
		}
		if c.mayPreempt(assignment, job) {
			candidates = append(candidates, cand{assignment, assignment.PreemptionCost(now)})
		}
	}
	hurry := job.EffectivePriority() == record.Critical
	sort.Slice(candidates, func(x, y int) bool {
		a, z := candidates[x].p.Job.EffectivePriority(), candidates[y].p.Job.EffectivePriority()
		// Critical work does not wait for others to save.
		if sx, sy := candidates[x].p.CheckpointGrace(), candidates[y].p.CheckpointGrace(); hurry && sx != sy {
			return sx < sy
		}
		if a != z {
			return a < z
		}
		if candidates[x].loss != candidates[y].loss {
			return candidates[x].loss < candidates[y].loss
		}
		return candidates[x].p.Task().String() < candidates[y].p.Task().String()
	})
	var out []*workload.Assignment
	loss := 0.0
	for _, candidate := range candidates {
		if free.Holds(request.Need) {
			break
		}
		out = append(out, candidate.p)
		loss += candidate.loss
		if grace := candidate.p.CheckpointGrace(); hurry && grace > 0 && !candidate.p.LittleToSave(now) {
			loss += 100 * float64(grace)
		}
		free = free.Plus(candidate.p.Job.Record.Spec.Need)
	}
	return out, loss, free.Holds(request.Need)
}

// mayPreempt is the protocol's rule of preemption, but that the beginning of a job that
// starved is kept for a moment.
func (c *ClusterState) mayPreempt(assignment *workload.Assignment, job *workload.Job) bool {
	return c.mayPreemptJob(assignment.Job, job) && !assignment.ProtectedFrom(job)
}

func (c *ClusterState) mayPreemptJob(v, job *workload.Job) bool {
	if v.EffectivePriority() < job.EffectivePriority() {
		return true
	}
	if !job.Guaranteed || v.Guaranteed || v.Record.Spec.Team == job.Record.Spec.Team {
		return false
	}
	team, _ := c.settings.Team(v.Record.Spec.Team)
	used := c.quota.Used(v.Record.Spec.Team)
	if v.Record.Spec.Need.Accels > 0 {
		return used.Accels > team.GPUs
	}
	return used.Cores > team.CPUs
}
