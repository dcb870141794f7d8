package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Transfer lets another controller make changes in this one's stead, if it can spare them.
// Controllers of version 0.1.0 do not know this call; they give nothing.
func (s *Service) Transfer(in *TransferRequest, out *TransferReply) error {
	if s.link.store.Budget().TransferOut(in.Changes) {
		out.Changes = in.Changes
	}
	return nil
}

// requestTransfer asks the controllers that count as up, one after the other in no fixed order, until
// one gives as many changes as are wanted.
func (l *Link) requestTransfer(ctx context.Context, changes int) bool {
	for _, i := range rand.Perm(len(l.settings.Peers)) {
		node := l.settings.Peers[i].HostName
		if ctx.Err() != nil {
			return false
		}
		if !l.health.of(node).recent() {
			continue
		}
		var answer TransferReply
		err := l.connections.call(ctx, node, "Transfer", &TransferRequest{changes}, &answer)
		if err == nil && answer.Changes >= changes {
			return true
		}
	}
	return false
}

const (
	// demandInterval is how long a demand is valid: a little less than greetInterval, so that each
	// round of health reports has its own.
	demandInterval = 900 * time.Millisecond
	// demandFactor is how many times its share of the demand each of the others is asked for.
	demandFactor = 2
)

// tokenDemand is how many changes a second a node lacks, as it asks each of the others for them.
type tokenDemand struct {
	// mu guards the fields below. The budget's lock is taken under it, never the reverse.
	mu      sync.Mutex
	perPeer float64
	at      time.Time
}

// wantedTokens is how many changes a second this node asks each of the others for now.
func (l *Link) wantedTokens() float64 {
	l.demand.mu.Lock()
	defer l.demand.mu.Unlock()
	if time.Since(l.demand.at) > demandInterval {
		l.demand.at = time.Now()
		l.demand.perPeer = demandFactor * l.store.Budget().UnmetDemand() / float64(len(l.settings.Peers))
	}
	return l.demand.perPeer
}
