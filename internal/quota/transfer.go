package quota

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// Transfer is a transition of one ledger under way to the state service.
type Transfer struct {
	Team string
	// Reason names the transition, for the log.
	Reason string
	next   Ledger
	base   ids.Revision // of the ledger that it follows; 0: there was none
	// withheld is what it takes from this shard. It is not granted from before the transfer
	// is sent until it surely was not, and can no longer be, applied.
	withheld Amount
	request  shardRequest // which it serves
	// uncertain tells that it was sent without an answer: it may be sent again, and still
	// applies only once.
	uncertain bool
}

// Txn is the transfer's transaction. It applies only to the ledger that it was decided on,
// and only while this leader leads its shard, which fence is the condition for.
func (t *Transfer) Txn(fence state.Condition) (state.Txn, error) {
	encoded, err := json.Marshal(t.next)
	if err != nil {
		return state.Txn{}, fmt.Errorf("encode the ledger of team %s: %w", t.Team, err)
	}
	key := LedgerKey(t.Team)
	return state.Txn{
		Conditions: []state.Condition{{Key: key, Revision: t.base}, fence},
		Ops:        []state.Op{{Put: key, Value: encoded}},
	}, nil
}

// dueTransfers decides what to send now, at most one transfer a team, the first to be served
// first. Those without an answer come again: a transfer that is sent twice applies once, and
// any later change of the ledger keeps it from being applied late.
func (t *Tracker) dueTransfers() []*Transfer {
	if !t.loaded || t.shards == 1 {
		return nil
	}
	var transfers []*Transfer
	for _, name := range t.teamNames() {
		quota := t.team(name)
		if quota.transfer == nil && quota.fault == nil {
			quota.transfer = t.planTransfer(name, quota)
		}
		if quota.transfer != nil {
			transfers = append(transfers, quota.transfer)
		}
	}
	slices.SortStableFunc(transfers, func(x, y *Transfer) int { return x.request.compare(y.request) })
	return transfers
}

// recordOutcome takes in what became of a transfer. Without an answer it stays under way, and
// what it takes from this shard stays withheld, until a newer revision of the ledger is known.
func (t *Tracker) recordOutcome(transfer *Transfer, at ids.StoreRevision, err error) {
	quota := t.team(transfer.Team)
	if quota.transfer != transfer {
		return // a newer revision has settled it
	}
	var conflict *state.ConflictError
	refused := errors.As(err, &conflict) || errors.Is(err, state.ErrRefused)
	switch {
	case err == nil:
		encoded, _ := json.Marshal(transfer.next) // Txn has encoded the same ledger before
		t.applyLedger(transfer.Team, state.Change{Put: LedgerKey(transfer.Team), Value: encoded, Revision: ids.Revision(at)})
	case refused && !transfer.uncertain:
		quota.transfer = nil // surely not applied; a change tells what is stored
	case errors.Is(err, state.ErrMalformed):
		quota.transfer = nil
		quota.fault = fmt.Errorf("the ledger of team %s can't be stored: %w", transfer.Team, err)
	default:
		transfer.uncertain = true
	}
}

// postpone takes back a transfer that was never sent: it is decided anew when the write
// budget allows.
func (t *Tracker) postpone(transfer *Transfer) {
	if quota := t.team(transfer.Team); quota.transfer == transfer && !transfer.uncertain {
		quota.transfer = nil
	}
}
