package fleet

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// listing is how far the machine list has been read.
type listing struct {
	complete bool // it was read to its end at least once
	reading  bool
	began    time.Time   // when its first page was asked for
	after    ids.Machine // the last machine read so far
}

// readList reads the machine list, which a large fleet spreads over many pages. Before it was read
// to its end once nothing is provisioned, so all pages are read at once. Later it takes only the
// calls that requests and deletions leave, over as many steps as that needs: thousands of machines
// would otherwise hold up each request for as long as all the pages take.
func (p *Provisioner) readList(ctx context.Context, now time.Time) {
	if !p.list.reading {
		if !p.list.began.IsZero() && now.Sub(p.list.began) <= p.ListInterval {
			return
		}
		p.list.reading, p.list.began, p.list.after = true, now, ""
	}
	for p.list.reading && (!p.list.complete || p.Cloud.hasSpareCalls()) {
		page, more, err := p.Cloud.listPage(ctx, p.list.after)
		if err != nil {
			slog.Debug("machine list not read", "after", p.list.after, "err", err)
			return // goes on from here in the next step
		}
		p.Cluster.ReconcileCloudList(p.ownedOf(page), time.Now())
		if more {
			p.list.after = page[len(page)-1].Name
			continue
		}
		p.list.reading, p.list.complete = false, true
		p.Cluster.CloudListRead(p.list.began)
	}
}

// ownedOf keeps of a page of the machine list what belongs to this shard.
func (p *Provisioner) ownedOf(page []clusterstate.ListedMachine) []clusterstate.ListedMachine {
	if p.Owns == nil {
		return page
	}
	return slices.DeleteFunc(slices.Clone(page), func(machine clusterstate.ListedMachine) bool { return !p.Owns(machine.Name) })
}
