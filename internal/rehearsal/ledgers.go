package rehearsal

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pebbletrail/pebbletrail/internal/quota"
)

// recordLedger records a change if it changed a team's ledger.
func (c *localCluster) recordLedger(key string, value json.RawMessage) {
	team, found := strings.CutPrefix(key, quota.LedgerKey(""))
	var ledger quota.Ledger
	if !found || json.Unmarshal(value, &ledger) != nil {
		return
	}
	c.record(Event{Kind: LedgerChanged, Team: team, Why: describeLedger(&ledger)})
}

// describeLedger describes how a team's limit is split among shards and the reserve.
func describeLedger(l *quota.Ledger) string {
	parts := make([]string, 0, len(l.Accounts)+2)
	for shard, account := range l.Accounts {
		parts = append(parts, fmt.Sprintf("shard %d: %s", shard, amountText(account.Allowance)))
	}
	parts = append(parts, "reserve: "+amountText(l.Reserve))
	if !l.Overcommitted.IsZero() {
		parts = append(parts, "above the limit: "+amountText(l.Overcommitted))
	}
	return strings.Join(parts, "; ")
}

func amountText(a quota.Amount) string {
	room := a.Room()
	if room.Accels == 0 {
		return fmt.Sprintf("%g cores", room.Cores)
	}
	return fmt.Sprintf("%g cores, %g accelerators", room.Cores, room.Accels)
}
