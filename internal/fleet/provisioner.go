package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/claim"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// Store keeps rental intents, fenced by the pool's generation.
type Store interface {
	Apply(ctx context.Context, ops []state.Op) error
}

type offer struct {
	label, zone string
	spot        bool
}

// Provisioner is the leader's loop that rents and returns machines as the work demands.
type Provisioner struct {
	Cloud   *Cloud
	Cluster *claim.ClusterState
	Store   Store
	// Gen makes hire names unique: it is this leader's alone.
	Gen ids.Generation
	// ListEvery spaces the lists; they lag anyway.
	ListEvery time.Duration
	// Sure tells whether no other node can own the pool yet. The cloud knows
	// nothing of tokens: a leader that stood still, or waited, for longer than
	// its hold could delete the machines on which its successor has placed work.
	// So it is asked right before a deletion or hire is sent.
	Sure func() bool
	// Keys are where the shard's hires are stored.
	Keys record.ShardKeys
	// Shard is told apart from others by its hires: where there are several, a hire stays
	// stored with the names of its machines until the last of them is gone. Owns tells
	// whether a listed machine is this shard's; nil: all are.
	Shard ids.Shard
	Owns  func(ids.Machine) bool
	// OthersLack tells how long another shard has lacked machines, and how many a shard has
	// on average; nil: there is no other.
	OthersLack func() (lack time.Duration, part int)
	// OnTypes is told the cloud's offer whenever it was read.
	OnTypes func([]placement.Type)

	unsure  []Intent // perhaps stored: not to be sent until they surely are
	open    []Intent // stored, not answered for sure yet
	refused map[offer]time.Time
	list    listing
	kept    map[ids.Hire]Intent // hires stored with their machines
	typed   time.Time
	seq     int
	emptied time.Time // when a machine to empty was last looked for
}

// Adopt takes over the intents a predecessor left behind: sending them again
// tells what they rented.
func (p *Provisioner) Adopt(entries []state.Entry) {
	for _, e := range entries {
		var in Intent
		if err := json.Unmarshal(e.Value, &in); err != nil || in.Name == "" {
			continue
		}
		if in.Hosts == nil {
			p.open = append(p.open, in)
			continue
		}
		p.keep(in)
		p.Cluster.MachinesRented(in.Hosts, placement.Hire{Type: in.Type, Zone: in.Zone, Spot: in.Spot}, time.Now())
	}
}

// Run keeps the fleet until the context ends.
func (p *Provisioner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		p.Step(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(250 * time.Millisecond):
		}
	}
}

// Step does one round: types, list, open hires, returns, new hires.
func (p *Provisioner) Step(ctx context.Context) {
	if p.refused == nil {
		p.refused = map[offer]time.Time{}
	}
	now := time.Now()
	if p.typed.IsZero() || now.Sub(p.typed) > 30*time.Second {
		if ts, err := p.Cloud.Types(ctx); err == nil {
			p.Cluster.SetMachineTypes(ts)
			p.typed = now
			if p.OnTypes != nil {
				p.OnTypes(ts)
			}
		} else if p.typed.IsZero() {
			slog.Info("machine types not known yet", "err", err)
			return
		}
	}
	p.readList(ctx, now)
	unsure := p.unsure
	p.unsure = nil
	for _, in := range unsure {
		p.storeIntent(ctx, in)
	}
	for _, in := range append([]Intent(nil), p.open...) {
		p.send(ctx, in)
	}
	if p.Sure != nil && !p.Sure() {
		// Cut off or in an outage this leader hears of nothing: whatever it would
		// decide might long be otherwise.
		return
	}
	// Decided only now: what an open hire has rented must count, or a lost
	// answer would rent everything twice.
	if p.OthersLack != nil {
		lack, part := p.OthersLack()
		p.Cluster.ShareCapacity(lack, part, time.Now())
	}
	dark := p.Cluster.UnreachableZones()
	closed := p.Cluster.ClosedZones()
	ds, ups, types := p.Cluster.CapacityDemands(time.Now())
	hires, needed := placement.Rent(ds, ups, types, func(label, zone string, spot bool) bool {
		_, gone := closed[zone]
		return !gone && !dark[zone] && !p.refused[offer{label, zone, spot}].After(now)
	})
	if p.OthersLack != nil {
		p.Cluster.SetShortage(p.lacks(hires, now), now)
	}
	p.returns(ctx, needed)
	p.rentReplacements(ctx, now)
	if len(p.unsure) > 0 || len(p.open) > 0 || !p.list.complete {
		return // what they rent is not known yet
	}
	if len(hires) > 0 && p.Cluster.Consolidate("", time.Now()) {
		return // what was being emptied is wanted after all
	}
	for _, h := range hires {
		p.hire(ctx, h)
	}
	if len(hires) == 0 {
		p.consolidate()
	}
}

