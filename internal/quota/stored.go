package quota

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// Keys of the state service.
const (
	// Prefix is the prefix of all keys of this package.
	Prefix         = "quota/"
	ledgerPrefix   = Prefix + "team/"
	requestsPrefix = Prefix + "ask/"
)

// formatVersion is the version of the stored formats that this program writes, and the newest that it reads.
const formatVersion = 1

// LedgerKey returns the key of a team's ledger. The team name is escaped, because team names may contain
// spaces but keys may not.
func LedgerKey(team string) string { return ledgerPrefix + url.PathEscape(team) }

// RequestsKey returns the key of a shard's requests.
func RequestsKey(shard Shard) string { return requestsPrefix + strconv.Itoa(int(shard)) }

// CheckStored checks that all ledgers among the entries can be used with the given number of shards. It
// returns an error that wraps ErrBadLedger for the first one that can't.
func CheckStored(entries []state.Entry, shards int) error {
	for _, entry := range entries {
		name, found := strings.CutPrefix(entry.Key, ledgerPrefix)
		if !found {
			continue
		}
		if _, err := decodeLedger(entry.Value, shards); err != nil {
			return fmt.Errorf("%w: team %s: %v", ErrBadLedger, name, err)
		}
	}
	return nil
}

// decodeLedger decodes a stored ledger and checks that it can be used with the given number of shards.
func decodeLedger(raw json.RawMessage, shards int) (*Ledger, error) {
	ledger := &Ledger{}
	if err := exactjson.Unmarshal(raw, ledger); err != nil {
		return nil, err
	}
	if err := ledger.Check(shards); err != nil {
		return nil, err
	}
	return ledger, nil
}
