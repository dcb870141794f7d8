package quota

import (
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// Tracker is one leader's side of the ledgers: what its shard may use, what its tasks use, and
// what is being transferred to other shards.
//
// It has no lock of its own. The lock of whoever grants guards it, since what is available
// must not be given away between the question and the grant. No method blocks or calls out.
type Tracker struct {
	shard  Shard
	shards int
	// limits are those of this process's settings, which started at startedAt.
	limits    map[string]Limit
	startedAt ids.Timestamp
	// loaded tells that the stored ledgers were read after the shard was taken over.
	loaded   bool
	teams    map[string]*teamQuota
	requests requestBoard
	now      func() time.Time
}

// NewTracker tracks the quotas of one term of leading a shard. With one shard the limits of the
// settings are in force at once: nothing is stored and there is nothing to load.
func NewTracker(shard Shard, shards int, limits map[string]Limit, startedAt ids.Timestamp) *Tracker {
	return &Tracker{
		shard:     shard,
		shards:    shards,
		limits:    limits,
		startedAt: startedAt,
		loaded:    shards == 1,
		teams:     map[string]*teamQuota{},
		requests:  newRequestBoard(shard),
		now:       time.Now,
	}
}

// team finds or adds a team's quota.
func (t *Tracker) team(name string) *teamQuota {
	quota := t.teams[name]
	if quota == nil {
		quota = &teamQuota{ledgerView: ledgerView{shard: t.shard}}
		t.teams[name] = quota
	}
	return quota
}

// teamNames lists the teams of the settings and of the store, sorted.
func (t *Tracker) teamNames() []string {
	names := slices.AppendSeq(slices.Collect(maps.Keys(t.limits)), maps.Keys(t.teams))
	slices.Sort(names)
	return slices.Compact(names)
}

// Load applies all that is stored below Prefix, read after the shard was taken over. Every
// change after that read must be applied too, so changes have to be followed from before it on:
// a leader that missed what it was given would leave that unused.
func (t *Tracker) Load(entries []state.Entry) {
	for _, entry := range entries {
		t.Apply(state.Change{Put: entry.Key, Value: entry.Value, Revision: entry.Revision})
	}
	t.loaded = true
}

// Apply applies a change of a stored value, in the order of their revisions; older ones and
// keys of others are passed over.
func (t *Tracker) Apply(change state.Change) {
	if escaped, found := strings.CutPrefix(change.Key(), ledgerPrefix); found {
		if team, err := url.PathUnescape(escaped); err == nil {
			t.applyLedger(team, change)
		}
	}
	if number, found := strings.CutPrefix(change.Key(), requestsPrefix); found {
		if shard, err := strconv.Atoi(number); err == nil {
			t.applyRequests(Shard(shard), change)
		}
	}
}

// applyLedger replaces what is known of a team's ledger.
func (t *Tracker) applyLedger(team string, change state.Change) {
	quota := t.team(team)
	if !quota.apply(team, change, t.shards, t.now()) {
		return
	}
	// Whatever was under way was conditional on the revision before this one.
	if quota.transfer != nil && change.Revision > quota.transfer.base {
		quota.transfer = nil
	}
}

// applyRequests replaces what is known of a shard's requests.
func (t *Tracker) applyRequests(shard Shard, change state.Change) {
	now := t.now()
	if !t.requests.apply(shard, change, now) || shard != t.shard {
		return
	}
	for name, quota := range t.teams {
		quota.noteRequested(t.requests.hasOwn(name), now)
	}
}

// AddUsage counts what may be in use from now on.
func (t *Tracker) AddUsage(team string, room placement.Resources) {
	quota := t.team(team)
	quota.usage.add(room)
	quota.usage.grantedAt = t.now()
}

// RemoveUsage counts off what is surely not in use any more.
func (t *Tracker) RemoveUsage(team string, room placement.Resources) { t.team(team).usage.remove(room) }

// Usage is what a team's tasks of this shard may be using.
func (t *Tracker) Usage(team string) placement.Resources {
	if quota := t.teams[team]; quota != nil {
		return quota.usage.exact
	}
	return placement.Resources{}
}

// Available is what may still be granted to a team. It is nothing for teams that the settings do
// not know.
func (t *Tracker) Available(team string) placement.Resources {
	const unlimited = 1e12 // of a resource without a limit
	limit, configured := t.limits[team]
	if !configured {
		return placement.Resources{}
	}
	quota := t.team(team)
	allowed := Amount(limit)
	if t.shards > 1 {
		limit, allowed = t.allowed(quota, limit)
	}
	room, used := allowed.Room(), quota.usage.exact
	left := placement.Resources{Cores: unlimited, Accels: unlimited, RAM: unlimited}
	if limit[Cores] != Unlimited {
		left.Cores = room.Cores - used.Cores
	}
	if limit[Accelerators] != Unlimited {
		left.Accels = room.Accels - used.Accels
	}
	if limit[Memory] != Unlimited {
		left.RAM = room.RAM - used.RAM
	}
	return left
}

// allowed is the limit in force and how much of it this shard may use now. Until the ledger
// has the limit of newer settings nothing is granted by the old one.
func (t *Tracker) allowed(quota *teamQuota, configured Limit) (Limit, Amount) {
	ledger := quota.ledger
	switch {
	case !t.loaded || quota.fault != nil:
		return Limit{}, Amount{}
	case ledger == nil && configured.IsUnlimited():
		return configured, Amount{}
	case ledger == nil || !ledger.Open() || ledger.outdatedBy(configured, t.startedAt):
		return Limit{}, Amount{}
	}
	return ledger.Limit, quota.usable()
}

// SetDemands tells what the pending jobs of each team need; teams not named need nothing.
func (t *Tracker) SetDemands(demands map[string]Demand) {
	for name, quota := range t.teams {
		quota.demand = demands[name]
	}
	for name, demand := range demands {
		t.team(name).demand = demand
	}
}

// requestsFor lists what all shards request of a team's allowance, this one too, the first to
// be served first.
func (t *Tracker) requestsFor(team string, quota *teamQuota) []shardRequest {
	requests := t.requests.others(team)
	if own, ok := quota.request(t.now()); ok {
		requests = append(requests, own)
	}
	return sorted(requests)
}

// ownRequests is what to store for the other leaders to see; due tells whether that differs
// enough from what is stored to be worth a write now.
func (t *Tracker) ownRequests() (requests Requests, due bool) {
	now := t.now()
	requests = Requests{Version: formVersion, Teams: map[string]Request{}}
	for name, quota := range t.teams {
		if own, ok := quota.request(now); ok {
			requests.Teams[name] = own.Request
		}
	}
	return requests, t.requests.writeDue(requests.Teams, now)
}

// ReclaimNeeded is what the first request of another shard still lacks of a team's allowance after all
// that is idle here, if it outranks this shard's work by more than its age: lesser work of
// the team may be preempted for it.
func (t *Tracker) ReclaimNeeded(team string) (amount Amount, rank Rank, owed bool) {
	quota := t.teams[team]
	if quota == nil || quota.ledger == nil {
		return Amount{}, Rank{}, false
	}
	requests := t.requestsFor(team, quota)
	if len(requests) == 0 || requests[0].shard == t.shard || !quota.ledger.Overcommitted.IsZero() {
		return Amount{}, Rank{}, false
	}
	first := requests[0]
	missing := first.Missing.Minus(quota.ledger.Reserve).Minus(quota.idle()).Min(quota.usage.rounded)
	return missing, first.Rank, !missing.IsZero()
}
