package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Transfer gives another controller a number of state service changes from this node's budget, if the
// budget allows it. Controllers of version 0.1.0 lack this method, so requests to them transfer nothing.
func (s *Service) Transfer(in *TransferRequest, out *TransferReply) error {
	if s.link.store.Budget().GiveTokens(in.Changes) {
		out.Changes = in.Changes
	}
	return nil
}

// requestTransfer asks the controllers that count as up, one after the other in random order, until one
// transfers the requested number of changes. It reports whether one did.
func (l *Link) requestTransfer(ctx context.Context, changes int) bool {
	for _, i := range rand.Perm(len(l.settings.Peers)) {
		node := l.settings.Peers[i].HostName
		if ctx.Err() != nil {
			return false
		}
		if !l.health.lastReport(node).isUp() {
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
	// demandValidity is how long a computed demand is reused. It is slightly less than
	// healthReportInterval, so that the demand is recomputed for each round of health reports.
	demandValidity = 900 * time.Millisecond
	// demandFactor multiplies the share of the demand that is requested from each of the other controllers.
	demandFactor = 2
)

// tokenDemand is the rate of changes, per second, that this node requests from each other controller.
type tokenDemand struct {
	// mu guards the fields below. The lock of state.Budget may be taken under mu, never the reverse.
	mu         sync.Mutex
	perPeer    float64
	computedAt time.Time
}

// requestedTokens returns the rate of changes, per second, that this node now requests from each other
// controller.
func (l *Link) requestedTokens() float64 {
	l.demand.mu.Lock()
	defer l.demand.mu.Unlock()
	if time.Since(l.demand.computedAt) > demandValidity {
		l.demand.computedAt = time.Now()
		l.demand.perPeer = demandFactor * l.store.Budget().UnmetDemand() / float64(len(l.settings.Peers))
	}
	return l.demand.perPeer
}
