package scheduler

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// search finds machines for the tasks of one job in one pass. For each task it first takes the best of a
// few random machines. When none of them is suitable, it lists all candidates once and uses that list for
// all further tasks of the job.
type search struct {
	*State
	rng       *rand.Rand
	reserver  *machineReserver
	preemptor *preemptor

	job       *workload.Job
	request   *placement.Request
	pass      *planningPass
	zones     *ZoneSpread
	classes   []*capacity.Class // classes that the request may use
	openNodes int               // number of nodes of these classes that have capacity left
	// avoidAccelerators excludes machines with accelerators. pickNode resets it if no machine without
	// accelerators has room and preemption can't free capacity on any of them.
	avoidAccelerators bool

	allListed  bool        // whether candidates contains all candidates
	candidates []candidate // sorted, best first
	skipped    []candidate // buffer that bestListed reuses between calls
}

// candidate is a machine to which a task may be assigned. Lower scores are better.
type candidate struct {
	node    *capacity.Node
	machine *worker.Machine
	score   float64
}

// newSearch returns a search for the tasks of a job. The search has no candidates if an earlier job of
// the pass with the same requirements found no machine with room.
func (a *assigner) newSearch(job *workload.Job, request *placement.Request, pass *planningPass) *search {
	s := &search{State: a.State, rng: a.rng, reserver: a.reserver, preemptor: a.preemptor,
		job: job, request: request, pass: pass, zones: ZoneSpreadOf(job, a.Machines),
		avoidAccelerators: request.LongRunning && request.Resources.Accels == 0}
	if knownUnavailable(pass.noCapacity[placementKeyOf(request)], request.Resources) {
		s.allListed = true
		return s
	}
	s.selectClasses()
	return s
}

// selectClasses selects the instance classes that the request may use.
func (s *search) selectClasses() {
	s.classes, s.openNodes = s.classes[:0], 0
	for _, class := range s.Capacity.Classes() {
		if len(class.OpenNodes) == 0 || s.avoidAccelerators && class.InstanceType.Accels > 0 ||
			!s.request.Allows(class.Type, class.Zone, class.Spot) || !class.InstanceType.Capacity().Holds(s.request.Resources) {
			continue
		}
		s.classes = append(s.classes, class)
		s.openNodes += len(class.OpenNodes)
	}
}

// evaluate scores a machine. ok reports whether the task may be assigned to it. hasRoom reports whether
// a usable machine has room for the task, even if other rules exclude it.
func (s *search) evaluate(node *capacity.Node, retry *workload.Retry) (found candidate, ok, hasRoom bool) {
	s.pass.machinesExamined++
	if !node.Class.InstanceType.Capacity().Minus(node.Used).Holds(s.request.Resources) {
		return found, false, false
	}
	machine, usable := s.Capacity.UsableMachine(node, s.pass.now, s.reportInterval())
	if !usable {
		return found, false, false
	}
	taskCandidate := s.reserver.taskCandidate(node, machine, s.job, retry, s.pass.now)
	scalingIn := taskCandidate.ScalingIn && (s.request.Resources.Accels == 0 || taskCandidate.Type.Accels == 0)
	if taskCandidate.Reserved || scalingIn || s.zones.Allowed(machine.Zone, 1) == 0 {
		return found, false, true
	}
	return candidate{node, machine, placement.Score(&taskCandidate, s.request)}, true, true
}

// pickNode returns a node for one more task, or nil if no suitable node has room.
func (s *search) pickNode(retry *workload.Retry) *capacity.Node {
	if !s.allListed {
		if node := s.sampleNode(retry); node != nil {
			return node
		}
		s.listCandidates()
	}
	for {
		if node := s.bestListed(retry); node != nil {
			return node
		}
		if !s.avoidAccelerators || s.preemptor.canPreemptWithoutAccelerators(s.job, s.request, s.pass) {
			return nil
		}
		// A service would occupy a machine with accelerators until it is cancelled. So it may use such a
		// machine only if no other machine has room and preemption can't free capacity on any other.
		s.avoidAccelerators = false
		s.selectClasses()
		s.listCandidates()
	}
}

// sampleNode returns the best of a few random nodes. It returns nil if no sampled node is allowed, if the
// task failed on the best one before, or if the best one does not have the image cached. A node that is
// still pulling the image is accepted for tasks that are not long-running.
func (s *search) sampleNode(retry *workload.Retry) *capacity.Node {
	if s.openNodes == 0 {
		return nil
	}
	var top candidate
	for range int(s.Settings.Operator.SampleMachines) {
		if node := s.nthOpenNode(s.rng.IntN(s.openNodes)); node != nil {
			if found, ok, _ := s.evaluate(node, retry); ok && (top.node == nil || found.score < top.score) {
				top = found
			}
		}
		s.countOpenNodes()
		if s.openNodes == 0 {
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

// nthOpenNode returns the node with index n among those that have capacity left. It returns nil if there are
// fewer: an assignment may have filled a node since the nodes were counted.
func (s *search) nthOpenNode(n int) *capacity.Node {
	for _, class := range s.classes {
		if n < len(class.OpenNodes) {
			return class.OpenNodes[n]
		}
		n -= len(class.OpenNodes)
	}
	return nil
}

// countOpenNodes counts the nodes that have capacity left. Assignments reduce their number.
func (s *search) countOpenNodes() {
	s.openNodes = 0
	for _, class := range s.classes {
		s.openNodes += len(class.OpenNodes)
	}
}

// listCandidates lists all machines to which tasks of the job may be assigned, best first.
func (s *search) listCandidates() {
	s.allListed, s.candidates = true, s.candidates[:0]
	anyRoom := false
	for _, class := range s.classes {
		for _, node := range class.OpenNodes {
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

// compareCandidates orders candidates by score, and by name if the scores are equal. It does not use
// cmp.Or, which would compare the names each time: a job's list may contain the whole fleet.
func compareCandidates(x, y candidate) int {
	switch {
	case x.score < y.score:
		return -1
	case x.score > y.score:
		return 1
	}
	return strings.Compare(string(x.node.Name), string(y.node.Name))
}

// bestListed returns the first listed node that is still allowed and has room, or nil if there is none. It
// prefers nodes on which the task has not failed before. The cost of a call is proportional to the number
// of candidates that it skips, not to the length of the list.
func (s *search) bestListed(retry *workload.Retry) *capacity.Node {
	var avoided *capacity.Node
	skipped := s.skipped[:0]
	for i, found := range s.candidates {
		if found.node.Class == nil || !found.node.Free().Holds(s.request.Resources) {
			continue // the node is full by now and is removed from the list
		}
		if s.stillAllowed(found) {
			if retry == nil || !retry.Avoid[found.node.Name] {
				rest := s.candidates[i-len(skipped):]
				copy(rest, skipped)
				s.candidates, s.skipped = rest, skipped
				return found.node
			}
			if avoided == nil {
				avoided = found.node
			}
		}
		skipped = append(skipped, found)
	}
	s.candidates, s.skipped = s.candidates[:copy(s.candidates, skipped)], skipped
	return avoided
}

// stillAllowed reports whether the job's zone rules and the reservations for other jobs still allow the use
// of a machine that has room.
func (s *search) stillAllowed(found candidate) bool {
	if s.zones.Allowed(found.machine.Zone, 1) == 0 {
		return false
	}
	return !s.reserver.reservedForOther(found.node.Name, found.node.Free(), s.job, s.pass.now)
}
