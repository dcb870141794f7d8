package quota

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Faults returns, for operators, one line for each team whose ledger is unusable or whose usage exceeds
// its allowance.
func (t *Tracker) Faults() []string {
	var faults []string
	for _, name := range slices.Sorted(maps.Keys(t.teams)) {
		quota := t.teams[name]
		switch {
		case quota.fault != nil:
			faults = append(faults, quota.fault.Error())
		case quota.exceedsAllowance():
			faults = append(faults, fmt.Sprintf("team %s uses %v of an allowance of %v at shard %d",
				name, quota.usage.rounded, quota.allowance(), t.shard))
		}
	}
	return faults
}

// Explain returns, for users, why the team's quota keeps its jobs pending in this shard. The text is
// empty if the quota is not the reason.
func (t *Tracker) Explain(team string) string {
	limit := t.limits[team]
	if t.shards == 1 {
		return "team " + team + " is at its limit"
	}
	quota := t.team(team)
	ledger := quota.ledger
	switch {
	case quota.fault != nil:
		return quota.fault.Error() + "; nothing new of the team starts until an operator has looked at it"
	case !t.loaded:
		return "the ledgers of the teams' limits are being read"
	case ledger == nil && limit.IsUnlimited():
		return ""
	case ledger == nil || !ledger.AllRegistered():
		return "team " + team + ": not all shards have told what the team uses since its limit came into force"
	case !ledger.Overcommitted.IsZero():
		return fmt.Sprintf("the limit of team %s was lowered to %v while more was in use; nothing new starts until enough has ended", team, ledger.Limit)
	}
	return t.explainLargestHolder(team, quota)
}

// explainLargestHolder returns which other shard holds the most of the team's allowance, and whether this
// shard has requested some of it.
func (t *Tracker) explainLargestHolder(team string, quota *teamQuota) string {
	largest, holder := int64(0), Shard(-1)
	for i, account := range quota.ledger.Accounts {
		amount := account.Allowance[Cores] + account.Allowance[Accelerators]
		if shard := Shard(i); shard != t.shard && amount > largest {
			largest, holder = amount, shard
		}
	}
	if holder < 0 {
		return "team " + team + " is at its limit"
	}
	requested := "not asked back yet"
	if !quota.requestedSince.IsZero() {
		requested = fmt.Sprintf("asked back %v ago", t.now().Sub(quota.requestedSince).Round(time.Second))
	}
	return fmt.Sprintf("its team's allowance is held by shard %d, %s", holder, requested)
}
