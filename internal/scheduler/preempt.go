package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// preemptionKey is what decides which machines a job may preempt others on.
type preemptionKey struct {
	priority   record.Priority
	guaranteed bool
	team       string // of a guaranteed job
	image      string // only machines that hold it; empty: all
	placementKey
}

func preemptionKeyOf(job *workload.Job, request *placement.Request) preemptionKey {
	key := preemptionKey{priority: job.EffectivePriority(), guaranteed: job.Guaranteed, placementKey: placementKeyOf(request)}
	if job.Guaranteed {
		key.team = job.Record.Spec.Team
	}
	return key
}

// preemptionFilter says where tasks may be preempted for another one.
type preemptionFilter struct {
	image   string // only on machines that hold it; empty: on all
	accepts func(victims []*workload.Assignment) bool
}

// anyVictims allows whatever the rules of preemption do.
var anyVictims = preemptionFilter{accepts: func([]*workload.Assignment) bool { return true }}

// MaxPreemptionCandidates is among how many machines the one is chosen on which preempting others loses
// least. In a fleet of thousands, on most of which that is possible, to weigh them all for each of
// hundreds of urgent tasks takes longer than their workers' leases last.
const MaxPreemptionCandidates = 200

// preempt frees room for one task of a job by stopping others, where the rules of priority and
// guarantee allow it, at the least loss; it names the machine.
func (s *Scheduler) preempt(job *workload.Job, request *placement.Request, pass *Pass) (freed bool, machine string) {
	key := preemptionKeyOf(job, request)
	if covered(pass.noVictims[key], request.Resources) {
		return false, ""
	}
	freed, machine, noVictims := s.preemptCheapest(job, request, pass, anyVictims)
	if noVictims {
		pass.noVictims[key] = append(pass.noVictims[key], request.Resources)
	}
	return freed, machine
}

// recentReservation is for how long a reservation that a preemption made counts as under way.
const recentReservation = time.Second

// preemptWhereCached frees room on a machine that holds the image, by stopping tasks that exit at once;
// it names the machine, also while that goes on.
func (s *Scheduler) preemptWhereCached(job *workload.Job, request *placement.Request, pass *Pass) (machine string) {
	for name, reservation := range s.Reservations.All() {
		if reservation.Job != job.ID() || pass.now.Sub(reservation.Made) >= recentReservation {
			continue
		}
		node := s.Capacity.Node(name)
		if node != nil && s.Capacity.HoldsImage(node, request.Image) && (node.Class == nil || !node.Free().Holds(request.Resources)) {
			return string(name) // not free yet
		}
		return ""
	}
	if len(s.Capacity.WithImage(request.Image)) == 0 {
		return ""
	}
	// Only lesser work: to swap one replica for another, as a guarantee would allow, gains nothing here
	// and costs the other its start.
	lesser := func(victims []*workload.Assignment) bool {
		return len(victims) > 0 && !slices.ContainsFunc(victims, func(victim *workload.Assignment) bool {
			return victim.CheckpointGrace() > 0 || victim.Job.Record.Spec.Shape == record.Service ||
				victim.Job.EffectivePriority() >= job.EffectivePriority()
		})
	}
	_, machine, _ = s.preemptCheapest(job, request, pass, preemptionFilter{image: request.Image, accepts: lesser})
	return machine
}

// canPreemptWithoutAccelerators tells whether preempting others would make room on machines without
// accelerators.
func (s *Scheduler) canPreemptWithoutAccelerators(job *workload.Job, request *placement.Request, pass *Pass) bool {
	zones := ZoneSpreadOf(job, s.Machines)
	for _, node := range s.preemptionNodes(job, request, "", pass) {
		machine := s.Machines.Machines[node.Name]
		offer := s.Capacity.Type(machine.Type)
		if offer.Accels > 0 || !offer.Capacity().Holds(request.Resources) || zones.Allowed(machine.Zone, 1) == 0 {
			continue
		}
		if _, _, enough := s.victimsOn(job, node, offer.Capacity().Minus(node.Used), request, pass.now); enough {
			return true
		}
	}
	return false
}

