package quota_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// leaseTime is the time for which a leader of the simulation leads after the last successful renewal of
// its lease.
const leaseTime = 1500 * time.Millisecond

// task is one task of the simulation.
type task struct {
	ID          string              `json:"id"`
	Team        string              `json:"team"`
	Need        placement.Resources `json:"need"`
	Priority    int                 `json:"priority"`
	duration    time.Duration
	submittedAt time.Time
}

// simulation runs several controllers with the shards that they lead and the workers.
type simulation struct {
	t       *testing.T
	ctx     context.Context
	network *fake.Network
	store   *fake.Store
	workers *simulatedWorkers
	limits  map[string]quota.Limit
	// withoutLedger injects a fault: each leader grants up to the team's whole limit, and counts only
	// the usage in its own shard.
	withoutLedger bool

	mu           sync.Mutex
	queues       map[quota.Shard][]task // submitted tasks that have not ended
	pauses       map[string]time.Time   // time until which each controller is paused
	incarnations int
}

const shardCount = 3

// setLimit changes a team's limit in the settings of controllers that start later.
func (s *simulation) setLimit(team string, limit placement.Resources) {
	s.workers.mu.Lock()
	s.workers.limits[team] = limit
	s.workers.mu.Unlock()
	limits := maps.Clone(s.limits)
	limits[team] = quota.LimitOf(limit.Cores, limit.Accels)
	s.limits = limits
}

// simulate runs f with a new simulation under a fake clock.
func simulate(t *testing.T, f func(s *simulation)) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := &simulation{t: t, ctx: ctx, network: fake.NewNetwork(), store: fake.NewStore(),
			workers: &simulatedWorkers{limits: map[string]placement.Resources{}, fencingTokens: map[quota.Shard]int{}, running: map[string]task{}, ended: map[string]bool{}},
			limits:  map[string]quota.Limit{}, queues: map[quota.Shard][]task{}, pauses: map[string]time.Time{}}
		s.network.Listen("state:1", s.store)
		s.setLimit("red", placement.Resources{Cores: 8, Accels: 4, RAM: 1e9})
		s.setLimit("blue", placement.Resources{Cores: 6, Accels: 100, RAM: 1e9})
		f(s)
		cancel()
		time.Sleep(5 * time.Minute)
		synctest.Wait()
	})
}

// submit queues a task at a shard.
func (s *simulation) submit(shard quota.Shard, t task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.submittedAt = time.Now()
	s.queues[shard] = append(s.queues[shard], t)
}

// pause makes a controller block in waitWhilePaused for a duration.
func (s *simulation) pause(node string, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pauses[node] = time.Now().Add(duration)
}

// waitWhilePaused blocks while the controller is paused.
func (s *simulation) waitWhilePaused(node string) {
	s.mu.Lock()
	until := s.pauses[node]
	s.mu.Unlock()
	time.Sleep(time.Until(until))
}

// controller is one controller process. It runs until its context is done.
type controller struct {
	*simulation
	name       string
	startedAt  ids.Timestamp
	client     *state.Client
	watchCache *state.WatchCache
	mu         sync.Mutex
	terms      map[quota.Shard]*term
}

// start starts a controller and returns a function that kills it.
func (s *simulation) start(name string) context.CancelFunc {
	ctx, cancel := context.WithCancel(s.ctx)
	s.incarnations++
	c := &controller{simulation: s, name: name, startedAt: ids.TimestampOf(time.Now()), terms: map[quota.Shard]*term{},
		client: state.NewClient("state:1", s.network.Client(name), state.NewBudget(2000, 1000, 5, 0.5))}
	c.watchCache = state.NewWatchCache(c.client, quota.Prefix, 50*time.Millisecond)
	c.watchCache.OnChange(func(change state.Change) {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, t := range c.terms {
			t.tracker.Apply(change)
		}
	})
	go c.watchCache.Run(ctx)
	for shard := range quota.Shard(shardCount) {
		go c.lead(ctx, shard, s.incarnations)
	}
	return cancel
}

// term is one term of a shard's leader.
type term struct {
	controller *controller
	shard      quota.Shard
	generation int
	fence      state.Condition
	lease      ids.Lease
	tracker    *quota.Tracker
	rebalancer *quota.Rebalancer
	renewedAt  atomic.Int64    // time of the last renewal of the lease, in nanoseconds
	tasks      map[string]task // tasks that are recorded or may be
}

func (t *term) key(id string) string { return fmt.Sprintf("task/%d/%s", t.shard, id) }

