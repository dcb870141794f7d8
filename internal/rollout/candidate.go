package rollout

import (
	"cmp"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// candidate is a machine that may be added to the next wave.
type candidate struct {
	name    ids.Machine
	part    int // index of the part of the waiting machines that contains the machine
	machine MachineInfo
	cost    DrainCost
}

// sortCandidates sorts machines in place into the greedy order in which waves take them and returns them:
// unblocked machines first, then by the number of drain steps and of tasks to move, fewest first. Each wave
// thereby empties as many machines as possible per disruption.
func sortCandidates(candidates []candidate) []candidate {
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(
			cmp.Compare(min(len(x.cost.Blocked), 1), min(len(y.cost.Blocked), 1)),
			cmp.Compare(x.cost.Steps, y.cost.Steps),
			cmp.Compare(x.machine.TaskCount, y.machine.TaskCount),
			cmp.Compare(x.name, y.name))
	})
	return candidates
}