// preemptionNodes lists the nodes on which a job may preempt something, or where something is being
// stopped; if an image is named, only those that hold it. Jobs alike share the list within a pass.
func (s *Scheduler) preemptionNodes(job *workload.Job, request *placement.Request, image string, pass *Pass) []*capacity.Node {
	key := preemptionKeyOf(job, request)
	key.image = image
	if nodes, known := pass.preemptible[key]; known {
		return nodes
	}
	var nodes []*capacity.Node
	if image != "" {
		all := slices.Clone(s.preemptionNodes(job, request, "", pass))
		nodes = slices.DeleteFunc(all, func(node *capacity.Node) bool { return !s.Capacity.HoldsImage(node, image) })
	} else {
		nodes = s.findPreemptionNodes(job, request, pass.now)
	}
	pass.preemptible[key] = nodes
	return nodes
}

// findPreemptionNodes looks at all jobs that a job may preempt.
func (s *Scheduler) findPreemptionNodes(job *workload.Job, request *placement.Request, now time.Time) []*capacity.Node {
	withVictims := map[*capacity.Node]bool{}
	for _, other := range s.Jobs.Ordered() {
		if len(other.Assignments) == 0 || !s.mayPreemptJob(other, job) {
			continue
		}
		for _, assignment := range other.Assignments {
			withVictims[s.Capacity.Node(assignment.Machine)] = true
		}
	}
	nodes := make([]*capacity.Node, 0, len(withVictims))
	for node := range withVictims {
		machine := s.Machines.Machines[node.Name]
		if s.Capacity.Type(machine.Type) == nil || !machine.Schedulable(now, s.reportInterval()) || !request.Allows(machine.Type, machine.Zone, machine.Spot) {
			continue
		}
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, func(x, y *capacity.Node) int { return cmp.Compare(x.Name, y.Name) })
	return nodes
}

// preemption is what would be stopped on a node, and what that loses.
type preemption struct {
	node    *capacity.Node
	victims []*workload.Assignment
	loss    float64
}

// preemptCheapest preempts others on the machine where that loses least among those that the filter
// allows; noVictims tells that no machine was left to choose from.
func (s *Scheduler) preemptCheapest(job *workload.Job, request *placement.Request, pass *Pass, filter preemptionFilter) (freed bool, machine string, noVictims bool) {
	if job.Suspect() {
		return false, "", false // nothing is stopped for what may fail anyway
	}
	if job.EffectivePriority() < record.High && !job.Guaranteed || !s.cluster.StoreAvailable() {
		return false, "", true
	}
	held := s.Reservations.dropEnded(job.ID(), pass.now)
	if held >= max(1, job.Unfinished()-len(job.Assignments)) {
		return false, "", false
	}
	best, noVictims := s.cheapestPreemption(job, request, pass, filter)
	if best == nil {
		return false, "", noVictims
	}
	s.carryOut(best, job, request, pass.now)
	return true, string(best.node.Name), false
}

