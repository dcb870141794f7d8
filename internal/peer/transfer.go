package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// TransferRequest asks for changes of the state service to make at once.
type TransferRequest struct{ Changes int }

// TransferReply tells how many the other controller will not make itself.
type TransferReply struct{ Changes int }

// Transfer lets another controller make changes in this one's place, if it can spare them.
// Controllers of version 0.1.0 do not know this call; they give nothing.
func (s *Service) Transfer(w *TransferRequest, out *TransferReply) error {
	if s.link.state.Budget().TransferOut(w.Changes) {
		out.Changes = w.Changes
	}
	return nil
}

// requestTransfer asks the controllers that were heard lately, one after the other in no fixed
// order, until one gives as many changes as are wanted.
func (l *Link) requestTransfer(ctx context.Context, changes int) bool {
	for _, i := range rand.Perm(len(l.set.Others)) {
		node := l.set.Others[i].HostName
		if ctx.Err() != nil {
			return false
		}
		if !l.heard(node) {
			continue
		}
		var out TransferReply
		if err := l.call(ctx, node, "Transfer", &TransferRequest{changes}, &out); err == nil && out.Changes >= changes {
			return true
		}
	}
	return false
}

// heard tells whether another controller has been heard lately.
func (l *Link) heard(node ids.Node) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.seen[node].at) < heardWithin
}
