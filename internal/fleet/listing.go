package fleet

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// listing is the progress of reading the machine list.
type listing struct {
	complete bool // the list was read to its end at least once
	reading  bool
	began    time.Time   // when the first page was requested
	after    ids.Machine // the last machine read so far
}

// readList reads the machine list, which has many pages for a large fleet. Nothing is provisioned before
// the list has been read to its end once, so the first time all pages are read in one step. Later the
// list is read over several steps, only with calls that requests and deletions leave spare: with
// thousands of machines, each request would otherwise wait until all pages are read.
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
			slog.Debug("failed to read a page of the machine list", "after", p.list.after, "err", err)
			return // the next step continues with this page
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

// ownedOf returns the machines of a page that belong to this shard.
func (p *Provisioner) ownedOf(page []clusterstate.ListedMachine) []clusterstate.ListedMachine {
	if p.Owns == nil {
		return page
	}
	return slices.DeleteFunc(slices.Clone(page), func(machine clusterstate.ListedMachine) bool { return !p.Owns(machine.Name) })
}
