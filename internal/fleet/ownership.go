package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/claim"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// hireName names the next hire. Generations of different shards may be alike, names may not.
func (p *Provisioner) hireName() ids.Hire {
	if p.Owns == nil {
		return ids.Hire(fmt.Sprintf("h-%d-%d", p.Gen, p.seq))
	}
	return ids.Hire(fmt.Sprintf("h-s%d-%d-%d", p.Shard, p.Gen, p.seq))
}

// storeHosts stores which machines a hire rented, before anything is placed on them: they are
// this shard's from then on.
func (p *Provisioner) storeHosts(ctx context.Context, in Intent, hosts []ids.Machine) bool {
	in.Hosts = hosts
	raw, err := json.Marshal(in)
	if err != nil {
		return false
	}
	if err := p.Store.Apply(ctx, []state.Op{{Put: p.Keys.Hires() + string(in.Name), Value: raw}}); err != nil {
		slog.Debug("machines of a hire not stored", "hire", in.Name, "err", err)
		return false
	}
	p.keep(in)
	return true
}

// keep notes a hire that is stored with its machines.
func (p *Provisioner) keep(in Intent) {
	if p.kept == nil {
		p.kept = map[ids.Hire]Intent{}
	}
	if len(in.Hosts) > 0 {
		p.kept[in.Name] = in
	}
}

// forget takes a machine that is gone off its hire, which is removed after the last one.
func (p *Provisioner) forget(ctx context.Context, machine ids.Machine) {
	for name, in := range p.kept {
		at := slices.Index(in.Hosts, machine)
		if at < 0 {
			continue
		}
		in.Hosts = slices.Delete(slices.Clone(in.Hosts), at, at+1)
		p.kept[name] = in
		if len(in.Hosts) == 0 {
			delete(p.kept, name)
			p.removeHire(ctx, name)
		}
		return
	}
}

// removeHire removes what is stored of a hire.
func (p *Provisioner) removeHire(ctx context.Context, name ids.Hire) {
	if err := p.Store.Apply(ctx, []state.Op{{Remove: p.Keys.Hires() + string(name)}}); err != nil {
		slog.Debug("hire not removed", "hire", name, "err", err)
	}
}

// own keeps of a page of the machine list what belongs to this shard.
func (p *Provisioner) own(page []claim.ListedMachine) []claim.ListedMachine {
	if p.Owns == nil {
		return page
	}
	return slices.DeleteFunc(slices.Clone(page), func(l claim.ListedMachine) bool { return !p.Owns(l.Name) })
}

// lacks tells whether waiting jobs need machines that the cloud refuses now.
func (p *Provisioner) lacks(hires []placement.Hire, now time.Time) bool {
	refused := false
	for _, until := range p.refused {
		refused = refused || until.After(now)
	}
	if !refused || len(hires) > 0 {
		return false
	}
	ds, ups, types := p.Cluster.CapacityDemands(now)
	waiting := slices.DeleteFunc(ds, func(d placement.Demand) bool { return d.Keep })
	wanted, _ := placement.Rent(waiting, ups, types, func(string, string, bool) bool { return true })
	return len(wanted) > 0
}
