package quota

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// Transfer is a transition of one ledger that is planned or sent, and not settled yet.
type Transfer struct {
	Team string
	// Reason names the transition in log lines.
	Reason       string
	next         Ledger
	baseRevision ids.Revision // revision of the ledger that the transition starts from; 0: there was none
	// withheld is the amount that the transfer takes from this shard. The shard stops
	// granting it before the transfer is sent. It may grant it again once a newer ledger is known, or once
	// the transfer certainly was not applied and can no longer be.
	withheld Amount
	request  shardRequest // the request that the transfer serves
	// uncertain reports that the transfer was sent and its outcome is unknown. It may be sent again,
	// because it applies at most once.
	uncertain bool
}

// Txn returns the transfer's transaction. It applies only to the ledger revision that the transfer was
// planned from, and only while this leader leads its shard, for which fence is the condition.
func (t *Transfer) Txn(fence state.Condition) (state.Txn, error) {
	encoded, err := json.Marshal(t.next)
	if err != nil {
		return state.Txn{}, fmt.Errorf("encode the ledger of team %s: %w", t.Team, err)
	}
	key := LedgerKey(t.Team)
	return state.Txn{
		Conditions: []state.Condition{{Key: key, Revision: t.baseRevision}, fence},
		Ops:        []state.Op{{Put: key, Value: encoded}},
	}, nil
}

// dueTransfers returns the transfers to send now, highest-ranked first, at most one for each team. It
// includes transfers whose outcome is unknown: a transfer that is sent twice applies at most once, and
// any later change of the ledger prevents a delayed application.
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

// recordOutcome records the outcome of a transfer. If the outcome is unknown, the transfer stays pending
// and its amount stays withheld until a newer revision of the ledger is known.
func (t *Tracker) recordOutcome(transfer *Transfer, at ids.StoreRevision, err error) {
	quota := t.team(transfer.Team)
	if quota.transfer != transfer {
		return // a newer revision of the ledger has settled the transfer
	}
	var conflict *state.ConflictError
	refused := errors.As(err, &conflict) || errors.Is(err, state.ErrRefused)
	switch {
	case err == nil:
		encoded, _ := json.Marshal(transfer.next) // cannot fail: Txn has encoded the same ledger
		t.applyLedger(transfer.Team, state.Change{Put: LedgerKey(transfer.Team), Value: encoded, Revision: ids.Revision(at)})
	case refused && !transfer.uncertain:
		quota.transfer = nil // certainly not applied; Apply will provide the stored ledger
	case errors.Is(err, state.ErrMalformed):
		quota.transfer = nil
		quota.fault = fmt.Errorf("the ledger of team %s can't be stored: %w", transfer.Team, err)
	default:
		transfer.uncertain = true
	}
}

// postpone drops a transfer that was never sent, because the write budget was exhausted. A later call of
// dueTransfers plans it again.
func (t *Tracker) postpone(transfer *Transfer) {
	if quota := t.team(transfer.Team); quota.transfer == transfer && !transfer.uncertain {
		quota.transfer = nil
	}
}
