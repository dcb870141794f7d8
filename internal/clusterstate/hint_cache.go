package clusterstate

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// completeHintsInterval is the interval at which all hints are requested again, since changed hints do not
// name machines that are gone.
const completeHintsInterval = 20 * time.Second

// HintCache holds the hints that the last leader sent about its machines, for use if this node becomes the
// next leader. Its owner guards it with a lock.
type HintCache struct {
	hints    map[ids.Machine]receivedHint
	received HintPosition
}

// receivedHint is a hint with the time at which the machine was provisioned, by this node's clock.
type receivedHint struct {
	Hint
	provisionedAt time.Time
}

// Receive records a leader's hints and the position that they reach. It ignores hints of
// leaders before the last one.
func (c *HintCache) Receive(hints []Hint, position HintPosition) {
	if position.Generation < c.received.Generation {
		return
	}
	if position.Complete || c.hints == nil {
		c.hints = map[ids.Machine]receivedHint{}
	}
	now := time.Now()
	for _, hint := range hints {
		c.hints[hint.Name] = receivedHint{hint, now.Add(-hint.ProvisionedFor)}
	}
	position.ReceivedAt = c.received.ReceivedAt
	if position.Complete {
		position.ReceivedAt = now
	}
	c.received = position
}

// Position returns the position from which to request a leader's hints.
func (c *HintCache) Position() HintPosition {
	if time.Since(c.received.ReceivedAt) > completeHintsInterval {
		return HintPosition{}
	}
	return c.received
}
