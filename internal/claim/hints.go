package claim

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// Hint is what a leader tells the others of a machine, so that the next leader
// need not find it out again. Nothing rests on it but time.
type Hint struct {
	Name    ids.Machine
	Addr    string
	Type    string
	Zone    string
	Spot    bool
	Session ids.Incarnation
	Images  worker.Images
	// Coming tells that it is rented and not up yet, since Held ago. The cloud's
	// list lags, and a new leader that knows nothing of it would rent another.
	Coming bool
	Held   time.Duration
}

// HintPosition is how far in a leader's hints somebody is.
type HintPosition struct {
	Gen   ids.Generation
	Seq   uint64
	Whole bool // the hints that come with it are all there are
	At    time.Time
}

// markHintChanged notes that what the others should know of a machine changed.
func (c *ClusterState) markHintChanged(machine *worker.Machine) {
	c.hintSequence++
	machine.HintSequence = c.hintSequence
}

// Hints lists the machines heard of which something changed since a mark, or
// all if it is not this leader's.
func (c *ClusterState) Hints(since HintPosition) (out []Hint, to HintPosition) {
	c.mu.Lock()
	defer c.mu.Unlock()
	to = HintPosition{Gen: c.firstGeneration, Seq: c.hintSequence, Whole: since.Gen != c.firstGeneration}
	if to.Whole {
		since.Seq = 0
	}
	for _, machine := range c.machines.Machines {
		if (machine.HasReported || machine.Booting) && !machine.Deleting && machine.HintSequence > since.Seq {
			out = append(out, Hint{machine.Name, machine.Addr, machine.Type, machine.Zone, machine.Spot, machine.Incarnation, machine.Images.Copy(), !machine.HasReported, time.Since(machine.ProvisionedAt)})
		}
	}
	return out, to
}

// ApplyHints takes in what an earlier leader told of machines that this one has not heard of.
func (c *ClusterState) ApplyHints(cache *HintCache, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, hint := range cache.hints {
		machine := c.machines.Ensure(hint.Name, now, c.trustSilence)
		if machine.HasReported {
			continue
		}
		machine.Addr, machine.Type, machine.Zone, machine.Spot, machine.HintedIncarnation = hint.Addr, hint.Type, hint.Zone, hint.Spot, hint.Session
		machine.Images = hint.Images
		if hint.Coming {
			machine.Booting, machine.ProvisionedAt = true, hint.rentedAt
		}
		for _, image := range hint.Images.Names {
			c.capacity.AddImage(c.capacity.Ensure(hint.Name), image)
		}
	}
}
