package clusterstate

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// Hint describes a machine to the other controllers, so that the next leader need not find out the same
// again. Hints only save time: nothing depends on them for correctness.
type Hint struct {
	Name        ids.Machine
	Address     string
	Type        string
	Zone        string
	Spot        bool
	Incarnation ids.Incarnation
	Images      worker.Images
	// Booting is set if the machine was provisioned ProvisionedFor ago and is not up yet. The cloud's list
	// lags, so a new leader that does not know of the machine would provision another one.
	Booting        bool
	ProvisionedFor time.Duration
}

// HintPosition is a position in the sequence of a leader's hints.
type HintPosition struct {
	Generation ids.Generation
	Sequence   uint64
	Complete   bool // the hints sent with the position are complete, not only the changed ones
	ReceivedAt time.Time
}

// markHintChanged records that the hint of a machine changed.
func (c *State) markHintChanged(machine *worker.Machine) {
	c.hintSequence++
	machine.HintSequence = c.hintSequence
}

// Hints returns the hints that changed since a position, and the position after them. If the given position
// is not of this term, it returns all hints.
func (c *State) Hints(since HintPosition) (hints []Hint, position HintPosition) {
	c.mu.Lock()
	defer c.mu.Unlock()
	position = HintPosition{Generation: c.firstToken, Sequence: c.hintSequence, Complete: since.Generation != c.firstToken}
	if position.Complete {
		since.Sequence = 0
	}
	for _, machine := range c.machines.Machines {
		if (machine.HasReported || machine.Booting) && !machine.Deleting && machine.HintSequence > since.Sequence {
			hints = append(hints, Hint{machine.Name, machine.Addr, machine.Type, machine.Zone, machine.Spot, machine.Incarnation, machine.Images.Copy(), !machine.HasReported, time.Since(machine.ProvisionedAt)})
		}
	}
	return hints, position
}

// ApplyHints applies the hints of an earlier leader to machines that have not reported to this one.
func (c *State) ApplyHints(cache *HintCache, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, hint := range cache.hints {
		machine := c.machines.Ensure(hint.Name, now, c.earliestLeaseExpiry)
		if machine.HasReported {
			continue
		}
		machine.Addr, machine.Type, machine.Zone, machine.Spot, machine.HintedIncarnation = hint.Address, hint.Type, hint.Zone, hint.Spot, hint.Incarnation
		machine.Images = hint.Images
		if hint.Booting {
			machine.Booting, machine.ProvisionedAt = true, hint.provisionedAt
		}
		for _, image := range hint.Images.Names {
			c.capacity.AddImage(c.capacity.Ensure(hint.Name), image)
		}
	}
}
