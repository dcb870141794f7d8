package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// search finds candidate machines for the tasks of one job in one pass. Each task goes to the best fit
// among a few sampled machines; a sample that shows none with room and the image widens to all with
// room, which are then listed once for all tasks of the job.
type search struct {
	scheduler *Scheduler
	job       *workload.Job
	request   *placement.Request
	pass      *Pass
	zones     *ZoneSpread
	classes   []*capacity.Class // that the request may use
	open      int               // nodes with capacity left in them
	// avoidAccelerators passes over machines with accelerators unless preempting others makes no room
	// elsewhere.
	avoidAccelerators bool

	exhaustive bool        // all candidates were listed
	candidates []candidate // best first
	passedOver []candidate // of the last look at the list, kept for its space
}

// candidate is a machine that a task may go to; lower scores are better.
type candidate struct {
	node    *capacity.Node
	machine *worker.Machine
	score   float64
}

// newSearch begins a search. It is exhausted at once if an earlier job of the pass found nothing.
func (s *Scheduler) newSearch(job *workload.Job, request *placement.Request, pass *Pass) *search {
	found := &search{scheduler: s, job: job, request: request, pass: pass, zones: ZoneSpreadOf(job, s.Machines),
		avoidAccelerators: request.LongRunning && request.Resources.Accels == 0}
	if covered(pass.noCapacity[placementKeyOf(request)], request.Resources) {
		found.exhaustive = true
		return found
	}
	found.selectClasses()
	return found
}

// selectClasses picks the instance classes that the request may use.
func (s *search) selectClasses() {
	s.classes, s.open = s.classes[:0], 0
	for _, class := range s.scheduler.Capacity.Classes() {
		if len(class.Open) == 0 || s.avoidAccelerators && class.Offer.Accels > 0 ||
			!s.request.Allows(class.Type, class.Zone, class.Spot) || !class.Offer.Capacity().Holds(s.request.Resources) {
			continue
		}
		s.classes = append(s.classes, class)
		s.open += len(class.Open)
	}
}

// evaluate scores a machine, or tells that the task can't go there now; room tells whether at least
// there is room.
func (s *search) evaluate(node *capacity.Node, retry *workload.Retry) (found candidate, ok, room bool) {
	s.pass.machinesExamined++
	if !node.Class.Offer.Capacity().Minus(node.Used).Holds(s.request.Resources) {
		return found, false, false
	}
	machine, usable := s.scheduler.Capacity.UsableMachine(node, s.pass.now, s.scheduler.reportInterval())
	if !usable {
		return found, false, false
	}
	view := s.scheduler.View(node, machine, s.job, retry, s.pass.now)
	leaving := view.ScalingIn && (s.request.Resources.Accels == 0 || view.Type.Accels == 0)
	if view.Reserved || leaving || s.zones.Allowed(machine.Zone, 1) == 0 {
		return found, false, true
	}
	return candidate{node, machine, placement.Score(&view, s.request)}, true, true
}

// pick finds a machine for one more task, nil if there is none.
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
		if !s.avoidAccelerators || s.scheduler.canPreemptWithoutAccelerators(s.job, s.request, s.pass) {
			return nil
		}
		// A service would hold a machine with accelerators for good: it goes there only if preempting
		// others makes no room elsewhere either.
		s.avoidAccelerators = false
		s.selectClasses()
		s.listAll()
	}
}

// sample looks at a few machines only.
func (s *search) sample(retry *workload.Retry) *capacity.Node {
	if s.open == 0 {
		return nil
	}
	var top candidate
	for range int(s.scheduler.Settings.Operator.SampleMachines) {
		if node := s.nthOpen(s.scheduler.rng.IntN(s.open)); node != nil {
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

// nthOpen is the nth of the nodes with capacity left; nil beyond the last one: the task assigned before
// this one may have filled a node since they were counted.
func (s *search) nthOpen(n int) *capacity.Node {
	for _, class := range s.classes {
		if n < len(class.Open) {
			return class.Open[n]
		}
		n -= len(class.Open)
	}
	return nil
}

// countOpen follows what was assigned meanwhile.
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
			found, ok, room := s.evaluate(node, nil)
			anyRoom = anyRoom || room
			if ok {
				s.candidates = append(s.candidates, found)
			}
		}
	}
	if !anyRoom && !s.avoidAccelerators {
		key := placementKeyOf(s.request)
		s.pass.noCapacity[key] = append(s.pass.noCapacity[key], s.request.Resources)
	}
	slices.SortFunc(s.candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.score, y.score), cmp.Compare(x.node.Name, y.node.Name))
	})
}

// best takes the first of the list that still fits; those on which this very task failed before come
// last. It costs what it passes over, and not the list.
func (s *search) best(retry *workload.Retry) *capacity.Node {
	var avoided *capacity.Node
	passedOver := s.passedOver[:0]
	for i, found := range s.candidates {
		if found.node.Class == nil || !found.node.Free().Holds(s.request.Resources) {
			continue // full now, so it leaves the list
		}
		if s.fits(found) {
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

// fits tells whether a machine with enough room is free for this job.
func (s *search) fits(found candidate) bool {
	if s.zones.Allowed(found.machine.Zone, 1) == 0 {
		return false
	}
	return !s.scheduler.reservedForOther(found.node.Name, found.node.Free(), s.job, s.pass.now)
}

// View is how placement sees a node for a task of a job.
func (s *Scheduler) View(node *capacity.Node, machine *worker.Machine, job *workload.Job, retry *workload.Retry, now time.Time) placement.Candidate {
	spec := &job.Record.Spec
	view := placement.Candidate{Name: node.Name, Type: node.Class.Offer, Zone: machine.Zone, Spot: machine.Spot, ScalingIn: machine.DeleteWhenEmpty,
		Free: node.Free(), OtherPulls: len(node.ImagePulls)}
	view.ImageCached = machine.Images.Has(spec.Image)
	view.ImageExpected = view.ImageCached || node.ImagePulls[spec.Image] != nil
	for image, pull := range node.ImagePulls {
		cached := machine.Images.Has(image)
		if pull.TopPriority >= record.High && pull.TopPriority > job.EffectivePriority() && !cached {
			view.PullsForHigherPriority = true
		}
		if cached {
			view.OtherPulls--
		}
	}
	view.Reserved = s.reservedForOther(node.Name, view.Free, job, now)
	view.FailedBefore = retry != nil && retry.Avoid[node.Name]
	return view
}
