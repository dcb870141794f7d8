package clusterstate

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// Hint is what a leader tells the others of a machine, so that the next leader
// need not find it out again. Nothing rests on it but time.
type Hint struct {
	Name        ids.Machine
	Address     string
	Type        string
	Zone        string
	Spot        bool
	Incarnation ids.Incarnation
	Images      worker.Images
	// Booting tells that it is provisioned and not up yet, since RentedFor ago. The cloud's
	// list lags, and a new leader that knows nothing of it would provision another.
	Booting        bool
	ProvisionedFor time.Duration
}

// HintPosition is how far in a leader's hints somebody is.
type HintPosition struct {
	Generation ids.Generation
	Sequence   uint64
	Complete   bool // the hints that come with it are all there are
	ReceivedAt time.Time
}

// markHintChanged notes that what the others should know of a machine changed.
func (c *State) markHintChanged(machine *worker.Machine) {
	c.hintSequence++
	machine.HintSequence = c.hintSequence
}

// Hints lists the machines of which something changed since a position, or
// all if it is not this leader's.
func (c *State) Hints(since HintPosition) (hints []Hint, to HintPosition) {
	c.mu.Lock()
	defer c.mu.Unlock()
	to = HintPosition{Generation: c.firstGeneration, Sequence: c.hintSequence, Complete: since.Generation != c.firstGeneration}
	if to.Complete {
		since.Sequence = 0
	}
	for _, machine := range c.machines.Machines {
		if (machine.HasReported || machine.Booting) && !machine.Deleting && machine.HintSequence > since.Sequence {
			hints = append(hints, Hint{machine.Name, machine.Addr, machine.Type, machine.Zone, machine.Spot, machine.Incarnation, machine.Images.Copy(), !machine.HasReported, time.Since(machine.ProvisionedAt)})
		}
	}
	return hints, to
}

// ApplyHints takes in what an earlier leader told of machines that have not reported to this one.
func (c *State) ApplyHints(cache *HintCache, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, hint := range cache.hints {
		machine := c.machines.Ensure(hint.Name, now, c.trustSilence)
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