// cheapestPreemption picks the preemption that loses least, among MaxPreemptionCandidates from a random
// node on.
func (s *Scheduler) cheapestPreemption(job *workload.Job, request *placement.Request, pass *Pass, filter preemptionFilter) (best *preemption, noVictims bool) {
	zones := ZoneSpreadOf(job, s.Machines)
	noVictims = true
	nodes := s.preemptionNodes(job, request, filter.image, pass)
	first, candidates := 0, 0
	if len(nodes) > MaxPreemptionCandidates {
		first = s.rng.IntN(len(nodes))
	}
	for i := 0; i < len(nodes) && candidates < MaxPreemptionCandidates; i++ {
		node := nodes[(first+i)%len(nodes)]
		if _, reserved := s.Reservations.All()[node.Name]; reserved {
			continue
		}
		machine := s.Machines.Machines[node.Name]
		offer := s.Capacity.Type(machine.Type)
		if !offer.Capacity().Holds(request.Resources) {
			continue
		}
		pass.machinesExamined++
		victims, loss, enough := s.victimsOn(job, node, offer.Capacity().Minus(node.Used), request, pass.now)
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

// acceleratorLoss keeps long-running work without accelerators off machines with some: it would hold
// the dear machine for good.
const acceleratorLoss = 1e6

// minPullRate is assumed, in GB a second, of a machine type that names none.
const minPullRate = 0.01

// placementLoss is what a request loses by going to a node, beside what is stopped there.
func placementLoss(node *capacity.Node, machine *worker.Machine, offer *placement.InstanceType, request *placement.Request) (loss float64) {
	if request.LongRunning && offer.Accels > request.Resources.Accels {
		loss += acceleratorLoss
	}
	if !machine.Images.Has(request.Image) && node.ImagePulls[request.Image] == nil {
		loss += request.ImageGB / max(offer.PullGBPerS, minPullRate)
	}
	return loss
}

// preemptionMargin is how much longer than the longest grace period of those stopped their room is
// kept, in seconds.
const preemptionMargin = 10

// carryOut stops what a preemption names and keeps its room for the job.
func (s *Scheduler) carryOut(chosen *preemption, job *workload.Job, request *placement.Request, now time.Time) {
	longest := ids.Seconds(0)
	for _, victim := range chosen.victims {
		grace := victim.CheckpointGrace()
		if job.EffectivePriority() == record.Critical && victim.LittleToSave(now) {
			grace = 0
		}
		s.cluster.Stop(victim, grace, fmt.Sprintf("to make room for %s (%s)", job.ID(), job.EffectivePriority()))
		longest = max(longest, victim.StopGrace)
	}
	s.Reservations.Set(chosen.node.Name, Reservation{Job: job.ID(), Need: request.Resources, Made: now,
		Until: now.Add((longest + preemptionMargin).Duration())})
}

// victim is a task that may be stopped, and what that loses.
type victim struct {
	assignment *workload.Assignment
	loss       float64
}

// graceLoss is what a second of a victim's grace period costs critical work, which waits for it.
const graceLoss = 100

// victimsOn picks whom to stop on a node so that the request fits, and tells what that loses; enough
// tells whether it fits then.
func (s *Scheduler) victimsOn(job *workload.Job, node *capacity.Node, free placement.Resources, request *placement.Request, now time.Time) (stop []*workload.Assignment, loss float64, enough bool) {
	critical := job.EffectivePriority() == record.Critical
	var victims []victim
	for assignment := range node.Assignments {
		if assignment.Stopping {
			free = free.Plus(assignment.Job.Record.Spec.Resources)
		} else if s.mayPreempt(assignment, job) {
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
			loss += graceLoss * float64(grace)
		}
		free = free.Plus(chosen.assignment.Job.Record.Spec.Resources)
	}
	return stop, loss, free.Holds(request.Resources)
}

// compareVictims orders whom to stop first: for critical work, which does not wait for others to save,
// those with the shortest grace period; then by priority and loss.
func compareVictims(x, y victim, critical bool) int {
	byGrace := 0
	if critical {
		byGrace = cmp.Compare(x.assignment.CheckpointGrace(), y.assignment.CheckpointGrace())
	}
	return cmp.Or(byGrace,
		cmp.Compare(x.assignment.Job.EffectivePriority(), y.assignment.Job.EffectivePriority()),
		cmp.Compare(x.loss, y.loss),
		cmp.Compare(x.assignment.Task().String(), y.assignment.Task().String()))
}

// mayPreempt is the protocol's rule of preemption, but that the beginning of a job that starved is
// protected for a moment.
func (s *Scheduler) mayPreempt(assignment *workload.Assignment, job *workload.Job) bool {
	return s.mayPreemptJob(assignment.Job, job) && !assignment.ProtectedFrom(job)
}

// mayPreemptJob tells whether a job's tasks may be stopped for another job.
func (s *Scheduler) mayPreemptJob(victim, job *workload.Job) bool {
	if victim.EffectivePriority() < job.EffectivePriority() {
		return true
	}
	spec := &victim.Record.Spec
	if !job.Guaranteed || victim.Guaranteed || spec.Team == job.Record.Spec.Team {
		return false
	}
	team, _ := s.Settings.Team(spec.Team)
	used := s.Quota.Usage(spec.Team)
	if spec.Resources.Accels > 0 {
		return used.Accels > team.GPUs
	}
	return used.Cores > team.CPUs
}
