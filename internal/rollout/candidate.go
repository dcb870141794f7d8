package rollout

import (
	"cmp"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// candidate is a machine that may be taken into the next wave.
type candidate struct {
	name    ids.Machine
	part    int // of the waiting machines
	machine Machine
	weight  DrainCost
}

// sortCandidates puts machines in the order in which waves take them, greedily: those that nothing
// blocks first, of these the ones with the least to move, so that each wave frees the most for
// what it disrupts.
func sortCandidates(candidates []candidate) []candidate {
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(
			cmp.Compare(min(len(x.weight.Blocked), 1), min(len(y.weight.Blocked), 1)),
			cmp.Compare(x.weight.Steps, y.weight.Steps),
			cmp.Compare(x.machine.Tasks, y.machine.Tasks),
			cmp.Compare(x.name, y.name))
	})
	return candidates
}
