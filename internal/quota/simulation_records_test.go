package quota_test

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/quota"
)

// simulatedWorkers records the tasks that run on the workers of all shards. It checks the team's limit each
// time a task starts.
type simulatedWorkers struct {
	mu            sync.Mutex
	limits        map[string]placement.Resources
	fencingTokens map[quota.Shard]int // the highest generation known of each shard's leaders
	running       map[string]task
	ended         map[string]bool
	started       int
	breach        string
	grantDelays   []time.Duration
}

// start starts a task, unless it has started before or the command is from a leader that was replaced.
func (w *simulatedWorkers) start(shard quota.Shard, generation int, t task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, again := w.running[t.ID]; again || w.ended[t.ID] || generation < w.fencingTokens[shard] {
		return
	}
	w.running[t.ID] = t
	w.started++
	w.grantDelays = append(w.grantDelays, time.Since(t.submittedAt))
	sum := placement.Resources{}
	for _, other := range w.running {
		if other.Team == t.Team {
			sum = sum.Plus(other.Need)
		}
	}
	if limit := w.limits[t.Team]; !limit.Holds(sum) {
		w.breach = fmt.Sprintf("team %s uses %v of %v after the start of %s", t.Team, sum, limit, t.ID)
	}
	time.AfterFunc(t.duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.running, t.ID)
		w.ended[t.ID] = true
	})
}

// fence rejects later commands from leaders of a generation below the given one.
func (w *simulatedWorkers) fence(shard quota.Shard, generation int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fencingTokens[shard] = max(w.fencingTokens[shard], generation)
}

// status reports whether a task is not running, which is final once its shard was fenced, and whether
// it has run to its end.
func (w *simulatedWorkers) status(id string) (gone, ended bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, running := w.running[id]
	return !running, w.ended[id]
}

// storeChecker checks after each change of the store that the recorded tasks of a shard use no more than
// the shard's allowance. The store applies one transaction after another, so the order of the changes is
// the order in which transfers and grants took effect, whichever leader made them.
type storeChecker struct {
	mu        sync.Mutex
	ledgers   map[string]quota.Ledger
	used      map[string]map[quota.Shard]quota.Amount
	tasks     map[string]task
	violation string
	checks    int
}

func newStoreChecker() *storeChecker {
	return &storeChecker{ledgers: map[string]quota.Ledger{}, used: map[string]map[quota.Shard]quota.Amount{}, tasks: map[string]task{}}
}

// applyChange applies one change of the store and checks the result. A nil value is a removal.
func (c *storeChecker) applyChange(key string, value json.RawMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, team := range []string{"red", "blue"} {
		if key == quota.LedgerKey(team) {
			var ledger quota.Ledger
			c.decode(key, value, &ledger)
			c.ledgers[team] = ledger
			c.checkTeam(team, key)
		}
	}
	var shard quota.Shard
	if n, _ := fmt.Sscanf(key, "task/%d/", &shard); n != 1 {
		return
	}
	previous, found := c.tasks[key]
	if found {
		c.addUsage(previous, shard, -1)
		delete(c.tasks, key)
	}
	if value == nil {
		return
	}
	var record task
	c.decode(key, value, &record)
	c.tasks[key] = record
	c.addUsage(record, shard, 1)
	c.checkTeam(record.Team, key)
}

// decode decodes a stored value. A value that can't be decoded counts as a violation.
func (c *storeChecker) decode(key string, value json.RawMessage, target any) {
	if err := json.Unmarshal(value, target); err != nil && c.violation == "" {
		c.violation = fmt.Sprintf("%s can't be read: %v", key, err)
	}
}

// addUsage adds a task's resources to its team's usage in a shard, or subtracts them if sign is -1.
func (c *storeChecker) addUsage(t task, shard quota.Shard, sign int64) {
	if c.used[t.Team] == nil {
		c.used[t.Team] = map[quota.Shard]quota.Amount{}
	}
	sum := c.used[t.Team][shard]
	for r, amount := range quota.AmountOf(t.Need) {
		sum[r] += sign * amount
	}
	sum[quota.Memory] = 0 // the simulation does not limit memory
	c.used[t.Team][shard] = sum
}

// result returns the first violation, if any, and the number of checks. It holds the lock because the
// store may still be changing.
func (c *storeChecker) result() (violation string, checks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violation, c.checks
}

func (c *storeChecker) checkTeam(team, key string) {
	ledger := c.ledgers[team]
	for shard, account := range ledger.Accounts {
		c.checks++
		if used := c.used[team][quota.Shard(shard)]; ledger.AllRegistered() && !account.Allowance.Covers(used) && c.violation == "" {
			c.violation = fmt.Sprintf("after the change of %s shard %d has stored tasks of team %s that use %v of an allowance of %v", key, shard, team, used, account.Allowance)
		}
	}
}

// result returns the last breach of a limit, if any, and the number of tasks that ran to their end.
func (w *simulatedWorkers) result() (breach string, ended int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.breach, len(w.ended)
}
