package scheduler

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/estimate"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// preemptor frees capacity on machines by stopping tasks. Among the tasks that the rules on priorities and
// guarantees allow to be stopped, it chooses those for which the loss is least.
type preemptor struct {
	*State
	cluster      Cluster
	rng          *rand.Rand
	reservations *Reservations
}

// preemptionFilter restricts on which machines tasks are preempted.
type preemptionFilter struct {
	image   string // if not empty, only machines that have this image cached
	accepts func(victims []*workload.Assignment) bool
}

// anyVictims accepts all preemptions that the rules allow.
var anyVictims = preemptionFilter{accepts: func([]*workload.Assignment) bool { return true }}

// MaxPreemptionCandidates is the maximum number of machines that are compared to find the one on which
// preemption loses least. Comparing thousands of machines for each of hundreds of urgent tasks would take
// longer than the duration of a worker's lease.
const MaxPreemptionCandidates = 200

// preempt frees capacity for one task of a job on some machine and returns the machine's name.
func (p *preemptor) preempt(job *workload.Job, request *placement.Request, pass *planningPass) (freed bool, machine string) {
	key := preemptionKeyOf(job, request)
	if knownUnavailable(pass.noVictims[key], request.Resources) {
		return false, ""
	}
	freed, machine, noVictims := p.preemptCheapest(job, request, pass, anyVictims)
	if noVictims {
		pass.noVictims[key] = append(pass.noVictims[key], request.Resources)
	}
	return freed, machine
}

// preemptionInProgressAge is the age below which a reservation counts as a preemption that is in progress.
const preemptionInProgressAge = time.Second

// preemptWhereCached frees capacity on a machine that has the image cached by stopping tasks that need no
// grace period. It returns the machine's name, also if tasks that an earlier call stopped there have not
// ended yet, or an empty string if no capacity is being freed.
func (p *preemptor) preemptWhereCached(job *workload.Job, request *placement.Request, pass *planningPass) (machine string) {
	for name, reservation := range p.reservations.all() {
		if reservation.Job != job.ID() || pass.now.Sub(reservation.CreatedAt) >= preemptionInProgressAge {
			continue
		}
		node := p.Capacity.Node(name)
		if node != nil && p.Capacity.HasImage(node, request.Image) && (node.Class == nil || !node.Free().Holds(request.Resources)) {
			return string(name) // the stopped tasks have not ended yet
		}
		return ""
	}
	if len(p.Capacity.WithImage(request.Image)) == 0 {
		return ""
	}
	// Only tasks of lower priority are stopped. A guarantee would also allow stopping tasks of the same
	// priority, but exchanging one replica for another gains nothing and delays the other job's replica.
	exitImmediately := func(victims []*workload.Assignment) bool {
		return len(victims) > 0 && !slices.ContainsFunc(victims, func(victim *workload.Assignment) bool {
			return victim.CheckpointGrace() > 0 || victim.Job.Record.Spec.JobType == record.Service ||
				victim.Job.EffectivePriority() >= job.EffectivePriority()
		})
	}
	_, machine, _ = p.preemptCheapest(job, request, pass, preemptionFilter{image: request.Image, accepts: exitImmediately})
	return machine
}

// canPreemptWithoutAccelerators reports whether preemption could free capacity for a task of a job on a
// machine without accelerators.
func (p *preemptor) canPreemptWithoutAccelerators(job *workload.Job, request *placement.Request, pass *planningPass) bool {
	zones := ZoneSpreadOf(job, p.Machines)
	for _, node := range p.nodesWithVictims(job, request, "", pass) {
		machine := p.Machines.Machines[node.Name]
		offer := p.Capacity.Type(machine.Type)
		if offer.Accels > 0 || !offer.Capacity().Holds(request.Resources) || zones.Allowed(machine.Zone, 1) == 0 {
			continue
		}
		if _, _, enough := p.victimsOn(job, node, offer.Capacity().Minus(node.Used), request, pass.now); enough {
			return true
		}
	}
	return false
}

// nodesWithVictims returns the nodes with tasks that a job may preempt, including tasks that are already
// being stopped. If image is not empty, it returns only nodes that have the image cached. Within a pass,
// jobs with the same preemption key share the list.
func (p *preemptor) nodesWithVictims(job *workload.Job, request *placement.Request, image string, pass *planningPass) []*capacity.Node {
	key := preemptionKeyOf(job, request)
	key.image = image
	if nodes, known := pass.preemptible[key]; known {
		return nodes
	}
	var nodes []*capacity.Node
	if image != "" {
		all := slices.Clone(p.nodesWithVictims(job, request, "", pass))
		nodes = slices.DeleteFunc(all, func(node *capacity.Node) bool { return !p.Capacity.HasImage(node, image) })
	} else {
		nodes = p.findNodesWithVictims(job, request, pass.now)
	}
	pass.preemptible[key] = nodes
	return nodes
}

