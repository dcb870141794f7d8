package quota

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// Transfer is a transition of one ledger under way to the state service.
type Transfer struct {
	Team string
	What string // for the log
	next Ledger
	base ids.Revision // of the ledger that it follows; 0: there was none
	// withheld is what it takes from this shard. It is not granted from before the transfer
	// is sent until it surely was not, and can no longer be, applied.
	withheld Amount
	rank     asker // whose demand it serves
	sent     bool  // perhaps in vain: it may be sent again, and still applies only once
}

// Txn is the transfer's transaction. It applies only to the ledger that it was decided on,
// and only while this leader leads its shard, which fence is the condition for.
func (t *Transfer) Txn(fence state.Condition) (state.Txn, error) {
	raw, err := json.Marshal(t.next)
	if err != nil {
		return state.Txn{}, err
	}
	key := LedgerKey(t.Team)
	return state.Txn{
		When: []state.Condition{{Key: key, Revision: t.base}, fence},
		Then: []state.Op{{Put: key, Value: raw}},
	}, nil
}

// Transfers decides what to send now, at most one transfer a team. Those without an answer
// come again: a transfer that is sent twice applies once, and any later change of the
// ledger keeps it from being applied late.
func (b *Book) Transfers() []*Transfer {
	if !b.loaded || b.shards == 1 {
		return nil
	}
	var out []*Transfer
	for _, name := range b.names() {
		t := b.team(name)
		if t.transfer == nil && t.fault == nil {
			t.transfer = b.decide(name, t)
		}
		if t.transfer != nil {
			out = append(out, t.transfer)
		}
	}
	slices.SortStableFunc(out, func(x, y *Transfer) int { return x.rank.compare(y.rank) })
	return out
}

// names lists the teams of the settings and of the store.
func (b *Book) names() []string {
	names := maps.Clone(b.limits)
	for name := range b.teams {
		names[name] = Limit{}
	}
	return slices.Sorted(maps.Keys(names))
}

// decide finds the transfer that a team's ledger needs most; nil if none.
func (b *Book) decide(team string, t *teamBook) *Transfer {
	limit, known := b.limits[team]
	if t.ledger == nil {
		if !known || limit.None() || t.revision > 0 {
			return nil
		}
		fresh := NewLedger(limit, b.startedAt, b.shards)
		return b.transfer(team, t, "created", fresh.Register(b.shard, t.used), Amount{}, nil)
	}
	if known && b.hasNewerLimit(t, limit) {
		next, err := t.ledger.SetLimit(limit, b.startedAt)
		return b.transfer(team, t, "new limit", next, Amount{}, err)
	}
	if !t.ledger.Accounts[b.shard].Registered {
		return b.transfer(team, t, "registered", t.ledger.Register(b.shard, t.used), Amount{}, nil)
	}
	if repaid := t.idle().Min(t.ledger.Overhang); !repaid.IsZero() {
		next, err := t.ledger.Return(b.shard, repaid)
		return b.transfer(team, t, "returned", next, repaid, err)
	}
	if !t.ledger.Open() || !t.ledger.Overhang.IsZero() {
		return nil
	}
	return b.serve(team, t)
}

// serve takes from the reserve for this shard's demand, or gives what is idle here to the
// demands of others, in the order of their ranks.
func (b *Book) serve(team string, t *teamBook) *Transfer {
	reserve := t.ledger.Reserve
	for place, ask := range b.askers(team, t) {
		if ask.shard == b.shard {
			if transfer := b.take(team, t, ask, reserve); transfer != nil {
				return transfer
			}
		}
		// What the reserve has, the asker takes by itself.
		lacks, wants := ask.Missing.Minus(reserve), ask.Wanted.Minus(reserve)
		reserve = reserve.Minus(ask.Wanted)
		spare := b.spareFor(t, ask)
		amount := wants.Min(spare)
		if ask.shard == b.shard || int(ask.shard) >= b.shards || amount.IsZero() || b.now().Sub(t.gaveAt) < giveEvery {
			continue
		}
		// A part of what a task or gang lacks goes only to the first of all.
		if spare.Covers(lacks) || place == 0 {
			t.gaveAt = b.now()
			next, err := t.ledger.Give(b.shard, ask.shard, amount)
			return b.transfer(team, t, fmt.Sprintf("given to shard %d", ask.shard), next, amount, err).servedTo(ask)
		}
	}
	return nil
}

// take takes from the reserve what this shard's demand lacks: at least what one task
// or a whole gang does.
func (b *Book) take(team string, t *teamBook, ask asker, reserve Amount) *Transfer {
	amount := ask.Wanted.Min(reserve)
	if amount.IsZero() || !reserve.Covers(ask.Missing) {
		return nil
	}
	next, err := t.ledger.Take(b.shard, amount)
	return b.transfer(team, t, "taken from the reserve", next, Amount{}, err).servedTo(ask)
}

// servedTo notes whose demand the transfer serves, if there is one.
func (t *Transfer) servedTo(ask asker) *Transfer {
	if t != nil {
		t.rank = ask
	}
	return t
}

// transfer notes a transition to send; none if it is not allowed.
func (b *Book) transfer(team string, t *teamBook, what string, next Ledger, withheld Amount, err error) *Transfer {
	if err != nil {
		return nil
	}
	first := asker{Ask: Ask{Rank: Rank{Guaranteed: true, Priority: math.MaxInt}}}
	return &Transfer{Team: team, What: what, next: next, base: t.revision, withheld: withheld, rank: first}
}

// Settle takes in what became of a transfer. Without an answer it stays under way, and what
// it takes from this shard stays withheld, until a newer revision of the ledger is known.
func (b *Book) Settle(transfer *Transfer, at ids.Epoch, err error) {
	t := b.team(transfer.Team)
	if t.transfer != transfer {
		return // a newer revision has settled it
	}
	var conflict *state.Conflict
	switch {
	case err == nil:
		raw, _ := json.Marshal(transfer.next)
		b.learnLedger(transfer.Team, state.Change{Put: LedgerKey(transfer.Team), Value: raw, Revision: ids.Revision(at)})
	case errors.As(err, &conflict) && !transfer.sent, errors.Is(err, state.ErrRefused) && !transfer.sent:
		t.transfer = nil // surely not applied; news of what is stored follows
	case errors.Is(err, state.ErrMalformed):
		t.transfer, t.fault = nil, fmt.Errorf("the ledger of team %s can't be stored: %w", transfer.Team, err)
	default:
		transfer.sent = true
	}
}

// postpone takes back a transfer that was never sent: it is decided anew when there are
// changes of the state service to spare.
func (b *Book) postpone(transfer *Transfer) {
	if t := b.team(transfer.Team); t.transfer == transfer && !transfer.sent {
		t.transfer = nil
	}
}
