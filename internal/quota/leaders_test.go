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
	"net/http"
	"slices"
	"strings"
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

// leaseTime is how long a leader of the simulation leads after its last good renewal.
const leaseTime = 1500 * time.Millisecond

// task is one task of the simulation.
type task struct {
	ID       string         `json:"id"`
	Team     string         `json:"team"`
	Need     placement.Room `json:"need"`
	Priority int            `json:"priority"`
	runs     time.Duration
	since    time.Time
}

// workers is the workers' own record of what runs, in all shards. It checks the limits at
// each start.
type workers struct {
	mu      sync.Mutex
	limit   map[string]placement.Room
	token   map[quota.Shard]int // the highest generation seen
	running map[string]task
	ended   map[string]bool
	started int
	breach  string
	waits   []time.Duration
}

// start begins a task unless its order is from a leader that was replaced.
func (w *workers) start(shard quota.Shard, generation int, t task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, again := w.running[t.ID]; again || w.ended[t.ID] || generation < w.token[shard] {
		return
	}
	w.running[t.ID] = t
	w.started++
	w.waits = append(w.waits, time.Since(t.since))
	sum := placement.Room{}
	for _, other := range w.running {
		if other.Team == t.Team {
			sum = sum.Plus(other.Need)
		}
	}
	if limit := w.limit[t.Team]; !limit.Holds(sum) {
		w.breach = fmt.Sprintf("team %s uses %v of %v after the start of %s", t.Team, sum, limit, t.ID)
	}
	time.AfterFunc(t.runs, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.running, t.ID)
		w.ended[t.ID] = true
	})
}

// fence turns away what leaders before a generation may still send.
func (w *workers) fence(shard quota.Shard, generation int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.token[shard] = max(w.token[shard], generation)
}

// gone tells whether a task is surely not running, once its shard was fenced, and whether
// it has run.
func (w *workers) gone(id string) (gone, ended bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, running := w.running[id]
	return !running, w.ended[id]
}

// storedOrder checks, in the order in which the store carries changes out, that what is
// recorded of a shard's tasks never takes more than the shard's allowance. The store
// applies one transaction after the other, so that order is the one in which transfers and
// grants took effect, whoever decided them when.
type storedOrder struct {
	mu      sync.Mutex
	ledgers map[string]quota.Ledger
	used    map[string]map[quota.Shard]quota.Amount
	tasks   map[string]task
	illegal string
	checked int
}

func newStoredOrder() *storedOrder {
	return &storedOrder{ledgers: map[string]quota.Ledger{}, used: map[string]map[quota.Shard]quota.Amount{}, tasks: map[string]task{}}
}

// change takes in one change; a nil value is a removal.
func (o *storedOrder) change(key string, value json.RawMessage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, team := range []string{"red", "blue"} {
		if key == quota.LedgerKey(team) {
			var ledger quota.Ledger
			json.Unmarshal(value, &ledger)
			o.ledgers[team] = ledger
			o.check(team, key)
		}
	}
	var shard quota.Shard
	if n, _ := fmt.Sscanf(key, "task/%d/", &shard); n != 1 {
		return
	}
	was, there := o.tasks[key]
	if there {
		o.account(was, shard, -1)
		delete(o.tasks, key)
	}
	if value == nil {
		return
	}
	var record task
	json.Unmarshal(value, &record)
	o.tasks[key] = record
	o.account(record, shard, 1)
	o.check(record.Team, key)
}

// account adds what a task takes to its team's use, or takes it off.
func (o *storedOrder) account(t task, shard quota.Shard, sign int64) {
	if o.used[t.Team] == nil {
		o.used[t.Team] = map[quota.Shard]quota.Amount{}
	}
	sum := o.used[t.Team][shard]
	for r, amount := range quota.AmountOf(t.Need) {
		sum[r] += sign * amount
	}
	sum[quota.Memory] = 0 // not limited here
	o.used[t.Team][shard] = sum
}

// verdict is the first state found that must not be, and how many were checked. The store goes
// on changing while the test reads this.
func (o *storedOrder) verdict() (illegal string, checked int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.illegal, o.checked
}

func (o *storedOrder) check(team, key string) {
	ledger := o.ledgers[team]
	for shard, account := range ledger.Accounts {
		o.checked++
		if used := o.used[team][quota.Shard(shard)]; ledger.Open() && !account.Allowance.Covers(used) && o.illegal == "" {
			o.illegal = fmt.Sprintf("after the change of %s shard %d has stored tasks of team %s that use %v of an allowance of %v", key, shard, team, used, account.Allowance)
		}
	}
}

