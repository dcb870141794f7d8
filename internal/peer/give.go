package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Wanted asks for changes of the state service to make at once.
type Wanted struct{ Changes int }

// Given tells how many the other controller will not make itself.
type Given struct{ Changes int }

// Give lets another controller make changes in this one's place, if it can spare them.
// A controller of an earlier version does not know this call and gives nothing.
func (s *Service) Give(w *Wanted, out *Given) error {
	if s.link.state.Budget().Give(w.Changes) {
		out.Changes = w.Changes
	}
	return nil
}

// askForChanges asks the controllers that were heard lately, one after the other in no fixed
// order, until one gives as many changes as are wanted.
func (l *Link) askForChanges(ctx context.Context, changes int) bool {
	for _, i := range rand.Perm(len(l.set.Others)) {
		node := l.set.Others[i].HostName
		if ctx.Err() != nil {
			return false
		}
		if !l.heard(node) {
			continue
		}
		var out Given
		if err := l.call(ctx, node, "Give", &Wanted{changes}, &out); err == nil && out.Changes >= changes {
			return true
		}
	}
	return false
}

// heard tells whether another controller has been heard lately.
func (l *Link) heard(node ids.Node) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.seen[node].at) < 3*time.Second
}
