package quota

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/pebbletrail/pebbletrail/internal/state"
)

// Keys of the state service.
const (
	// Prefix is what all keys of this package begin with.
	Prefix         = "quota/"
	ledgerPrefix   = Prefix + "team/"
	requestsPrefix = Prefix + "ask/"
)

// formVersion is the version of the stored forms that this program writes and reads.
const formVersion = 1

// LedgerKey is where a team's ledger is stored. Team names may hold spaces, keys may not.
func LedgerKey(team string) string { return ledgerPrefix + url.PathEscape(team) }

// RequestsKey is where a shard's requests are stored.
func RequestsKey(shard Shard) string { return requestsPrefix + strconv.Itoa(int(shard)) }

// CheckStored tells why one of the stored ledgers can't be used with so many shards, with
// ErrBadLedger; nil if all can.
func CheckStored(entries []state.Entry, shards int) error {
	for _, entry := range entries {
		name, found := strings.CutPrefix(entry.Key, ledgerPrefix)
		if !found {
			continue
		}
		if _, err := decodeLedger(entry.Value, shards); err != nil {
			return fmt.Errorf("%w: of team %s: %v", ErrBadLedger, name, err)
		}
	}
	return nil
}

// decodeLedger reads a stored ledger and checks that it can be used.
func decodeLedger(raw json.RawMessage, shards int) (*Ledger, error) {
	ledger := &Ledger{}
	if err := json.Unmarshal(raw, ledger); err != nil {
		return nil, err
	}
	if err := ledger.Check(shards); err != nil {
		return nil, err
	}
	return ledger, nil
}
