package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// machineReserver reserves machines for starving jobs. A job whose tasks need a large part of a machine
// may have the highest rank and still never start, because smaller tasks take all capacity that becomes
// free before there is enough for one large task. While a machine is reserved for a starving job, only that
// job and critical jobs may use the reserved capacity.
type machineReserver struct {
	*State
	cluster      Cluster
	reservations *Reservations
}

const (
	// reservationTime is the duration of a reservation for a job below high priority.
	reservationTime = time.Minute
	// reservationRetryDelay is the least time between two searches for machines to reserve for a job.
	reservationRetryDelay = 5 * time.Second
	// reservedFleetDivisor limits the reservations that wait for tasks to end: at most the number of
	// machines divided by it, or twice the number of machines that the job needs if that is more.
	reservedFleetDivisor = 20
)

// wantsReservation reports whether machines should be reserved for a job that has no room for the given
// number of tasks. High-priority jobs preempt others instead, except for gangs of several tasks: all jobs on
// the most expensive machines may have high priority, so that none can be preempted. Each machine that
// becomes free would go to a gang of one task, and a gang that needs two machines at once would never start.
func wantsReservation(job *workload.Job, tasks int, now time.Time) bool {
	if job.EffectivePriority() >= record.High && (tasks < 2 || job.Record.Spec.JobType != record.Gang) {
		return false
	}
	return !job.Suspect() && job.Starving(now) && now.Sub(job.LastReservationAttempt) >= reservationRetryDelay
}

// reservableNode is a node with the estimated time until its tasks have ended.
type reservableNode struct {
	node          *capacity.Node
	zone          string
	timeUntilFree time.Duration
}

// reserve reserves the n machines that will be free soonest for a starving job. It reports whether
// machines are reserved for the job, by this call or an earlier one. It examines the whole fleet, at most
// once every reservationRetryDelay for each starving job.
func (r *machineReserver) reserve(job *workload.Job, request *placement.Request, n int, now time.Time) bool {
	if !wantsReservation(job, n, now) {
		return false
	}
	job.LastReservationAttempt = now
	if r.reservations.countAwaitingTaskEnd(now)+n > max(2*n, len(r.Capacity.Nodes())/reservedFleetDivisor) {
		return false
	}
	nodes, alreadyReserved := r.reservableNodes(job, request, now)
	if alreadyReserved {
		return true
	}
	if job.Record.Spec.SingleZone && n > 1 {
		nodes = nodesOfSoonestZone(nodes, n)
	}
	if len(nodes) < n {
		return false
	}
	until := now.Add(reservationTime)
	if job.EffectivePriority() >= record.High {
		until = now.Add(2 * reservationTime) // tasks on the machines that such gangs need run for long
	}
	for _, found := range nodes[:n] {
		r.reservations.Set(found.node.Name, Reservation{Job: job.ID(), Need: request.Resources, CreatedAt: now, ExpiresAt: until, AwaitsTaskEnd: true})
	}
	r.cluster.RecordEvent(job, "%d machines set aside for it, %s the first", n, nodes[0].node.Name)
	return true
}

// reservableNodes returns the nodes that will have room for a request when their array and gang tasks have
// ended, in the order in which that is expected. alreadyReserved reports that a machine is reserved for the
// job.
func (r *machineReserver) reservableNodes(job *workload.Job, request *placement.Request, now time.Time) (nodes []reservableNode, alreadyReserved bool) {
	for _, node := range r.Capacity.Nodes() {
		machine := r.Machines.Machines[node.Name]
		if machine == nil {
			continue
		}
		if reservation, reserved := r.reservations.On(node.Name, now); reserved {
			if reservation.Job == job.ID() {
				return nil, true
			}
			continue
		}
		offer := r.Capacity.Type(machine.Type)
		if offer == nil || machine.DeleteWhenEmpty || !machine.Schedulable(now, r.reportInterval()) || !request.Allows(machine.Type, machine.Zone, machine.Spot) {
			continue
		}
		onlyForAccelerated := request.Resources.Accels == 0 && offer.Accels > 0
		if onlyForAccelerated || !offer.Capacity().Minus(node.Used).Plus(node.Reclaimable).Holds(request.Resources) {
			continue
		}
		nodes = append(nodes, reservableNode{node, machine.Zone, node.TimeUntilFree(now)})
	}
	slices.SortFunc(nodes, func(x, y reservableNode) int {
		return cmp.Or(cmp.Compare(x.timeUntilFree, y.timeUntilFree), cmp.Compare(x.node.Name, y.node.Name))
	})
	return nodes, false
}

// nodesOfSoonestZone returns the nodes of the zone in which n nodes will be free soonest, or all nodes if no
// zone has n of them. The nodes must be sorted, soonest free first.
func nodesOfSoonestZone(nodes []reservableNode, n int) []reservableNode {
	count := map[string]int{}
	for _, found := range nodes {
		count[found.zone]++
		if count[found.zone] == n {
			zone := found.zone
			return slices.DeleteFunc(nodes, func(other reservableNode) bool { return other.zone != zone })
		}
	}
	return nodes
}

// reservedForOther reports whether the free capacity of a machine, less what is reserved there for
// another job that takes precedence, is too small for a task of the job.
func (r *machineReserver) reservedForOther(machine ids.Machine, free placement.Resources, job *workload.Job, now time.Time) bool {
	reservation, reserved := r.reservations.On(machine, now)
	return reserved && reservation.Job != job.ID() && r.takesPrecedence(reservation.Job, job, now) &&
		!free.Minus(reservation.Need).Holds(job.Record.Spec.Resources)
}

// takesPrecedence reports whether the job with a reservation still takes precedence over another job.
func (r *machineReserver) takesPrecedence(id ids.Job, job *workload.Job, now time.Time) bool {
	reservedJob := r.Jobs.Get(id)
	if reservedJob == nil || !reservedJob.Schedulable() {
		return false
	}
	return reservedJob.EffectivePriority() >= job.EffectivePriority() || reservedJob.Starving(now) && job.EffectivePriority() < record.Critical
}

// taskCandidate implements Scheduler.CandidateView.
func (r *machineReserver) taskCandidate(node *capacity.Node, machine *worker.Machine, job *workload.Job, retry *workload.Retry, now time.Time) placement.Candidate {
	taskCandidate := candidateView(node, machine, job)
	taskCandidate.Reserved = r.reservedForOther(node.Name, taskCandidate.Free, job, now)
	taskCandidate.FailedBefore = retry != nil && retry.Avoid[node.Name]
	return taskCandidate
}

// candidateView describes a node as a placement candidate for any task of a job. It ignores reservations
// and earlier failures.
func candidateView(node *capacity.Node, machine *worker.Machine, job *workload.Job) placement.Candidate {
	image := job.Record.Spec.Image
	view := placement.Candidate{Name: node.Name, Type: node.Class.InstanceType, Zone: machine.Zone, Spot: machine.Spot, ScalingIn: machine.DeleteWhenEmpty,
		Free: node.Free(), OtherPulls: len(node.ImagePulls)}
	view.ImageCached = machine.Images.Has(image)
	view.ImageExpected = view.ImageCached || node.ImagePulls[image] != nil
	for pulled, pull := range node.ImagePulls {
		cached := machine.Images.Has(pulled)
		if pull.TopPriority >= record.High && pull.TopPriority > job.EffectivePriority() && !cached {
			view.PullsForHigherPriority = true
		}
		if cached {
			view.OtherPulls--
		}
	}
	return view
}
