package peer

import (
	"context"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/election"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// Link communicates with the other controllers. Its methods are safe for concurrent use. It has no lock
// of its own; connections, peerHealth and tokenDemand each have one.
type Link struct {
	settings    *config.Settings
	shards      *election.Shards
	store       *state.Client
	connections *connections
	health      peerHealth
	demand      tokenDemand
}

// NewLink returns a Link. It answers calls of other controllers once Serve is called, and sends them
// health reports once Run is called.
func NewLink(settings *config.Settings, shards *election.Shards, store *state.Client) *Link {
	link := &Link{settings: settings, shards: shards, store: store, connections: newConnections(settings)}
	if store != nil {
		store.Budget().SetTransferSource(link.requestTransfer)
	}
	return link
}

// healthReportInterval is the pause between two health reports to the same controller.
const healthReportInterval = time.Second

// Run starts one goroutine per other controller to send it health reports, and returns. The goroutines
// end with the context; no caller waits for them.
func (l *Link) Run(ctx context.Context) {
	for _, other := range l.settings.Peers {
		go l.sendHealthReports(ctx, other.HostName)
	}
}

// sendHealthReports sends health reports to one controller until the context ends.
func (l *Link) sendHealthReports(ctx context.Context, node ids.Node) {
	for ctx.Err() == nil {
		l.exchangeHealthReports(ctx, node)
		select {
		case <-ctx.Done():
		case <-time.After(healthReportInterval):
		}
	}
}

// Service is the net/rpc receiver whose methods the other controllers call.
type Service struct{ link *Link }
