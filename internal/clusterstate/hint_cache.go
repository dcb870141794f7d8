package clusterstate

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// wholeHintsInterval is after how long all hints are asked for again, since machines that went away
// are not named.
const wholeHintsInterval = 20 * time.Second

// HintCache is what the last leader told of its machines, kept for the case that this
// node leads next. Its owner guards it by a lock.
type HintCache struct {
	hints    map[ids.Machine]receivedHint
	received HintPosition
}

// receivedHint is a hint with, by this node's clock, when the machine was provisioned.
type receivedHint struct {
	Hint
	provisionedAt time.Time
}

// Receive takes in a leader's hints and how far in them they go; those of an earlier leader are
// passed over.
func (c *HintCache) Receive(hints []Hint, to HintPosition) {
	if to.Generation < c.received.Generation {
		return
	}
	if to.Complete || c.hints == nil {
		c.hints = map[ids.Machine]receivedHint{}
	}
	now := time.Now()
	for _, hint := range hints {
		c.hints[hint.Name] = receivedHint{hint, now.Add(-hint.ProvisionedFor)}
	}
	to.ReceivedAt = c.received.ReceivedAt
	if to.Complete {
		to.ReceivedAt = now
	}
	c.received = to
}

// Position is what to ask a leader's hints from.
func (c *HintCache) Position() HintPosition {
	if time.Since(c.received.ReceivedAt) > wholeHintsInterval {
		return HintPosition{}
	}
	return c.received
}