// consolidate finds a machine whose services the others could take over with
// nothing hired for it, and lets it be emptied.
func (p *Provisioner) consolidate() {
	now := time.Now()
	if now.Sub(p.emptied) < 1500*time.Millisecond {
		return // each look weighs the whole fleet anew
	}
	p.emptied = now
	for _, e := range p.Cluster.ConsolidationCandidates(now) {
		ds, ups, types := p.Cluster.CapacityDemands(now)
		rest := ups[:0]
		for _, u := range ups {
			if u.Name != e.Name && !u.Coming {
				rest = append(rest, u)
			}
		}
		hires, _ := placement.Rent(append(append([]placement.Demand(nil), e.Needs...), ds...), rest, types,
			func(string, string, bool) bool { return true })
		if len(hires) == 0 {
			p.Cluster.Consolidate(e.Name, now)
			return
		}
	}
}

func (p *Provisioner) returns(ctx context.Context, needed map[ids.Machine]bool) {
	names := p.Cluster.MachinesToTerminate(time.Now(), needed)
	for len(names) > 0 {
		n := min(len(names), 100)
		if err := p.Cloud.Delete(ctx, names[:n], p.Sure); err != nil {
			slog.Debug("deletion not confirmed", "err", err)
			return // asked again next round, until it is confirmed
		}
		for _, name := range names[:n] {
			p.Cluster.MachineTerminated(name)
			p.forget(ctx, name)
		}
		names = names[n:]
	}
}

// hire stores the request's name before sending it: whoever comes after can
// learn what it rented, and no name is ever used for two requests.
func (p *Provisioner) hire(ctx context.Context, h placement.Hire) {
	p.seq++
	in := Intent{Name: p.hireName(), Type: h.Type, Zone: h.Zone, Spot: h.Spot, Count: min(h.Count, 50)}
	if p.storeIntent(ctx, in) {
		p.send(ctx, in)
	}
}

// storeIntent stores an intent, and tells whether it surely is. One whose answer was lost
// may be stored yet, after all that this leader writes now; so it is stored again
// rather than forgotten.
func (p *Provisioner) storeIntent(ctx context.Context, in Intent) bool {
	raw, err := json.Marshal(in)
	if err != nil {
		return false
	}
	if err := p.Store.Apply(ctx, []state.Op{{Put: p.Keys.Hires() + string(in.Name), Value: raw}}); err != nil {
		slog.Debug("hire not stored", "hire", in.Name, "err", err)
		var conflict *state.Conflict
		if !errors.As(err, &conflict) && (errors.Is(err, state.ErrUnknown) || in.tried) {
			in.tried = true
			p.unsure = append(p.unsure, in)
		}
		return false
	}
	p.open = append(p.open, in)
	return true
}

func (p *Provisioner) send(ctx context.Context, in Intent) {
	names, err := p.Cloud.Hire(ctx, in, p.Sure)
	switch {
	case err == nil && p.Owns != nil && !p.storeHosts(ctx, in, names):
		return // sent again, which rents nothing more
	case err == nil:
		slog.Info("hired", "hire", in.Name, "type", in.Type, "zone", in.Zone, "spot", in.Spot, "asked", in.Count, "got", len(names))
		p.Cluster.MachinesRented(names, placement.Hire{Type: in.Type, Zone: in.Zone, Spot: in.Spot}, time.Now())
		p.Cluster.DrainProvisioned(in.Name, names)
		if len(names) < in.Count {
			p.refused[offer{in.Type, in.Zone, in.Spot}] = time.Now().Add(15 * time.Second)
		}
	case errors.Is(err, ErrNoCapacity):
		p.refused[offer{in.Type, in.Zone, in.Spot}] = time.Now().Add(15 * time.Second)
	case errors.Is(err, ErrMalformed):
		slog.Error("the cloud calls a hire malformed", "hire", in.Name, "err", err)
		p.refused[offer{in.Type, in.Zone, in.Spot}] = time.Now().Add(time.Minute)
	default:
		return // sent again under the same name
	}
	if _, kept := p.kept[in.Name]; !kept {
		p.removeHire(ctx, in.Name)
	}
	for i := range p.open {
		if p.open[i].Name == in.Name {
			p.open = append(p.open[:i], p.open[i+1:]...)
			break
		}
	}
}
