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
		class := replacement.Class
		if p.requests.isOutstanding(replacement.Name) || p.isRefused(offer{class.Type, class.Zone, class.Spot}, now) {
			continue
		}
		wanted := placement.ProvisioningRequest{Type: class.Type, Zone: class.Zone, Spot: class.Spot, Count: replacement.Count}
		p.storeAndSend(ctx, newRequest(replacement.Name, wanted))
	}
}
