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

// Tracker is one leader's view of the ledgers: its shard's allowances, the usage of its shard's tasks,
// and the transfers to other shards that are not settled yet.
//
// It has no lock of its own. The caller's lock guards it, and the caller must hold that lock from
// Available until AddUsage, so that the allowance is not given away in between. No method blocks, and
// none calls other components.
type Tracker struct {
	shard  Shard
	shards int
	// limits are the team limits in the settings of this process, which started at startedAt.
	limits    map[string]Limit
	startedAt ids.Timestamp
	// loaded reports that the stored ledgers were read after this leader took over the shard.
	loaded   bool
	teams    map[string]*teamQuota
	requests requestTable
	now      func() time.Time
}

// NewTracker returns the Tracker of one term of a shard's leader. With a single shard the limits in the
// settings apply immediately: no ledgers are stored or loaded.
func NewTracker(shard Shard, shards int, limits map[string]Limit, startedAt ids.Timestamp) *Tracker {
	return &Tracker{
		shard:     shard,
		shards:    shards,
		limits:    limits,
		startedAt: startedAt,
		loaded:    shards == 1,
		teams:     map[string]*teamQuota{},
		requests:  newRequestTable(shard),
		now:       time.Now,
	}
}

// team returns a team's quota, and adds an empty one if there is none.
func (t *Tracker) team(name string) *teamQuota {
	quota := t.teams[name]
	if quota == nil {
		quota = &teamQuota{ledgerView: ledgerView{shard: t.shard}}
		t.teams[name] = quota
	}
	return quota
}

// teamNames returns the sorted names of the teams in the settings and of those otherwise known.
func (t *Tracker) teamNames() []string {
	names := slices.AppendSeq(slices.Collect(maps.Keys(t.limits)), maps.Keys(t.teams))
	slices.Sort(names)
	return slices.Compact(names)
}

// Load applies all entries stored under Prefix, which must be read after the leader took over the shard.
// The caller must pass every change after that read to Apply, so it must begin to watch changes before
// the read. A leader that misses a change that gives its shard allowance would leave the allowance
// unused.
func (t *Tracker) Load(entries []state.Entry) {
	for _, entry := range entries {
		t.Apply(state.Change{Put: entry.Key, Value: entry.Value, Revision: entry.Revision})
	}
	t.loaded = true
}

// Apply applies a change of a stored ledger or of stored requests. It ignores other keys, and changes
// that are older than the known revision of the key.
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

// applyLedger applies a change of a team's ledger.
func (t *Tracker) applyLedger(team string, change state.Change) {
	quota := t.team(team)
	if !quota.apply(team, change, t.shards, t.now()) {
		return
	}
	// The pending transfer was conditional on an earlier revision of the ledger, so it can no longer
	// be applied.
	if quota.transfer != nil && change.Revision > quota.transfer.baseRevision {
		quota.transfer = nil
	}
}

// applyRequests applies a change of a shard's requests.
func (t *Tracker) applyRequests(shard Shard, change state.Change) {
	now := t.now()
	if !t.requests.apply(shard, change, now) || shard != t.shard {
		return
	}
	for name, quota := range t.teams {
		quota.recordRequested(t.requests.hasOwn(name), now)
	}
}

// AddUsage adds resources that a team's tasks may use from now on.
func (t *Tracker) AddUsage(team string, resources placement.Resources) {
	quota := t.team(team)
	quota.usage.add(resources)
	quota.usage.grantedAt = t.now()
}

// RemoveUsage subtracts resources that a team's tasks certainly no longer use.
func (t *Tracker) RemoveUsage(team string, resources placement.Resources) {
	t.team(team).usage.remove(resources)
}

// Usage returns the resources that a team's tasks in this shard may be using.
func (t *Tracker) Usage(team string) placement.Resources {
	if quota := t.teams[team]; quota != nil {
		return quota.usage.exact
	}
	return placement.Resources{}
}

// Available returns the resources that may still be granted to a team in this shard. It returns none for
// a team that is not in the settings. A component is negative if more is in use than allowed.
func (t *Tracker) Available(team string) placement.Resources {
	const unlimited = 1e12 // available quantity of a resource without a limit
	limit, configured := t.limits[team]
	if !configured {
		return placement.Resources{}
	}
	quota := t.team(team)
	allowed := Amount(limit)
	if t.shards > 1 {
		limit, allowed = t.allowed(quota, limit)
	}
	total, used := allowed.Resources(), quota.usage.exact
	left := placement.Resources{Cores: unlimited, Accels: unlimited, RAM: unlimited}
	if limit[Cores] != Unlimited {
		left.Cores = total.Cores - used.Cores
	}
	if limit[Accelerators] != Unlimited {
		left.Accels = total.Accels - used.Accels
	}
	if limit[Memory] != Unlimited {
		left.RAM = total.RAM - used.RAM
	}
	return left
}

// allowed returns the effective limit and how much of it this shard may use now. Both are zero while
// nothing may be granted. That includes the time until the ledger has the limit of newer settings, so that
// nothing is granted under the old limit.
func (t *Tracker) allowed(quota *teamQuota, configured Limit) (Limit, Amount) {
	ledger := quota.ledger
	switch {
	case !t.loaded || quota.fault != nil:
		return Limit{}, Amount{}
	case ledger == nil && configured.IsUnlimited():
		return configured, Amount{}
	case ledger == nil || !ledger.AllRegistered() || ledger.outdatedBy(configured, t.startedAt):
		return Limit{}, Amount{}
	}
	return ledger.Limit, quota.usable()
}

// SetDemands replaces the demands of all teams. Teams that are not in the map have none.
func (t *Tracker) SetDemands(demands map[string]Demand) {
	for name, quota := range t.teams {
		quota.demand = demands[name]
	}
	for name, demand := range demands {
		t.team(name).demand = demand
	}
}

// requestsFor returns the requests of all shards, including this one, for a team's allowance, in the
// order in which they are served.
func (t *Tracker) requestsFor(team string, quota *teamQuota) []shardRequest {
	requests := t.requests.others(team)
	if own, ok := quota.request(t.now()); ok {
		requests = append(requests, own)
	}
	return sortRequests(requests)
}

// ownRequests returns this shard's requests, to be stored for the other leaders. due reports whether they
// differ enough from the stored ones to justify a write now.
func (t *Tracker) ownRequests() (requests Requests, due bool) {
	now := t.now()
	requests = Requests{Version: formatVersion, Teams: map[string]Request{}}
	for name, quota := range t.teams {
		if own, ok := quota.request(now); ok {
			requests.Teams[name] = own.Request
		}
	}
	return requests, t.requests.writeDue(requests.Teams, now)
}

// ReclaimNeeded returns how much allowance the highest-ranked request for a team's allowance still lacks
// after the reserve and this shard's idle allowance are counted, and the rank of that request. needed is
// false if nothing is lacking, or if the highest-ranked request is this shard's own. The caller may
// preempt lower-ranked tasks of the team for it.
func (t *Tracker) ReclaimNeeded(team string) (amount Amount, rank Rank, needed bool) {
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
