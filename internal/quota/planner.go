package quota

import (
	"fmt"
	"math"
	"time"
)

// transferInterval is the minimum time between two transfers of one team's allowance to other
// shards. Allowance that tasks release one by one in that time moves in one transfer.
const transferInterval = time.Second

// planTransfer returns the most important transfer that a team's ledger needs, or nil if it needs none.
func (t *Tracker) planTransfer(team string, quota *teamQuota) *Transfer {
	p := planner{tracker: t, team: team, quota: quota, now: t.now()}
	return p.next()
}

// planner chooses the next transfer of one team.
type planner struct {
	tracker *Tracker
	team    string
	quota   *teamQuota
	now     time.Time
}

// next returns the next transfer, or nil. Changes that the ledger itself needs precede transfers
// that shards request.
func (p *planner) next() *Transfer {
	shard, startedAt, ledger := p.tracker.shard, p.tracker.startedAt, p.quota.ledger
	limit, configured := p.tracker.limits[p.team]
	if ledger == nil {
		return p.createLedger(limit, configured)
	}
	if configured && ledger.outdatedBy(limit, startedAt) {
		next, err := ledger.SetLimit(limit, startedAt)
		return p.newTransfer("new limit", next, Amount{}, err)
	}
	if !ledger.Accounts[shard].Registered {
		return p.newTransfer("registered", ledger.Register(shard, p.quota.usage.rounded), Amount{}, nil)
	}
	if reduction := p.quota.idle().Min(ledger.Overcommitted); !reduction.IsZero() {
		next, err := ledger.Return(shard, reduction)
		return p.newTransfer("returned", next, reduction, err)
	}
	if !ledger.AllRegistered() || !ledger.Overcommitted.IsZero() {
		return nil
	}
	return p.serveRequests()
}

// createLedger returns a transfer that creates the ledger of a team that has a limit and never had a ledger,
// or nil.
func (p *planner) createLedger(limit Limit, configured bool) *Transfer {
	if !configured || limit.IsUnlimited() || p.quota.revision > 0 {
		return nil
	}
	ledger := NewLedger(limit, p.tracker.startedAt, p.tracker.shards)
	return p.newTransfer("created", ledger.Register(p.tracker.shard, p.quota.usage.rounded), Amount{}, nil)
}

// serveRequests returns a transfer that takes from the reserve for this shard's demand, or that gives
// this shard's idle allowance to another shard's demand. It considers the requests in rank order.
func (p *planner) serveRequests() *Transfer {
	reserve := p.quota.ledger.Reserve
	for position, request := range p.tracker.requestsFor(p.team, p.quota) {
		// The requesting shard itself takes what the reserve covers, so only the rest is given.
		missing, wanted := request.Missing.Minus(reserve), request.Wanted.Minus(reserve)
		if request.shard == p.tracker.shard {
			if transfer := p.takeFromReserve(request, reserve); transfer != nil {
				return transfer
			}
		} else if amount, ok := p.amountToGive(request, missing, wanted, position == 0); ok {
			return p.give(request, amount)
		}
		reserve = reserve.Minus(request.Wanted)
	}
	return nil
}

// takeFromReserve returns a transfer from the reserve for this shard's demand, or nil. The reserve must
// cover at least the amount that one task, or a whole gang, lacks.
func (p *planner) takeFromReserve(request shardRequest, reserve Amount) *Transfer {
	amount := request.Wanted.Min(reserve)
	if amount.IsZero() || !reserve.Covers(request.Missing) {
		return nil
	}
	next, err := p.quota.ledger.Take(p.tracker.shard, amount)
	return p.newTransfer("taken from the reserve", next, Amount{}, err).withRequest(request)
}

// amountToGive returns how much of this shard's idle allowance to give to another shard's request. Only the
// highest-ranked request gets an amount that is too small for one task or gang.
func (p *planner) amountToGive(request shardRequest, missing, wanted Amount, isFirst bool) (amount Amount, ok bool) {
	if int(request.shard) >= p.tracker.shards || p.now.Sub(p.quota.lastGivenAt) < transferInterval {
		return Amount{}, false
	}
	spare := p.quota.spareFor(request, p.now)
	amount = wanted.Min(spare)
	return amount, !amount.IsZero() && (isFirst || spare.Covers(missing))
}

// give returns a transfer of idle allowance to the shard that requested it.
func (p *planner) give(request shardRequest, amount Amount) *Transfer {
	p.quota.lastGivenAt = p.now
	next, err := p.quota.ledger.Give(p.tracker.shard, request.shard, amount)
	return p.newTransfer(fmt.Sprintf("given to shard %d", request.shard), next, amount, err).withRequest(request)
}

// newTransfer returns a Transfer for a transition, or nil if err is not nil, because the ledger does not
// allow the transition. The transfer gets the highest rank, so that it is sent before all those that
// serve a request.
func (p *planner) newTransfer(reason string, next Ledger, withheld Amount, err error) *Transfer {
	if err != nil {
		return nil
	}
	highestRanked := shardRequest{Request: Request{Rank: Rank{Guaranteed: true, Priority: math.MaxInt}}}
	return &Transfer{Team: p.team, Reason: reason, next: next, baseRevision: p.quota.revision, withheld: withheld, request: highestRanked}
}

// withRequest records which request the transfer serves, and returns the transfer. A nil transfer stays nil.
func (t *Transfer) withRequest(request shardRequest) *Transfer {
	if t != nil {
		t.request = request
	}
	return t
}
