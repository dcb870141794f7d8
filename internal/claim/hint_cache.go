package claim

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// ReceiveHints keeps a leader's hints for the case that this node comes next.
func (e *Elector) ReceiveHints(hs []Hint, to HintPosition) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.term != nil || to.Gen < e.hintsReceived.Gen {
		return
	}
	if to.Whole || e.hints == nil {
		e.hints = map[ids.Machine]Hint{}
	}
	for _, h := range hs {
		h.RentedAt = time.Now().Add(-h.Held)
		e.hints[h.Name] = h
	}
	if to.Whole {
		to.At = time.Now()
	} else {
		to.At = e.hintsReceived.At
	}
	e.hintsReceived = to
}

// HintPosition is what to ask a leader's hints from; all of them now and then, since
// machines that went away are not named.
func (e *Elector) HintPosition() HintPosition {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.hintsReceived.At) > 20*time.Second {
		return HintPosition{}
	}
	return e.hintsReceived
}
