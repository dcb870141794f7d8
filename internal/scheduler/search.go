package scheduler

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// search finds machines for the tasks of one job in one pass. It takes the best of a few sampled
// machines for each task. When no sampled machine has both room and the image, it lists all candidates
// once, for all tasks of the job.
type search struct {
	*State
	rng       *rand.Rand
	reserver  *machineReserver
	preemptor *preemptor

	job     *workload.Job
	request *placement.Request
	pass    *planningPass
	zones   *ZoneSpread
	classes []*capacity.Class // classes that the request may use
	open    int               // nodes of these classes that have capacity left
	// avoidAccelerators leaves machines with accelerators out, unless preemption can't make room
	// elsewhere.
	avoidAccelerators bool

	exhaustive bool        // all candidates have been listed
	candidates []candidate // best first
	passedOver []candidate // buffer that best reuses
}

// candidate is a machine that a task may be assigned to; lower scores are better.
type candidate struct {
	node    *capacity.Node
	machine *worker.Machine
	score   float64
}

// newSearch begins the search for a job. It has no candidates if an earlier job of the pass with the
// same needs found none.
func (a *assigner) newSearch(job *workload.Job, request *placement.Request, pass *planningPass) *search {
	s := &search{State: a.State, rng: a.rng, reserver: a.reserver, preemptor: a.preemptor,
		job: job, request: request, pass: pass, zones: ZoneSpreadOf(job, a.Machines),
		avoidAccelerators: request.LongRunning && request.Resources.Accels == 0}
	if covered(pass.noCapacity[placementKeyOf(request)], request.Resources) {
		s.exhaustive = true
		return s
	}
	s.selectClasses()
	return s
}

// selectClasses selects the instance classes that the request may use.
func (s *search) selectClasses() {
	s.classes, s.open = s.classes[:0], 0
	for _, class := range s.Capacity.Classes() {
		if len(class.Open) == 0 || s.avoidAccelerators && class.Offer.Accels > 0 ||
			!s.request.Allows(class.Type, class.Zone, class.Spot) || !class.Offer.Capacity().Holds(s.request.Resources) {
			continue
		}
		s.classes = append(s.classes, class)
		s.open += len(class.Open)
	}
}

// evaluate scores a machine. ok reports whether the task may be assigned there, hasRoom whether the
// machine at least has room for it.
func (s *search) evaluate(node *capacity.Node, retry *workload.Retry) (found candidate, ok, hasRoom bool) {
	s.pass.machinesExamined++
	if !node.Class.Offer.Capacity().Minus(node.Used).Holds(s.request.Resources) {
		return found, false, false
	}
	machine, usable := s.Capacity.UsableMachine(node, s.pass.now, s.reportInterval())
	if !usable {
		return found, false, false
	}
	view := s.reserver.view(node, machine, s.job, retry, s.pass.now)
	leaving := view.ScalingIn && (s.request.Resources.Accels == 0 || view.Type.Accels == 0)
	if view.Reserved || leaving || s.zones.Allowed(machine.Zone, 1) == 0 {
		return found, false, true
	}
	return candidate{node, machine, placement.Score(&view, s.request)}, true, true
}

// pick returns a node for one more task, or nil if none has room.
func (s *search) pick(retry *workload.Retry) *capacity.Node {
	if !s.exhaustive {
		if node := s.sample(retry); node != nil {
			return node
		}
		s.listAll()
	}
	for {
		if node := s.best(retry); node != nil {
			return node
		}
		if !s.avoidAccelerators || s.preemptor.canPreemptWithoutAccelerators(s.job, s.request, s.pass) {
			return nil
		}
		// A service would occupy a machine with accelerators until it is cancelled, so it may use one
		// only if preemption can't make room elsewhere either.
		s.avoidAccelerators = false
		s.selectClasses()
		s.listAll()
	}
}

