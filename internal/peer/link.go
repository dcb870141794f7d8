package peer

import (
	"context"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/election"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// Link is this controller's side of the exchange with the others. Its methods may be called from any
// goroutine. It has no lock of its own; connections, peerHealth and tokenDemand each have one.
type Link struct {
	settings    *config.Settings
	shards      *election.Shards
	store       *state.Client
	connections *connections
	health      peerHealth
	demand      tokenDemand
}

// NewLink makes the link. It answers others once Serve is called, and sends them health reports once
// Run is.
func NewLink(settings *config.Settings, shards *election.Shards, store *state.Client) *Link {
	link := &Link{settings: settings, shards: shards, store: store, connections: newConnections(settings)}
	if store != nil {
		store.Budget().SetTransferSource(link.requestTransfer)
	}
	return link
}

// greetInterval is the pause between two health reports to a controller.
const greetInterval = time.Second

// Run starts to send health reports to each of the other controllers, and returns. The goroutines,
// one for each, end with the context; nobody waits for them.
func (l *Link) Run(ctx context.Context) {
	for _, other := range l.settings.Peers {
		go l.greetRepeatedly(ctx, other.HostName)
	}
}

// greetRepeatedly sends health reports to one controller until the context ends.
func (l *Link) greetRepeatedly(ctx context.Context, node ids.Node) {
	for ctx.Err() == nil {
		l.greet(ctx, node)
		select {
		case <-ctx.Done():
		case <-time.After(greetInterval):
		}
	}
}

// Service is what a controller does for the others. Its methods are the calls that net/rpc serves.
type Service struct{ link *Link }
