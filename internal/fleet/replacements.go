package fleet

import (
	"context"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/placement"
)

// provisionReplacements requests the replacements of machines that rollouts return. The rollout chooses the
// names of these requests and stores them, so that a new leader sends the same requests.
func (p *Provisioner) provisionReplacements(ctx context.Context, now time.Time) {
	for _, replacement := range p.Cluster.ReplacementsToProvision() {
		kind := replacement.Class
		if p.requests.isOutstanding(replacement.Name) || p.isRefused(offer{kind.Type, kind.Zone, kind.Spot}, now) {
			continue
		}
		wanted := placement.ProvisioningRequest{Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot, Count: replacement.Count}
		p.storeAndSend(ctx, newRequest(replacement.Name, wanted))
	}
}