// simulation is several controllers, the shards they lead and their workers.
type simulation struct {
	t       *testing.T
	ctx     context.Context
	net     *fake.Net
	store   *fake.Store
	workers *workers
	limits  map[string]quota.Limit
	// withoutLedger plants a fault: leaders grant by the whole limit and their own use.
	withoutLedger bool

	mu     sync.Mutex
	queues map[quota.Shard][]task // all that has not ended
	pauses map[string]time.Time   // until when a controller stands still
	lives  int
}

const shardCount = 3

// record tells of a breach of a limit, and how many tasks ran to their end.
func (w *workers) record() (breach string, ended int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.breach, len(w.ended)
}

// setLimit changes a team's limit in the settings of controllers that start from now on.
func (s *simulation) setLimit(team string, limit placement.Room) {
	s.workers.mu.Lock()
	s.workers.limit[team] = limit
	s.workers.mu.Unlock()
	limits := maps.Clone(s.limits)
	limits[team] = quota.LimitOf(limit.Cores, limit.Accels)
	s.limits = limits
}

// simulate runs f under a clock of its own.
func simulate(t *testing.T, f func(s *simulation)) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := &simulation{t: t, ctx: ctx, net: fake.NewNet(), store: fake.NewStore(),
			workers: &workers{limit: map[string]placement.Room{}, token: map[quota.Shard]int{}, running: map[string]task{}, ended: map[string]bool{}},
			limits:  map[string]quota.Limit{}, queues: map[quota.Shard][]task{}, pauses: map[string]time.Time{}}
		s.net.Listen("state:1", s.store)
		s.setLimit("red", placement.Room{Cores: 8, Accels: 4, RAM: 1e9})
		s.setLimit("blue", placement.Room{Cores: 6, Accels: 100, RAM: 1e9})
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
	t.since = time.Now()
	s.queues[shard] = append(s.queues[shard], t)
}

// pause lets a controller stand still wherever it is.
func (s *simulation) pause(node string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pauses[node] = time.Now().Add(d)
}

// stand is where a controller may be stopped for a while.
func (s *simulation) stand(node string) {
	s.mu.Lock()
	until := s.pauses[node]
	s.mu.Unlock()
	time.Sleep(time.Until(until))
}

// controller is one process; it ends with its context.
type controller struct {
	*simulation
	name    string
	started ids.Wall
	client  *state.Client
	mirror  *state.Mirror
	mu      sync.Mutex
	terms   map[quota.Shard]*term
}

// start starts a controller, and returns how to kill it.
func (s *simulation) start(name string) context.CancelFunc {
	ctx, cancel := context.WithCancel(s.ctx)
	s.lives++
	c := &controller{simulation: s, name: name, started: ids.WallOf(time.Now()), terms: map[quota.Shard]*term{},
		client: state.NewClient("state:1", s.net.Client(name), state.NewBudget(2000, 1000, 5, 0.5))}
	c.mirror = state.NewMirror(c.client, quota.Prefix, 50*time.Millisecond)
	c.mirror.NotifyChanges(func(change state.Change) {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, t := range c.terms {
			t.book.Learn(change)
		}
	})
	go c.mirror.Run(ctx)
	for shard := range quota.Shard(shardCount) {
		go c.lead(ctx, shard, s.lives)
	}
	return cancel
}

// term is one spell of leading a shard.
type term struct {
	c          *controller
	shard      quota.Shard
	generation int
	fence      state.Condition
	lease      ids.Lease
	book       *quota.Book
	exchange   *quota.Exchange
	renewed    atomic.Int64    // when, in nanoseconds
	tasks      map[string]task // recorded, and what may be there
}

func (t *term) key(id string) string { return fmt.Sprintf("task/%d/%s", t.shard, id) }

// lead takes the shard over whenever it has no leader.
func (c *controller) lead(ctx context.Context, shard quota.Shard, life int) {
	for ctx.Err() == nil {
		c.stand(c.name)
		if t := c.campaign(ctx, shard, life); t != nil {
			t.run(ctx)
			c.mu.Lock()
			delete(c.terms, shard)
			c.mu.Unlock()
		}
		time.Sleep(time.Duration(200+37*life+11*int(shard)) * time.Millisecond)
	}
}

