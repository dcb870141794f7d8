package quota

import (
	"fmt"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// retentionPeriod is the time for which a shard keeps allowance that it has received when another
// shard's demand precedes its own only by age. It prevents allowance that two shards want from moving
// back and forth.
const retentionPeriod = 2 * time.Second

// teamQuota is one leader's state of one team's quota.
type teamQuota struct {
	ledgerView
	usage    usage
	demand   Demand
	transfer *Transfer // planned, or sent and not settled yet; nil: none
	// lastGivenAt is the time at which allowance was last given to another shard.
	lastGivenAt time.Time
	// requestedSince is the time since which this shard has had a stored request; zero: it has none.
	requestedSince time.Time
}

// usage is the resources that a team's tasks in one shard may be using.
type usage struct {
	exact   placement.Resources // as the jobs specify them
	rounded Amount
	// grantedAt is the time of the last grant.
	grantedAt time.Time
}

func (u *usage) add(resources placement.Resources)    { u.set(u.exact.Plus(resources)) }
func (u *usage) remove(resources placement.Resources) { u.set(u.exact.Minus(resources)) }

func (u *usage) set(exact placement.Resources) {
	u.exact = exact
	u.rounded = AmountOf(exact).Minus(Amount{}) // never below zero
}

// ledgerView is a team's ledger as last read, from the point of view of one shard.
type ledgerView struct {
	shard    Shard
	ledger   *Ledger // nil: no ledger is stored, or the stored one can't be used
	revision ids.Revision
	fault    error // why the stored ledger can't be used, and nothing is granted to the team
	// receivedAt is the last time at which a ledger with an allowance for the shard was read.
	receivedAt time.Time
}

// apply replaces the ledger by that of a change, and reports whether the change was newer. A ledger that
// can't be used, or that was removed, stops all grants to the team. It is not repaired automatically,
// because the correct allowances are unknown.
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

// allowance returns the shard's allowance in the ledger as last read.
func (v *ledgerView) allowance() Amount {
	if v.ledger == nil {
		return Amount{}
	}
	return v.ledger.Accounts[v.shard].Allowance
}

// withheld returns the amount that an unsettled transfer takes from this shard, whether or not it has
// been applied.
func (q *teamQuota) withheld() Amount {
	if q.transfer == nil {
		return Amount{}
	}
	return q.transfer.withheld
}

// usable returns the part of the allowance that may be in use now. It is zero for a resource that is
// overcommitted, because its limit was lowered below the usage.
func (q *teamQuota) usable() Amount {
	amount := q.allowance().Minus(q.withheld())
	for resource, excess := range q.ledger.Overcommitted {
		if excess > 0 {
			amount[resource] = 0
		}
	}
	return amount
}

// idle returns the allowance that the shard does not use and that no unsettled transfer takes from it.
func (q *teamQuota) idle() Amount {
	return q.ledger.Limit.limited(q.allowance().Minus(q.usage.rounded).Minus(q.withheld()))
}

// exceedsAllowance reports whether the shard's usage exceeds its allowance.
func (q *teamQuota) exceedsAllowance() bool {
	return q.ledger != nil && q.ledger.AllRegistered() && !q.allowance().Covers(q.ledger.Limit.limited(q.usage.rounded))
}

// request returns the amounts that the team's demand lacks in this shard. ok reports whether to request
// them.
func (q *teamQuota) request(now time.Time) (request shardRequest, ok bool) {
	if q.ledger == nil || q.demand.Total.IsZero() || q.leavesAllowanceIdle(now) {
		return shardRequest{}, false
	}
	limit, idle := q.ledger.Limit, q.idle()
	request = q.rankedDemand()
	request.Missing = limit.limited(q.demand.Unit).Minus(idle)
	request.Wanted = limit.limited(q.demand.Total).Minus(idle)
	return request, !request.Wanted.IsZero()
}

// rankedDemand returns a request with the rank of this shard's demand, to compare with other requests.
func (q *teamQuota) rankedDemand() shardRequest {
	return shardRequest{Request: Request{Rank: q.demand.Rank}, shard: q.shard}
}

// leavesAllowanceIdle reports whether the shard has had enough idle allowance for its demand for longer than
// retentionPeriod without granting anything: the demand waits for something other than allowance.
func (q *teamQuota) leavesAllowanceIdle(now time.Time) bool {
	if q.demand.Total.IsZero() || !q.idle().Covers(q.ledger.Limit.limited(q.demand.Unit)) {
		return false
	}
	return now.Sub(q.usage.grantedAt) > retentionPeriod && now.Sub(q.receivedAt) > retentionPeriod
}

// spareFor returns how much of the idle allowance may go to another shard's request.
func (q *teamQuota) spareFor(request shardRequest, now time.Time) Amount {
	idle := q.idle()
	if q.demand.Total.IsZero() || q.leavesAllowanceIdle(now) {
		return idle
	}
	ownGoesFirst := request.compare(q.rankedDemand()) > 0
	retained := now.Sub(q.receivedAt) < retentionPeriod && !request.Rank.outranks(q.demand.Rank)
	if ownGoesFirst || retained {
		return idle.Minus(q.demand.Total)
	}
	return idle
}

// recordRequested updates requestedSince, given whether the shard now has a stored request for the team.
func (q *teamQuota) recordRequested(requested bool, now time.Time) {
	switch {
	case !requested:
		q.requestedSince = time.Time{}
	case q.requestedSince.IsZero():
		q.requestedSince = now
	}
}
