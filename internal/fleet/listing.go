package fleet

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// machineListProgress is the progress of reading the machine list.
type machineListProgress struct {
	complete  bool // the list was read to its end at least once
	reading   bool
	startedAt time.Time   // when the first page was requested
	after     ids.Machine // the last machine read so far
}

// readMachineList reads the machine list, which has many pages for a large fleet. Nothing is provisioned
// before the list has been read to its end once, so the first time all pages are read in one step. Later
// the list is read over several steps, only with calls that requests and deletions leave spare: with
// thousands of machines, each request would otherwise wait until all pages are read.
func (p *Provisioner) readMachineList(ctx context.Context, now time.Time) {
	if !p.listProgress.reading {
		if !p.listProgress.startedAt.IsZero() && now.Sub(p.listProgress.startedAt) <= p.ListInterval {
			return
		}
		p.listProgress.reading, p.listProgress.startedAt, p.listProgress.after = true, now, ""
	}
	for p.listProgress.reading && (!p.listProgress.complete || p.Cloud.hasSpareCalls()) {
		page, more, err := p.Cloud.listPage(ctx, p.listProgress.after)
		if err != nil {
			slog.Debug("failed to read a page of the machine list", "after", p.listProgress.after, "err", err)
			return // the next step continues with this page
		}
		p.Cluster.ReconcileCloudList(p.filterOwned(page), time.Now())
		if more {
			p.listProgress.after = page[len(page)-1].Name
			continue
		}
		p.listProgress.reading, p.listProgress.complete = false, true
		p.Cluster.CloudListRead(p.listProgress.startedAt)
	}
}

// filterOwned returns the machines of a page that belong to this shard.
func (p *Provisioner) filterOwned(page []clusterstate.ListedMachine) []clusterstate.ListedMachine {
	if p.Owns == nil {
		return page
	}
	return slices.DeleteFunc(slices.Clone(page), func(machine clusterstate.ListedMachine) bool { return !p.Owns(machine.Name) })
}