func (c *controller) campaign(ctx context.Context, shard quota.Shard, life int) *term {
	leader, generation := fmt.Sprintf("lead/%d", shard), fmt.Sprintf("generation/%d", shard)
	last, _, err := c.client.Get(ctx, generation, state.Urgent)
	if err != nil {
		return nil
	}
	number := 0
	json.Unmarshal(last.Value, &number)
	sent := time.Now()
	lease, err := c.client.NewLease(ctx, leaseTime)
	if err != nil {
		return nil
	}
	at, err := c.client.Commit(ctx, state.Txn{
		When: []state.Condition{{Key: leader}, {Key: generation, Revision: last.Revision}},
		Then: []state.Op{{Put: leader, Value: []byte(fmt.Sprint(life)), Lease: lease}, {Put: generation, Value: []byte(fmt.Sprint(number + 1))}},
	}, state.Urgent)
	if err != nil {
		return nil
	}
	t := &term{c: c, shard: shard, generation: number + 1, fence: state.Condition{Key: generation, Revision: ids.Revision(at)}, lease: lease,
		tasks: map[string]task{}, book: quota.NewBook(shard, shardCount, c.limits, c.started)}
	t.renewed.Store(sent.UnixNano())
	t.exchange = quota.NewExchange(t.book, c.client, &c.mu, func() state.Condition { return t.fence })
	c.workers.fence(shard, t.generation)
	c.mu.Lock()
	c.terms[shard] = t // news counts from before the listing on
	c.mu.Unlock()
	records, _, err := c.client.ListAll(ctx, t.key(""), state.Urgent)
	entries, _, err2 := c.client.ListAll(ctx, quota.Prefix, state.Urgent)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || err2 != nil {
		delete(c.terms, shard)
		return nil
	}
	for _, e := range records {
		var record task
		json.Unmarshal(e.Value, &record)
		t.tasks[record.ID] = record
		t.book.Use(record.Team, record.Need)
	}
	t.book.Load(entries)
	return t
}