// lead repeatedly campaigns for the shard, and leads it after each success.
func (c *controller) lead(ctx context.Context, shard quota.Shard, incarnation int) {
	for ctx.Err() == nil {
		c.waitWhilePaused(c.name)
		if t := c.campaign(ctx, shard, incarnation); t != nil {
			t.run(ctx)
			c.mu.Lock()
			delete(c.terms, shard)
			c.mu.Unlock()
		}
		time.Sleep(time.Duration(200+37*incarnation+11*int(shard)) * time.Millisecond)
	}
}

// decode decodes a stored value. Only controllers write these values, so a failure is a test error.
func (c *controller) decode(value json.RawMessage, target any) {
	if err := json.Unmarshal(value, target); err != nil {
		c.t.Errorf("controller %s: decoding stored value %s: %v", c.name, value, err)
	}
}

// campaign acquires the shard's lease and loads the stored tasks, ledgers and requests. It returns nil if
// that fails.
func (c *controller) campaign(ctx context.Context, shard quota.Shard, incarnation int) *term {
	leader, generation := fmt.Sprintf("lead/%d", shard), fmt.Sprintf("generation/%d", shard)
	stored, _, err := c.client.Get(ctx, generation, state.Urgent)
	if err != nil {
		return nil
	}
	lastGeneration := 0
	if stored.Value != nil {
		c.decode(stored.Value, &lastGeneration)
	}
	sentAt := time.Now()
	lease, err := c.client.GrantLease(ctx, leaseTime)
	if err != nil {
		return nil
	}
	at, err := c.client.Commit(ctx, state.Txn{
		Conditions: []state.Condition{{Key: leader}, {Key: generation, Revision: stored.Revision}},
		Ops:        []state.Op{{Put: leader, Value: []byte(fmt.Sprint(incarnation)), Lease: lease}, {Put: generation, Value: []byte(fmt.Sprint(lastGeneration + 1))}},
	}, state.Urgent)
	if err != nil {
		return nil
	}
	t := &term{controller: c, shard: shard, generation: lastGeneration + 1, fence: state.Condition{Key: generation, Revision: ids.Revision(at)}, lease: lease,
		tasks: map[string]task{}, tracker: quota.NewTracker(shard, shardCount, c.limits, c.startedAt)}
	t.renewedAt.Store(sentAt.UnixNano())
	t.rebalancer = quota.NewRebalancer(t.tracker, c.client, &c.mu, func() state.Condition { return t.fence })
	c.workers.fence(shard, t.generation)
	c.mu.Lock()
	c.terms[shard] = t // before the listing, so that the tracker misses no change
	c.mu.Unlock()
	records, _, recordsErr := c.client.ListAll(ctx, t.key(""), state.Urgent)
	entries, _, quotaErr := c.client.ListAll(ctx, quota.Prefix, state.Urgent)
	c.mu.Lock()
	defer c.mu.Unlock()
	if recordsErr != nil || quotaErr != nil {
		delete(c.terms, shard)
		return nil
	}
	for _, entry := range records {
		var record task
		c.decode(entry.Value, &record)
		t.tasks[record.ID] = record
		t.tracker.AddUsage(record.Team, record.Need)
	}
	t.tracker.Load(entries)
	return t
}

