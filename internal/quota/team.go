package quota

import (
	"fmt"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// retentionPeriod is how long a shard keeps allowance that it was given from demands that go
// before its own only by their age: what two shards want must not move back and forth.
const retentionPeriod = 2 * time.Second

// teamQuota is one leader's side of one team's quota.
type teamQuota struct {
	ledgerView
	usage    usage
	demand   Demand
	transfer *Transfer // under way to the state service; nil: none
	// gaveAt is when allowance was last given to another shard.
	gaveAt time.Time
	// requestedAt is since when this shard has requested allowance; zero: it has not.
	requestedAt time.Time
}

// usage is what a team's tasks of one shard may be using.
type usage struct {
	exact   placement.Resources // as the jobs state it
	rounded Amount
	// grantedAt is when something was last granted.
	grantedAt time.Time
}

func (u *usage) add(room placement.Resources)    { u.set(u.exact.Plus(room)) }
func (u *usage) remove(room placement.Resources) { u.set(u.exact.Minus(room)) }

func (u *usage) set(exact placement.Resources) {
	u.exact = exact
	u.rounded = AmountOf(exact).Minus(Amount{}) // never below zero
}

// ledgerView is a team's ledger as last read.
type ledgerView struct {
	shard    Shard
	ledger   *Ledger // nil: none, or none that can be used
	revision ids.Revision
	fault    error // why nothing is granted to the team
	// receivedAt is when a ledger that gives the shard an allowance was last read.
	receivedAt time.Time
}

// apply replaces the ledger by a stored value, and reports whether that was newer. A ledger
// that can't be used, or that was removed, stops all grants to the team and is never repaired
// by guessing.
func (v *ledgerView) apply(team string, change state.Change, shards int, now time.Time) bool {
	if change.Revision <= v.revision {
		return false
	}
	v.revision = change.Revision
	v.ledger, v.fault = nil, nil
	if change.Put == "" {
		v.fault = fmt.Errorf("the ledger of team %s was removed", team)
		return true
	}
	ledger, err := decodeLedger(change.Value, shards)
	if err != nil {
		v.fault = fmt.Errorf("the ledger of team %s can't be used: %w", team, err)
		return true
	}
	v.ledger = ledger
	if !v.allowance().IsZero() {
		v.receivedAt = now
	}
	return true
}

// allowance is what the ledger allows the shard, as last read.
func (v *ledgerView) allowance() Amount {
	if v.ledger == nil {
		return Amount{}
	}
	return v.ledger.Accounts[v.shard].Allowance
}

// withheld is what a transfer under way takes from this shard, applied or not.
func (q *teamQuota) withheld() Amount {
	if q.transfer == nil {
		return Amount{}
	}
	return q.transfer.withheld
}

// usable is the part of the allowance that may be in use now: nothing of a resource whose
// usage exceeded a lowered limit and has not fallen yet.
func (q *teamQuota) usable() Amount {
	amount := q.allowance().Minus(q.withheld())
	for resource, excess := range q.ledger.Overcommitted {
		if excess > 0 {
			amount[resource] = 0
		}
	}
	return amount
}

// idle is the allowance that the shard neither uses nor has offered.
func (q *teamQuota) idle() Amount {
	return q.ledger.Limit.limited(q.allowance().Minus(q.usage.rounded).Minus(q.withheld()))
}

// exceedsAllowance reports whether more is in use than the ledger allows.
func (q *teamQuota) exceedsAllowance() bool {
	return q.ledger != nil && q.ledger.Open() && !q.allowance().Covers(q.ledger.Limit.limited(q.usage.rounded))
}

// request is what the team's demand lacks here; ok tells whether to request it.
func (q *teamQuota) request(now time.Time) (request shardRequest, ok bool) {
	if q.ledger == nil || q.demand.Total.IsZero() || q.leavesIdle(now) {
		return shardRequest{}, false
	}
	limit, idle := q.ledger.Limit, q.idle()
	request = q.rankedDemand()
	request.Missing = limit.limited(q.demand.Unit).Minus(idle)
	request.Wanted = limit.limited(q.demand.Total).Minus(idle)
	return request, !request.Wanted.IsZero()
}

// rankedDemand is the team's own demand as a request that compares with others.
func (q *teamQuota) rankedDemand() shardRequest {
	return shardRequest{Request: Request{Rank: q.demand.Rank}, shard: q.shard}
}

// leavesIdle reports that the shard has had idle allowance for its demand for a while and
// has not used it: whatever the demand waits for, it is not the allowance.
func (q *teamQuota) leavesIdle(now time.Time) bool {
	if q.demand.Total.IsZero() || !q.idle().Covers(q.ledger.Limit.limited(q.demand.Unit)) {
		return false
	}
	return now.Sub(q.usage.grantedAt) > retentionPeriod && now.Sub(q.receivedAt) > retentionPeriod
}

// spareFor is how much of the idle allowance may go to a request of another shard.
func (q *teamQuota) spareFor(request shardRequest, now time.Time) Amount {
	idle := q.idle()
	if q.demand.Total.IsZero() || q.leavesIdle(now) {
		return idle
	}
	ownGoesFirst := request.compare(q.rankedDemand()) > 0
	retained := now.Sub(q.receivedAt) < retentionPeriod && !request.Rank.outranks(q.demand.Rank)
	if ownGoesFirst || retained {
		return idle.Minus(q.demand.Total)
	}
	return idle
}

// noteRequested notes since when the shard has requested allowance.
func (q *teamQuota) noteRequested(requested bool, now time.Time) {
	switch {
	case !requested:
		q.requestedAt = time.Time{}
	case q.requestedAt.IsZero():
		q.requestedAt = now
	}
}
