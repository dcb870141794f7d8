package claim

import (
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/capacity"

	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// candidateSearch finds machines for the tasks of one job in one pass. Each task goes
// to the best fit among a few sampled machines; a sample that shows none with
// room and the image widens to all with room, which are then listed once for
// all tasks of the job.
type candidateSearch struct {
	cluster           *ClusterState
	job               *workload.Job
	request           *placement.Ask
	pass              *planningPass
	zones             *zoneSpread
	classes           []*capacity.Class
	total             int
	avoidAccelerators bool // machines with accelerators only if stopping others makes no room elsewhere

	exhaustive bool
	candidates []candidate // best first
	// passedOver is what the last look at the list passed over and kept.
	passedOver []candidate
}

type candidate struct {
	node    *capacity.Node
	machine *worker.Machine
	score   float64
}

func (c *ClusterState) newSearch(job *workload.Job, request *placement.Ask, pass *planningPass) *candidateSearch {
	search := &candidateSearch{cluster: c, job: job, request: request, pass: pass, zones: c.zoneSpreadOf(job), avoidAccelerators: request.Long && request.Need.Accels == 0}
	if covered(pass.noCapacity[placementKeyOf(request)], request.Need) {
		search.exhaustive = true // an earlier job of this pass found none
	} else {
		search.selectClasses()
	}
	return search
}

// selectClasses picks the kinds of machines that the ask may use.
func (s *candidateSearch) selectClasses() {
	s.classes, s.total = s.classes[:0], 0
	for _, class := range s.cluster.capacity.Classes() {
		if len(class.Open) == 0 || s.avoidAccelerators && class.Offer.Accels > 0 || !s.request.Allows(class.Type, class.Zone, class.Spot) || !class.Offer.Room().Holds(s.request.Need) {
			continue
		}
		s.classes = append(s.classes, class)
		s.total += len(class.Open)
	}
}

// evaluate scores a machine, or tells that the task can't go there now; room tells
// whether at least there is room.
func (s *candidateSearch) evaluate(node *capacity.Node, retry *workload.Retry) (found candidate, ok, room bool) {
	s.pass.machinesExamined++
	if !node.Class.Offer.Room().Minus(node.Used).Holds(s.request.Need) {
		return found, false, false
	}
	machine, usable := s.cluster.capacity.UsableMachine(node, s.pass.now, s.cluster.settings.Params.Workers.ReportS)
	if !usable {
		return found, false, false
	}
	p := s.cluster.placementView(node, machine, s.job, retry, s.pass.now)
	if p.Held || p.Going && (s.request.Need.Accels == 0 || p.Type.Accels == 0) || s.zones.allowed(machine.Zone, 1) == 0 {
		return found, false, true
	}
	return candidate{node, machine, placement.Score(&p, s.request)}, true, true
}

// pick finds a machine for one more task, nil if there is none.
func (s *candidateSearch) pick(retry *workload.Retry) *capacity.Node {
	if !s.exhaustive {
		if node := s.sample(retry); node != nil {
			return node
		}
		s.searchAll()
	}
	for {
		if node := s.best(retry); node != nil {
			return node
		}
		if !s.avoidAccelerators || s.cluster.canPreemptWithoutAccelerators(s.job, s.request, s.pass) {
			return nil
		}
		// A service would hold a machine with accelerators for good: it goes
		// there only if stopping others makes no room elsewhere either.
		s.avoidAccelerators = false
		s.selectClasses()
		s.searchAll()
	}
}

// sample looks at a few machines only.
func (s *candidateSearch) sample(retry *workload.Retry) *capacity.Node {
	if s.total == 0 {
		return nil
	}
	var top candidate
	for range int(s.cluster.settings.Own.SampleMachines) {
		n := s.cluster.rng.IntN(s.total)
		for _, class := range s.classes {
			if n >= len(class.Open) {
				n -= len(class.Open)
				continue
			}
			if found, ok, _ := s.evaluate(class.Open[n], retry); ok && (top.node == nil || found.score < top.score) {
				top = found
			}
			break
		}
		s.recount()
		if s.total == 0 {
			break
		}
	}
	if top.node == nil || retry != nil && retry.Avoid[top.node.Name] || !top.machine.Images.Has(s.request.Image) && (s.request.Long || top.node.ImagePulls[s.request.Image] == nil) {
		return nil
	}
	return top.node
}

// recount follows what was placed meanwhile.
func (s *candidateSearch) recount() {
	s.total = 0
	for _, class := range s.classes {
		s.total += len(class.Open)
	}
}

// searchAll lists all machines with room, best first.
func (s *candidateSearch) searchAll() {
	s.exhaustive, s.candidates = true, s.candidates[:0]
	any := false
	for _, class := range s.classes {
		for _, node := range class.Open {
			found, ok, room := s.evaluate(node, nil)
			any = any || room
			if ok {
				s.candidates = append(s.candidates, found)
			}
		}
	}
	if !any && !s.avoidAccelerators {
		k := placementKeyOf(s.request)
		s.pass.noCapacity[k] = append(s.pass.noCapacity[k], s.request.Need)
	}
	slices.SortFunc(s.candidates, func(x, y candidate) int {
		switch {
		case x.score < y.score:
			return -1
		case x.score > y.score:
			return 1
		}
		return cmpString(string(x.node.Name), string(y.node.Name))
	})
}

// best takes the first of the list that still fits; those on which this very
// task failed before come last. It costs what it passes over, and not the list.
func (s *candidateSearch) best(retry *workload.Retry) *capacity.Node {
	var avoided *capacity.Node
	passedOver := s.passedOver[:0]
	for i, found := range s.candidates {
		if found.node.Class == nil || !found.node.Free().Holds(s.request.Need) {
			continue // full now, so it leaves the list
		}
		if s.fits(found) {
			if retry == nil || !retry.Avoid[found.node.Name] {
				copy(s.candidates[i-len(passedOver):], passedOver)
				s.candidates, s.passedOver = s.candidates[i-len(passedOver):], passedOver
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
func (s *candidateSearch) fits(found candidate) bool {
	if s.zones.allowed(found.machine.Zone, 1) == 0 {
		return false
	}
	machine := placement.Machine{Name: found.node.Name, Free: found.node.Free()}
	return !s.cluster.reservedForOther(&machine, s.job, s.pass.now)
}