// findNodesWithVictims computes the list for nodesWithVictims. It examines the assignments of all jobs
// whose tasks the job may preempt.
func (p *preemptor) findNodesWithVictims(job *workload.Job, request *placement.Request, now time.Time) []*capacity.Node {
	withVictims := map[*capacity.Node]bool{}
	for _, other := range p.Jobs.Ordered() {
		if len(other.Assignments) == 0 || !p.mayPreemptJob(other, job) {
			continue
		}
		for _, assignment := range other.Assignments {
			withVictims[p.Capacity.Node(assignment.Machine)] = true
		}
	}
	nodes := make([]*capacity.Node, 0, len(withVictims))
	for node := range withVictims {
		machine := p.Machines.Machines[node.Name]
		if p.Capacity.Type(machine.Type) == nil || !machine.Schedulable(now, p.reportInterval()) || !request.Allows(machine.Type, machine.Zone, machine.Spot) {
			continue
		}
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, func(x, y *capacity.Node) int { return cmp.Compare(x.Name, y.Name) })
	return nodes
}

// preemption is a set of tasks to stop on a node, with the cost of stopping them.
type preemption struct {
	node    *capacity.Node
	victims []*workload.Assignment
	loss    float64
}

// preemptCheapest preempts tasks on the machine where that loses least, among the machines and victims
// that the filter accepts. noVictims reports that preemption can't free enough capacity on any machine.
func (p *preemptor) preemptCheapest(job *workload.Job, request *placement.Request, pass *planningPass, filter preemptionFilter) (freed bool, machine string, noVictims bool) {
	if job.Suspect() {
		return false, "", false // no task is stopped for a job that is likely to fail
	}
	if job.EffectivePriority() < record.High && !job.Guaranteed || !p.cluster.StoreAvailable() {
		return false, "", true
	}
	reservedCount := p.reservations.dropExpired(job.ID(), pass.now)
	if reservedCount >= max(1, job.Unfinished()-len(job.Assignments)) {
		return false, "", false
	}
	best, noVictims := p.cheapestPreemption(job, request, pass, filter)
	if best == nil {
		return false, "", noVictims
	}
	p.execute(best, job, request, pass.now)
	return true, string(best.node.Name), false
}

// cheapestPreemption returns the preemption that loses least among the first MaxPreemptionCandidates
// possible ones. If more nodes than that have victims, it starts at a random one of them.
func (p *preemptor) cheapestPreemption(job *workload.Job, request *placement.Request, pass *planningPass, filter preemptionFilter) (best *preemption, noVictims bool) {
	zones := ZoneSpreadOf(job, p.Machines)
	noVictims = true
	nodes := p.nodesWithVictims(job, request, filter.image, pass)
	first, candidates := 0, 0
	if len(nodes) > MaxPreemptionCandidates {
		first = p.rng.IntN(len(nodes))
	}
	for i := 0; i < len(nodes) && candidates < MaxPreemptionCandidates; i++ {
		node := nodes[(first+i)%len(nodes)]
		if _, reserved := p.reservations.all()[node.Name]; reserved {
			continue
		}
		machine := p.Machines.Machines[node.Name]
		offer := p.Capacity.Type(machine.Type)
		if !offer.Capacity().Holds(request.Resources) {
			continue
		}
		pass.machinesExamined++
		victims, loss, enough := p.victimsOn(job, node, offer.Capacity().Minus(node.Used), request, pass.now)
		if !enough {
			continue
		}
		noVictims = false
		if zones.Allowed(machine.Zone, 1) == 0 || !filter.accepts(victims) {
			continue
		}
		candidates++
		loss += placementLoss(node, machine, offer, request)
		if best == nil || loss < best.loss {
			best = &preemption{node, victims, loss}
		}
	}
	return best, noVictims
}

// acceleratorLoss is the cost of placing a long-running task on a machine with more accelerators than the
// task needs. It is high because the task would occupy the expensive machine until it is cancelled.
const acceleratorLoss = 1e6

// placementLoss returns the cost of placing a task on a node, without the cost of stopping other tasks
// there.
func placementLoss(node *capacity.Node, machine *worker.Machine, offer *placement.InstanceType, request *placement.Request) (loss float64) {
	if request.LongRunning && offer.Accels > request.Resources.Accels {
		loss += acceleratorLoss
	}
	if !machine.Images.Has(request.Image) && node.ImagePulls[request.Image] == nil {
		loss += estimate.PullSeconds(offer, request.ImageGB)
	}
	return loss
}

