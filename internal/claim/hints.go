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
	Session ids.Session
	Images  worker.Images
	// Coming tells that it is rented and not up yet, since Held ago. The cloud's
	// list lags, and a new leader that knows nothing of it would rent another.
	Coming bool
	Held   time.Duration

	RentedAt time.Time // the same by this node's clock, once it was heard
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
	machine.HintSeq = c.hintSequence
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
		if (machine.Heard || machine.Booting) && !machine.Deleting && machine.HintSeq > since.Seq {
			out = append(out, Hint{machine.Name, machine.Addr, machine.Type, machine.Zone, machine.Spot, machine.Session, machine.Images.Copy(), !machine.Heard, time.Since(machine.HeldSince), time.Time{}})
		}
	}
	return out, to
}

// ApplyHints takes hints of an earlier leader.
func (c *ClusterState) ApplyHints(hs map[ids.Machine]Hint, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range hs {
		machine := c.machines.Ensure(h.Name, now, c.trustSilence)
		if !machine.Heard {
			machine.Addr, machine.Type, machine.Zone, machine.Spot, machine.Hinted = h.Addr, h.Type, h.Zone, h.Spot, h.Session
			machine.Images = h.Images
			if h.Coming {
				machine.Booting, machine.HeldSince = true, h.RentedAt
			}
			for _, n := range h.Images.Names {
				c.capacity.AddImage(c.capacity.Ensure(h.Name), n)
			}
		}
	}
}
