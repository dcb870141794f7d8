package fleet

import (
	"context"
	"slices"
	"time"
)

// rentReplacements asks for the machines that rollouts want in place of others. Their hires are
// named by the rollout and stored with it, so that a new leader sends the same ones.
func (p *Provisioner) rentReplacements(ctx context.Context, now time.Time) {
	for _, request := range p.Cluster.DrainProvisioning() {
		waits := slices.ContainsFunc(append(slices.Clone(p.open), p.unsure...), func(in Intent) bool { return in.Name == request.Name })
		kind := request.Kind
		if waits || p.refused[offer{kind.Type, kind.Zone, kind.Spot}].After(now) {
			continue
		}
		in := Intent{Name: request.Name, Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot, Count: request.Count}
		if p.storeIntent(ctx, in) {
			p.send(ctx, in)
		}
	}
}