// preemptionReservationMargin is the time, in seconds, for which the freed capacity stays reserved after the
// longest grace period of the stopped tasks.
const preemptionReservationMargin = 10

// execute stops the victims of a preemption and reserves the freed capacity for the job.
func (p *preemptor) execute(chosen *preemption, job *workload.Job, request *placement.Request, now time.Time) {
	longest := ids.Seconds(0)
	for _, victim := range chosen.victims {
		grace := victim.CheckpointGrace()
		if job.EffectivePriority() == record.Critical && victim.LittleToSave(now) {
			grace = 0
		}
		p.cluster.Stop(victim, grace, fmt.Sprintf("to make room for %s (%s)", job.ID(), job.EffectivePriority()))
		longest = max(longest, victim.StopGrace)
	}
	p.reservations.Set(chosen.node.Name, Reservation{Job: job.ID(), Need: request.Resources, CreatedAt: now,
		ExpiresAt: now.Add((longest + preemptionReservationMargin).Duration())})
}

// victim is a task that may be stopped, with the cost of stopping it.
type victim struct {
	assignment *workload.Assignment
	loss       float64
}

// graceLossPerSecond is the cost of each second for which a critical job waits for a victim's grace period.
const graceLossPerSecond = 100

// victimsOn chooses which tasks of a node to stop so that a request fits into the node's free resources
// and those of the stopped tasks. It returns these tasks and the cost of stopping them. enough reports
// whether the request fits after they have ended.
func (p *preemptor) victimsOn(job *workload.Job, node *capacity.Node, free placement.Resources, request *placement.Request, now time.Time) (stop []*workload.Assignment, loss float64, enough bool) {
	critical := job.EffectivePriority() == record.Critical
	var victims []victim
	for assignment := range node.Assignments {
		if assignment.Stopping {
			free = free.Plus(assignment.Job.Record.Spec.Resources)
		} else if p.mayPreemptTask(assignment, job) {
			victims = append(victims, victim{assignment, assignment.PreemptionCost(now)})
		}
	}
	slices.SortFunc(victims, func(x, y victim) int { return compareVictims(x, y, critical) })
	for _, chosen := range victims {
		if free.Holds(request.Resources) {
			break
		}
		stop = append(stop, chosen.assignment)
		loss += chosen.loss
		if grace := chosen.assignment.CheckpointGrace(); critical && grace > 0 && !chosen.assignment.LittleToSave(now) {
			loss += graceLossPerSecond * float64(grace)
		}
		free = free.Plus(chosen.assignment.Job.Record.Spec.Resources)
	}
	return stop, loss, free.Holds(request.Resources)
}

// compareVictims orders victims by priority, lowest first, then by loss, least first. For a critical job,
// which must not wait until others have saved their checkpoints, the shortest grace period comes first.
func compareVictims(x, y victim, critical bool) int {
	byGrace := 0
	if critical {
		byGrace = cmp.Compare(x.assignment.CheckpointGrace(), y.assignment.CheckpointGrace())
	}
	order := cmp.Or(byGrace,
		cmp.Compare(x.assignment.Job.EffectivePriority(), y.assignment.Job.EffectivePriority()),
		cmp.Compare(x.loss, y.loss))
	if order != 0 {
		return order
	}
	return cmp.Compare(x.assignment.Task().String(), y.assignment.Task().String())
}

// mayPreemptTask reports whether a task may be stopped for a job. It applies the rule of mayPreemptJob,
// except that the first tasks of a job that starved are protected for a limited time.
func (p *preemptor) mayPreemptTask(assignment *workload.Assignment, job *workload.Job) bool {
	return p.mayPreemptJob(assignment.Job, job) && !assignment.ProtectedFrom(job)
}

// mayPreemptJob reports whether tasks of victim may be stopped for job: job must either have higher
// priority, or lie within its team's guarantee while victim's team uses more than its own guarantee.
func (p *preemptor) mayPreemptJob(victim, job *workload.Job) bool {
	if victim.EffectivePriority() < job.EffectivePriority() {
		return true
	}
	spec := &victim.Record.Spec
	if !job.Guaranteed || victim.Guaranteed || spec.Team == job.Record.Spec.Team {
		return false
	}
	team, _ := p.Settings.Team(spec.Team)
	used := p.Quota.Usage(spec.Team)
	if spec.Resources.Accels > 0 {
		return used.Accels > team.GPUs
	}
	return used.Cores > team.CPUs
}
