package quota

import (
	"fmt"
	"math"
	"time"
)

// transferInterval is the least time between two transfers of one team's allowance to other
// shards, so that what becomes idle task by task goes in one transfer.
const transferInterval = time.Second

// planTransfer decides which transfer a team's ledger needs most; nil if none.
func (t *Tracker) planTransfer(team string, quota *teamQuota) *Transfer {
	plan := planner{tracker: t, team: team, quota: quota, now: t.now()}
	return plan.next()
}

// planner decides on one team's next transfer.
type planner struct {
	tracker *Tracker
	team    string
	quota   *teamQuota
	now     time.Time
}

// next looks at the needs of the ledger itself first, then at what shards request of it.
func (p *planner) next() *Transfer {
	shard, startedAt, ledger := p.tracker.shard, p.tracker.startedAt, p.quota.ledger
	limit, configured := p.tracker.limits[p.team]
	if ledger == nil {
		return p.create(limit, configured)
	}
	if configured && ledger.outdatedBy(limit, startedAt) {
		next, err := ledger.SetLimit(limit, startedAt)
		return p.transfer("new limit", next, Amount{}, err)
	}
	if !ledger.Accounts[shard].Registered {
		return p.transfer("registered", ledger.Register(shard, p.quota.usage.rounded), Amount{}, nil)
	}
	if repaid := p.quota.idle().Min(ledger.Overcommitted); !repaid.IsZero() {
		next, err := ledger.Return(shard, repaid)
		return p.transfer("returned", next, repaid, err)
	}
	if !ledger.Open() || !ledger.Overcommitted.IsZero() {
		return nil
	}
	return p.serveRequests()
}

// create makes the ledger of a team that has a limit and never had a ledger.
func (p *planner) create(limit Limit, configured bool) *Transfer {
	if !configured || limit.IsUnlimited() || p.quota.revision > 0 {
		return nil
	}
	ledger := NewLedger(limit, p.tracker.startedAt, p.tracker.shards)
	return p.transfer("created", ledger.Register(p.tracker.shard, p.quota.usage.rounded), Amount{}, nil)
}

// serveRequests takes from the reserve for this shard's demand, or gives what is idle here to
// the demands of others, in the order of their ranks.
func (p *planner) serveRequests() *Transfer {
	reserve := p.quota.ledger.Reserve
	for position, request := range p.tracker.requestsFor(p.team, p.quota) {
		// What the reserve has, the requesting shard takes by itself.
		missing, wanted := request.Missing.Minus(reserve), request.Wanted.Minus(reserve)
		if request.shard == p.tracker.shard {
			if transfer := p.takeFromReserve(request, reserve); transfer != nil {
				return transfer
			}
		} else if amount, ok := p.toGive(request, missing, wanted, position == 0); ok {
			return p.give(request, amount)
		}
		reserve = reserve.Minus(request.Wanted)
	}
	return nil
}

// takeFromReserve takes what this shard's demand lacks: at least what one task or a whole
// gang does.
func (p *planner) takeFromReserve(request shardRequest, reserve Amount) *Transfer {
	amount := request.Wanted.Min(reserve)
	if amount.IsZero() || !reserve.Covers(request.Missing) {
		return nil
	}
	next, err := p.quota.ledger.Take(p.tracker.shard, amount)
	return p.transfer("taken from the reserve", next, Amount{}, err).serving(request)
}

// toGive is how much of the idle allowance to give for another shard's request. A part of what
// a task or gang lacks goes only to the first request of all.
func (p *planner) toGive(request shardRequest, missing, wanted Amount, isFirst bool) (amount Amount, ok bool) {
	if int(request.shard) >= p.tracker.shards || p.now.Sub(p.quota.gaveAt) < transferInterval {
		return Amount{}, false
	}
	spare := p.quota.spareFor(request, p.now)
	amount = wanted.Min(spare)
	return amount, !amount.IsZero() && (isFirst || spare.Covers(missing))
}

// give moves idle allowance to the shard that requested it.
func (p *planner) give(request shardRequest, amount Amount) *Transfer {
	p.quota.gaveAt = p.now
	next, err := p.quota.ledger.Give(p.tracker.shard, request.shard, amount)
	return p.transfer(fmt.Sprintf("given to shard %d", request.shard), next, amount, err).serving(request)
}

// transfer makes a transition ready to be sent, before all that serves a request; nil if err
// tells that the transition is not allowed.
func (p *planner) transfer(reason string, next Ledger, withheld Amount, err error) *Transfer {
	if err != nil {
		return nil
	}
	first := shardRequest{Request: Request{Rank: Rank{Guaranteed: true, Priority: math.MaxInt}}}
	return &Transfer{Team: p.team, Reason: reason, next: next, base: p.quota.revision, withheld: withheld, request: first}
}

// serving notes whose request the transfer serves, if there is a transfer.
func (t *Transfer) serving(request shardRequest) *Transfer {
	if t != nil {
		t.request = request
	}
	return t
}