// run leads until the lease may have ended.
func (t *term) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		for ctx.Err() == nil && time.Since(time.Unix(0, t.renewed.Load())) < leaseTime {
			t.c.stand(t.c.name)
			sent := time.Now()
			if err := t.c.client.RenewLease(ctx, t.lease); err == nil {
				t.renewed.Store(sent.UnixNano())
			} else if errors.Is(err, state.ErrNoLease) {
				return
			}
			time.Sleep(leaseTime / 5)
		}
	}()
	go t.exchange.Run(ctx, 100*time.Millisecond)
	for ctx.Err() == nil {
		t.settle(ctx)
		if !t.grant(ctx) {
			return // replaced, or ended
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// settle takes what surely ended off the records.
func (t *term) settle(ctx context.Context) {
	t.c.mu.Lock()
	var gone []task
	for _, record := range t.tasks {
		if isGone, _ := t.c.workers.gone(record.ID); isGone {
			gone = append(gone, record)
		}
	}
	t.c.mu.Unlock()
	for _, record := range gone {
		if _, err := t.c.client.Commit(ctx, state.Txn{When: []state.Condition{t.fence}, Then: []state.Op{{Remove: t.key(record.ID)}}}, state.Urgent); err != nil {
			return
		}
		t.c.mu.Lock()
		delete(t.tasks, record.ID)
		t.book.Free(record.Team, record.Need)
		t.c.mu.Unlock()
	}
}

// grant starts what the shard's queue and the team's allowance allow, the first first. It
// tells whether this leader may go on.
func (t *term) grant(ctx context.Context) bool {
	for _, next := range t.pick() {
		raw, _ := json.Marshal(next)
		var err error
		for {
			t.c.stand(t.c.name) // between deciding and writing
			_, err = t.c.client.Commit(ctx, state.Txn{When: []state.Condition{t.fence}, Then: []state.Op{{Put: t.key(next.ID), Value: raw}}}, state.Urgent)
			if err == nil || ctx.Err() != nil || !errors.Is(err, state.ErrUnknown) && !errors.Is(err, state.ErrRefused) {
				break
			}
		}
		if err != nil {
			return false // its next leader starts it
		}
		t.c.stand(t.c.name) // between writing and sending
		t.c.workers.start(t.shard, t.generation, next)
	}
	return true
}

// pick decides what to start, counts it as in use and tells the book what waits.
func (t *term) pick() (picked []task) {
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	t.c.simulation.mu.Lock()
	defer t.c.simulation.mu.Unlock()
	var left []task
	demands := map[string]quota.Demand{}
	for _, next := range t.c.queues[t.shard] {
		if _, ended := t.c.workers.gone(next.ID); ended {
			continue
		}
		left = append(left, next)
		if _, recorded := t.tasks[next.ID]; recorded {
			continue
		}
		room := t.book.Left(next.Team)
		if t.c.withoutLedger {
			room = t.c.workers.limit[next.Team].Minus(t.book.Used(next.Team))
		}
		if _, blocked := demands[next.Team]; !blocked && room.Holds(next.Need) {
			t.book.Use(next.Team, next.Need)
			t.tasks[next.ID] = next
			picked = append(picked, next)
			continue
		}
		demand, found := demands[next.Team]
		if !found {
			demand = quota.Demand{Unit: quota.AmountOf(next.Need), Rank: quota.Rank{Priority: next.Priority, Since: ids.WallOf(next.since)}}
		}
		demand.Total = demand.Total.Plus(quota.AmountOf(next.Need))
		demands[next.Team] = demand
	}
	t.c.queues[t.shard] = left
	t.book.SetDemands(demands)
	return picked
}

// flood submits tasks of both teams at all shards at the same instants.
func (s *simulation) flood(rng *rand.Rand, rounds int) {
	for round := range rounds {
		for shard := range quota.Shard(shardCount) {
			for team := range s.limits {
				need := placement.Room{Cores: float64(1 + rng.IntN(3)), RAM: 1}
				if team == "red" && rng.IntN(3) == 0 {
					need = placement.Room{Cores: 0.5, Accels: float64(1 + rng.IntN(2))}
				}
				s.submit(shard, task{ID: fmt.Sprintf("%s-%d-%d", team, round, shard), Team: team, Need: need, Priority: rng.IntN(2),
					runs: time.Duration(500+rng.IntN(2500)) * time.Millisecond})
			}
		}
		time.Sleep(time.Duration(rng.IntN(1200)) * time.Millisecond)
	}
}

// finish waits until all submitted tasks have run.
func (s *simulation) finish(tasks int, within time.Duration) {
	s.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(time.Second) {
		if _, ended := s.workers.record(); ended == tasks {
			return
		}
	}
	_, ended := s.workers.record()
	s.t.Errorf("%d of %d tasks ran; waiting: %v", ended, tasks, s.queues)
	for _, key := range []string{quota.LedgerKey("red"), quota.LedgerKey("blue"), quota.AsksKey(0), quota.AsksKey(1), quota.AsksKey(2)} {
		s.t.Errorf("%s: %s", key, s.store.Value(key))
	}
}

// isCommit tells whether a request of the network is a transaction.
func isCommit(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "/commit") }

func TestNoTeamExceedsItsLimitWhoeverFails(t *testing.T) {
	// Five controllers lead three shards and are flooded with tasks at the same instants,
	// while answers are lost, transactions are applied late, leaders stand still for longer
	// than their lease, are cut off from the state service, or die, and all of them at once.
	for seed := range uint64(4) {
		simulate(t, func(s *simulation) {
			rng := rand.New(rand.NewPCG(seed, 2))
			var mu sync.Mutex
			chance := func(n int) bool {
				mu.Lock()
				defer mu.Unlock()
				return rng.IntN(n) == 0
			}
			cut := ""
			s.net.SetRule(func(from, _ string, r *http.Request, _ []byte) fake.Fate {
				mu.Lock()
				isCut := from == cut
				mu.Unlock()
				switch {
				case isCut:
					return fake.Swallow
				case isCommit(r) && chance(25):
					return fake.LoseAnswer
				case isCommit(r) && chance(40):
					return fake.Late
				}
				return fake.Deliver
			})
			order := newStoredOrder()
			s.store.NotifyChanges(order.change)
			names := []string{"a", "b", "c", "d", "e"}
			kill := map[string]context.CancelFunc{}
			for _, name := range names {
				kill[name] = s.start(name)
			}
			faults := rand.New(rand.NewPCG(seed, 3))
			go func() {
				for range 12 {
					time.Sleep(time.Duration(1000+faults.IntN(3000)) * time.Millisecond)
					name := names[faults.IntN(len(names))]
					switch faults.IntN(5) {
					case 0:
						kill[name]()
						time.Sleep(time.Second)
						kill[name] = s.start(name)
					case 1, 2:
						s.pause(name, 2*leaseTime+time.Duration(faults.IntN(3000))*time.Millisecond)
					case 3:
						mu.Lock()
						cut = name
						mu.Unlock()
						time.Sleep(3 * time.Second)
						mu.Lock()
						cut = ""
						mu.Unlock()
					case 4:
						s.store.SetDown(true)
						time.Sleep(2 * time.Second)
						s.store.SetDown(false)
					}
				}
				for _, name := range names {
					kill[name]()
				}
				time.Sleep(time.Second)
				for _, name := range names {
					s.start(name)
				}
			}()
			const rounds = 30
			s.flood(rand.New(rand.NewPCG(seed, 4)), rounds)
			s.finish(rounds*shardCount*len(s.limits), 5*time.Minute)
			if breach, _ := s.workers.record(); breach != "" {
				t.Errorf("seed %d: %s", seed, breach)
			}
			if illegal, checked := order.verdict(); illegal != "" || checked == 0 {
				t.Errorf("seed %d: %d states checked: %s", seed, checked, illegal)
			}
		})
	}
}

func TestLimitsChangeWhileTheyAreInUse(t *testing.T) {
	// All controllers are lost and come back with other settings: after a limit was lowered
	// nothing starts until less is in use; after one was raised, or first set, all is used.
	names := []string{"a", "b", "c"}
	for name, limit := range map[string]placement.Room{
		"lowered": {Cores: 4, Accels: 2, RAM: 1e9}, "raised": {Cores: 12, Accels: 5, RAM: 1e9}, "none before": {Cores: 5, Accels: 4, RAM: 1e9},
	} {
		simulate(t, func(s *simulation) {
			if name == "none before" {
				s.setLimit("red", placement.Room{Cores: 0, Accels: 4, RAM: 1e9})
				s.workers.limit["red"] = placement.Room{Cores: 1e9, Accels: 4, RAM: 1e9}
			}
			var kills []context.CancelFunc
			for _, node := range names {
				kills = append(kills, s.start(node))
			}
			s.flood(rand.New(rand.NewPCG(5, 4)), 15)
			for _, kill := range kills {
				kill()
			}
			time.Sleep(500 * time.Millisecond)
			s.setLimit("red", limit)
			for _, node := range names {
				s.start(node)
			}
			s.finish(15*shardCount*len(s.limits), 3*time.Minute)
			if breach, _ := s.workers.record(); breach != "" {
				t.Errorf("%s: %s", name, breach)
			}
		})
	}
}

func TestAllowanceMovesSoonAndForFewChanges(t *testing.T) {
	// Without failures: what is idle at one shard is at another one within a second or two,
	// and a grant costs less than one change of the state service beside its marker.
	simulate(t, func(s *simulation) {
		var changes atomic.Int64
		s.net.SetRule(func(_, _ string, r *http.Request, body []byte) fake.Fate {
			if isCommit(r) && strings.Contains(string(body), `"put":"quota/`) {
				changes.Add(1)
			}
			return fake.Deliver
		})
		for _, name := range []string{"a", "b", "c"} {
			s.start(name)
		}
		time.Sleep(3 * time.Second)
		const moves = 12
		for i := range moves {
			// All of the limit, first here, then there.
			s.submit(quota.Shard(i%shardCount), task{ID: fmt.Sprint("move-", i), Team: "red", Need: placement.Room{Cores: 8}, runs: 100 * time.Millisecond})
			s.finish(i+1, 10*time.Second)
		}
		slowest := slices.Max(s.workers.waits)
		if slowest > 2*time.Second {
			t.Errorf("a demand was granted after %v", slowest)
		}
		moved := changes.Load()
		s.flood(rand.New(rand.NewPCG(7, 4)), 40)
		s.finish(moves+40*shardCount*len(s.limits), 3*time.Minute)
		grants := s.workers.started - moves
		if perGrant := float64(changes.Load()-moved) / float64(grants); perGrant > 1 {
			t.Errorf("%.2f changes a grant", perGrant)
		}
		slices.Sort(s.workers.waits)
		t.Logf("whole limits moved: %d changes for %d grants, at most %v from demand to grant", moved, moves, slowest)
		t.Logf("flood: %d changes for %d grants, half within %v", changes.Load()-moved, grants, s.workers.waits[len(s.workers.waits)/2])
	})
}

func TestTheRecordShowsAGrantWithoutTheLedger(t *testing.T) {
	// The planted fault that the check above has to notice.
	simulate(t, func(s *simulation) {
		s.withoutLedger = true
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			s.start(name)
		}
		s.flood(rand.New(rand.NewPCG(1, 4)), 10)
		if breach, _ := s.workers.record(); breach == "" {
			t.Error("grants without the ledger broke no limit")
		}
	})
}
