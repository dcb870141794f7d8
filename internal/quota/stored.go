package quota

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/state"
)

// Keys of the state service.
const (
	// Prefix is what all keys of this package begin with.
	Prefix       = "quota/"
	ledgerPrefix = Prefix + "team/"
	asksPrefix   = Prefix + "ask/"
)

// LedgerKey is where a team's ledger is stored. Team names may hold spaces, keys may not.
func LedgerKey(team string) string { return ledgerPrefix + url.PathEscape(team) }

// AsksKey is where a shard's asks are stored.
func AsksKey(shard Shard) string { return asksPrefix + strconv.Itoa(int(shard)) }

// CheckStored tells why one of the stored ledgers can't be used with so many shards; nil if
// all can.
func CheckStored(entries []state.Entry, shards int) error {
	for _, e := range entries {
		name, found := strings.CutPrefix(e.Key, ledgerPrefix)
		if !found {
			continue
		}
		ledger := Ledger{}
		err := json.Unmarshal(e.Value, &ledger)
		if err == nil {
			err = ledger.Check(shards)
		}
		if err != nil {
			return fmt.Errorf("%w: of team %s: %v", ErrBadLedger, name, err)
		}
	}
	return nil
}

// Learn takes in a stored value that is new to this leader, or the news that there is none
// any more, in the order of their revisions. Keys of others are passed over.
func (b *Book) Learn(change state.Change) {
	if name, found := strings.CutPrefix(change.Key(), ledgerPrefix); found {
		if team, err := url.PathUnescape(name); err == nil {
			b.learnLedger(team, change)
		}
	}
	if name, found := strings.CutPrefix(change.Key(), asksPrefix); found {
		if shard, err := strconv.Atoi(name); err == nil {
			b.learnAsks(Shard(shard), change)
		}
	}
}

// learnLedger replaces what is known of a team's ledger. One that can't be used, or that went
// away, stops all grants to the team and is never repaired by guessing.
func (b *Book) learnLedger(team string, change state.Change) {
	t := b.team(team)
	if change.Revision <= t.revision {
		return
	}
	t.revision = change.Revision
	t.ledger, t.fault = nil, nil
	if change.Put == "" {
		t.fault = fmt.Errorf("the ledger of team %s was removed", team)
	} else if err := b.readLedger(t, change.Value); err != nil {
		t.fault = fmt.Errorf("the ledger of team %s can't be used: %w", team, err)
	}
	// Whatever was under way was conditional on the revision before this one.
	if t.transfer != nil && change.Revision > t.transfer.base {
		t.transfer = nil
	}
}

func (b *Book) readLedger(t *teamBook, raw json.RawMessage) error {
	ledger := &Ledger{}
	if err := json.Unmarshal(raw, ledger); err != nil {
		return err
	}
	if err := ledger.Check(b.shards); err != nil {
		return err
	}
	if !ledger.Accounts[b.shard].Allowance.Minus(t.allowance()).IsZero() {
		t.receivedAt = b.now()
	}
	t.ledger = ledger
	return nil
}

// noteAsked notes since when each team's allowance has been asked back.
func (b *Book) noteAsked() {
	for name, t := range b.teams {
		if _, found := b.asks[b.shard][name]; !found {
			t.askedAt = time.Time{}
		} else if t.askedAt.IsZero() {
			t.askedAt = b.now()
		}
	}
}

// learnAsks replaces what a shard asks for. Asks only make transfers happen, so what can't
// be read is taken for no ask.
func (b *Book) learnAsks(shard Shard, change state.Change) {
	if change.Revision <= b.asksRevision[shard] {
		return
	}
	b.asksRevision[shard] = change.Revision
	asks := Asks{}
	if change.Put != "" && json.Unmarshal(change.Value, &asks) != nil {
		asks = Asks{}
	}
	b.asks[shard] = asks.Teams
	if shard == b.shard {
		b.askedAt = b.now()
		b.noteAsked()
	}
}