// run leads the shard until the lease may have expired.
func (t *term) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		for ctx.Err() == nil && time.Since(time.Unix(0, t.renewedAt.Load())) < leaseTime {
			t.controller.waitWhilePaused(t.controller.name)
			sentAt := time.Now()
			if err := t.controller.client.RenewLease(ctx, t.lease); err == nil {
				t.renewedAt.Store(sentAt.UnixNano())
			} else if errors.Is(err, state.ErrNoLease) {
				return
			}
			time.Sleep(leaseTime / 5)
		}
	}()
	go t.rebalancer.Run(ctx, 100*time.Millisecond)
	for ctx.Err() == nil {
		t.reconcile(ctx)
		if !t.grantTasks(ctx) {
			return // this leader was replaced, or its context is done
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// reconcile removes the records of tasks that certainly no longer run.
func (t *term) reconcile(ctx context.Context) {
	t.controller.mu.Lock()
	var ended []task
	for _, record := range t.tasks {
		if stopped, _ := t.controller.workers.status(record.ID); stopped {
			ended = append(ended, record)
		}
	}
	t.controller.mu.Unlock()
	for _, record := range ended {
		if _, err := t.controller.client.Commit(ctx, state.Txn{Conditions: []state.Condition{t.fence}, Ops: []state.Op{{Remove: t.key(record.ID)}}}, state.Urgent); err != nil {
			return
		}
		t.controller.mu.Lock()
		delete(t.tasks, record.ID)
		t.tracker.RemoveUsage(record.Team, record.Need)
		t.controller.mu.Unlock()
	}
}

// grantTasks starts queued tasks of the shard in order, as far as the allowances of their teams permit.
// It reports whether this leader may continue.
func (t *term) grantTasks(ctx context.Context) bool {
	for _, next := range t.selectTasks() {
		encoded, _ := json.Marshal(next)
		var err error
		for {
			t.controller.waitWhilePaused(t.controller.name) // between the decision and its write
			_, err = t.controller.client.Commit(ctx, state.Txn{Conditions: []state.Condition{t.fence}, Ops: []state.Op{{Put: t.key(next.ID), Value: encoded}}}, state.Urgent)
			if err == nil || ctx.Err() != nil || !errors.Is(err, state.ErrOutcomeUnknown) && !errors.Is(err, state.ErrRefused) {
				break
			}
		}
		if err != nil {
			return false // the shard's next leader starts the task
		}
		t.controller.waitWhilePaused(t.controller.name) // between the write and the command to the worker
		t.controller.workers.start(t.shard, t.generation, next)
	}
	return true
}

// selectTasks returns the tasks to start, adds them to the usage and passes the demands of the others to
// the tracker.
func (t *term) selectTasks() (selected []task) {
	t.controller.mu.Lock()
	defer t.controller.mu.Unlock()
	t.controller.simulation.mu.Lock()
	defer t.controller.simulation.mu.Unlock()
	var remaining []task
	demands := map[string]quota.Demand{}
	for _, next := range t.controller.queues[t.shard] {
		if _, ended := t.controller.workers.status(next.ID); ended {
			continue
		}
		remaining = append(remaining, next)
		if _, recorded := t.tasks[next.ID]; recorded {
			continue
		}
		available := t.tracker.Available(next.Team)
		if t.controller.withoutLedger {
			available = t.controller.workers.limits[next.Team].Minus(t.tracker.Usage(next.Team))
		}
		if _, blocked := demands[next.Team]; !blocked && available.Holds(next.Need) {
			t.tracker.AddUsage(next.Team, next.Need)
			t.tasks[next.ID] = next
			selected = append(selected, next)
			continue
		}
		demand, found := demands[next.Team]
		if !found {
			demand = quota.Demand{Unit: quota.AmountOf(next.Need), Rank: quota.Rank{Priority: next.Priority, Since: ids.TimestampOf(next.submittedAt)}}
		}
		demand.Total = demand.Total.Plus(quota.AmountOf(next.Need))
		demands[next.Team] = demand
	}
	t.controller.queues[t.shard] = remaining
	t.tracker.SetDemands(demands)
	return selected
}

// submitMany submits tasks of all teams to all shards, in rounds. All tasks of a round are submitted at
// the same instant.
func (s *simulation) submitMany(rng *rand.Rand, rounds int) {
	for round := range rounds {
		for shard := range quota.Shard(shardCount) {
			for team := range s.limits {
				need := placement.Resources{Cores: float64(1 + rng.IntN(3)), RAM: 1}
				if team == "red" && rng.IntN(3) == 0 {
					need = placement.Resources{Cores: 0.5, Accels: float64(1 + rng.IntN(2))}
				}
				s.submit(shard, task{ID: fmt.Sprintf("%s-%d-%d", team, round, shard), Team: team, Need: need, Priority: rng.IntN(2),
					duration: time.Duration(500+rng.IntN(2500)) * time.Millisecond})
			}
		}
		time.Sleep(time.Duration(rng.IntN(1200)) * time.Millisecond)
	}
}

// awaitAll waits until the given number of tasks have run to their end, and reports an error if that
// takes longer than within.
func (s *simulation) awaitAll(tasks int, within time.Duration) {
	s.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(time.Second) {
		if _, ended := s.workers.result(); ended == tasks {
			return
		}
	}
	_, ended := s.workers.result()
	s.t.Errorf("%d of %d tasks ran to their end; queued tasks: %v", ended, tasks, s.queues)
	for _, key := range []string{quota.LedgerKey("red"), quota.LedgerKey("blue"), quota.RequestsKey(0), quota.RequestsKey(1), quota.RequestsKey(2)} {
		s.t.Errorf("stored value of %s: %s", key, s.store.Value(key))
	}
}