// sample returns the best of a few random nodes, or nil if the task should not go to any of them.
func (s *search) sample(retry *workload.Retry) *capacity.Node {
	if s.open == 0 {
		return nil
	}
	var top candidate
	for range int(s.Settings.Operator.SampleMachines) {
		if node := s.nthOpen(s.rng.IntN(s.open)); node != nil {
			if found, ok, _ := s.evaluate(node, retry); ok && (top.node == nil || found.score < top.score) {
				top = found
			}
		}
		s.countOpen()
		if s.open == 0 {
			break
		}
	}
	if top.node == nil || retry != nil && retry.Avoid[top.node.Name] {
		return nil
	}
	imageCached := top.machine.Images.Has(s.request.Image)
	if !imageCached && (s.request.LongRunning || top.node.ImagePulls[s.request.Image] == nil) {
		return nil
	}
	return top.node
}

// nthOpen returns the nth node with capacity left. It returns nil if there are fewer: the previous
// assignment may have filled a node since they were counted.
func (s *search) nthOpen(n int) *capacity.Node {
	for _, class := range s.classes {
		if n < len(class.Open) {
			return class.Open[n]
		}
		n -= len(class.Open)
	}
	return nil
}

// countOpen counts the open nodes again, since assignments fill nodes.
func (s *search) countOpen() {
	s.open = 0
	for _, class := range s.classes {
		s.open += len(class.Open)
	}
}

// listAll lists all machines with room, best first.
func (s *search) listAll() {
	s.exhaustive, s.candidates = true, s.candidates[:0]
	anyRoom := false
	for _, class := range s.classes {
		for _, node := range class.Open {
			found, ok, hasRoom := s.evaluate(node, nil)
			anyRoom = anyRoom || hasRoom
			if ok {
				s.candidates = append(s.candidates, found)
			}
		}
	}
	if !anyRoom && !s.avoidAccelerators {
		key := placementKeyOf(s.request)
		s.pass.noCapacity[key] = append(s.pass.noCapacity[key], s.request.Resources)
	}
	slices.SortFunc(s.candidates, compareCandidates)
}

// compareCandidates orders candidates by their scores, and by their names among equals. It is written out
// because a job's list is as long as the fleet: cmp.Or would compare the names each time.
func compareCandidates(x, y candidate) int {
	switch {
	case x.score < y.score:
		return -1
	case x.score > y.score:
		return 1
	}
	return strings.Compare(string(x.node.Name), string(y.node.Name))
}

// best returns the first listed node that still has room, or nil if none has. Nodes on which the same
// task failed before come last. The cost is that of the candidates passed over, not of the whole list.
func (s *search) best(retry *workload.Retry) *capacity.Node {
	var avoided *capacity.Node
	passedOver := s.passedOver[:0]
	for i, found := range s.candidates {
		if found.node.Class == nil || !found.node.Free().Holds(s.request.Resources) {
			continue // full now, so it leaves the list
		}
		if s.allowed(found) {
			if retry == nil || !retry.Avoid[found.node.Name] {
				rest := s.candidates[i-len(passedOver):]
				copy(rest, passedOver)
				s.candidates, s.passedOver = rest, passedOver
				return found.node
			}
			if avoided == nil {
				avoided = found.node
			}
		}
		passedOver = append(passedOver, found)
	}
	s.candidates, s.passedOver = s.candidates[:copy(s.candidates, passedOver)], passedOver
	return avoided
}

// allowed reports whether the job's zone rules and other jobs' reservations still allow a machine that
// has room.
func (s *search) allowed(found candidate) bool {
	if s.zones.Allowed(found.machine.Zone, 1) == 0 {
		return false
	}
	return !s.reserver.reservedForOther(found.node.Name, found.node.Free(), s.job, s.pass.now)
}

// cheapestTogether returns nodes for n tasks at once, all in the one of the zones where that scores
// best, or nil if no zone has room. An empty name stands for all zones together.
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

// together returns nodes for n tasks at once in a zone, or in all zones if it is empty, and the sum of
// their scores; nil if there is not enough room. Machines on which tasks of the job failed come last.
func (s *search) together(zone string, n int) (nodes []*capacity.Node, cost float64) {
	avoid := machinesToAvoid(s.job)
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

// machinesToAvoid returns the machines on which tasks of a job failed.
func machinesToAvoid(job *workload.Job) map[ids.Machine]bool {
	avoid := map[ids.Machine]bool{}
	for _, retry := range job.Retries {
		for machine := range retry.Avoid {
			avoid[machine] = true
		}
	}
	return avoid
}
