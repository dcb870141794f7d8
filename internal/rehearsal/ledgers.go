package rehearsal

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
	"github.com/pebbletrail/pebbletrail/internal/quota"
)

// recordLedgerChange records a change if it changed a team's ledger.
func (c *localCluster) recordLedgerChange(key string, value json.RawMessage) {
	team, found := strings.CutPrefix(key, quota.LedgerKey(""))
	var ledger quota.Ledger
	if !found || exactjson.Unmarshal(value, &ledger) != nil {
		return
	}
	c.record(Event{Kind: LedgerChanged, Team: team, Why: describeLedger(&ledger)})
}

// describeLedger describes how a team's limit is split among shards and the reserve.
func describeLedger(l *quota.Ledger) string {
	parts := make([]string, 0, len(l.Accounts)+2)
	for shard, account := range l.Accounts {
		parts = append(parts, fmt.Sprintf("shard %d: %s", shard, formatAmount(account.Allowance)))
	}
	parts = append(parts, "reserve: "+formatAmount(l.Reserve))
	if !l.Overcommitted.IsZero() {
		parts = append(parts, "above the limit: "+formatAmount(l.Overcommitted))
	}
	return strings.Join(parts, "; ")
}

func formatAmount(a quota.Amount) string {
	room := a.Resources()
	if room.Accels == 0 {
		return fmt.Sprintf("%g cores", room.Cores)
	}
	return fmt.Sprintf("%g cores, %g accelerators", room.Cores, room.Accels)
}
