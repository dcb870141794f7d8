package quota_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/quota"
)

// isCommit reports whether an HTTP request commits a transaction.
func isCommit(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "/commit") }

func TestNoTeamExceedsItsLimitDuringFailures(t *testing.T) {
	// Guards against a team exceeding its limit while several leaders grant concurrently. Five
	// controllers lead three shards, and tasks are submitted to all shards at the same instants.
	// Meanwhile responses are lost, transactions are applied late, leaders pause for longer than
	// their lease, are partitioned from the state service or crash, the state service is down, and
	// finally all controllers are killed at once.
	for seed := range uint64(4) {
		simulate(t, func(s *simulation) {
			rng := rand.New(rand.NewPCG(seed, 2))
			var mu sync.Mutex
			oneIn := func(n int) bool {
				mu.Lock()
				defer mu.Unlock()
				return rng.IntN(n) == 0
			}
			partitioned := ""
			s.network.SetRule(func(from, _ string, r *http.Request, _ []byte) fake.Outcome {
				mu.Lock()
				isPartitioned := from == partitioned
				mu.Unlock()
				switch {
				case isPartitioned:
					return fake.Drop
				case isCommit(r) && oneIn(25):
					return fake.DropResponse
				case isCommit(r) && oneIn(40):
					return fake.Delay
				}
				return fake.Deliver
			})
			checker := newStoreChecker()
			s.store.NotifyChanges(checker.applyChange)
			names := []string{"a", "b", "c", "d", "e"}
			stops := map[string]context.CancelFunc{}
			for _, name := range names {
				stops[name] = s.start(name)
			}
			faults := rand.New(rand.NewPCG(seed, 3))
			go func() {
				for range 12 {
					time.Sleep(time.Duration(1000+faults.IntN(3000)) * time.Millisecond)
					name := names[faults.IntN(len(names))]
					switch faults.IntN(5) {
					case 0:
						stops[name]()
						time.Sleep(time.Second)
						stops[name] = s.start(name)
					case 1, 2:
						s.pause(name, 2*leaseTime+time.Duration(faults.IntN(3000))*time.Millisecond)
					case 3:
						mu.Lock()
						partitioned = name
						mu.Unlock()
						time.Sleep(3 * time.Second)
						mu.Lock()
						partitioned = ""
						mu.Unlock()
					case 4:
						s.store.SetDown(true)
						time.Sleep(2 * time.Second)
						s.store.SetDown(false)
					}
				}
				for _, name := range names {
					stops[name]()
				}
				time.Sleep(time.Second)
				for _, name := range names {
					s.start(name)
				}
			}()
			const rounds = 30
			s.submitMany(rand.New(rand.NewPCG(seed, 4)), rounds)
			s.awaitAll(rounds*shardCount*len(s.limits), 5*time.Minute)
			if breach, _ := s.workers.result(); breach != "" {
				t.Errorf("seed %d: %s", seed, breach)
			}
			if violation, checks := checker.result(); violation != "" || checks == 0 {
				t.Errorf("seed %d: %d checks of stored ledgers, violation %q", seed, checks, violation)
			}
		})
	}
}

func TestLimitChangesTakeEffectWhileInUse(t *testing.T) {
	// Guards against grants above a new limit, and against a raised limit that is never used. All
	// controllers are killed and restarted with a changed limit. After the limit was lowered, no
	// task starts until usage is below it; after it was raised, or set for the first time, all of
	// it is used.
	nodes := []string{"a", "b", "c"}
	for name, limit := range map[string]placement.Resources{
		"lowered":     {Cores: 4, Accels: 2, RAM: 1e9},
		"raised":      {Cores: 12, Accels: 5, RAM: 1e9},
		"none before": {Cores: 5, Accels: 4, RAM: 1e9},
	} {
		simulate(t, func(s *simulation) {
			if name == "none before" {
				s.setLimit("red", placement.Resources{Cores: 0, Accels: 4, RAM: 1e9})
				s.workers.limits["red"] = placement.Resources{Cores: 1e9, Accels: 4, RAM: 1e9}
			}
			var stops []context.CancelFunc
			for _, node := range nodes {
				stops = append(stops, s.start(node))
			}
			s.submitMany(rand.New(rand.NewPCG(5, 4)), 15)
			for _, kill := range stops {
				kill()
			}
			time.Sleep(500 * time.Millisecond)
			s.setLimit("red", limit)
			for _, node := range nodes {
				s.start(node)
			}
			s.awaitAll(15*shardCount*len(s.limits), 3*time.Minute)
			if breach, _ := s.workers.result(); breach != "" {
				t.Errorf("%s: %s", name, breach)
			}
		})
	}
}

func TestAllowanceMovesQuicklyWithFewWrites(t *testing.T) {
	// Guards against slow transfers and excessive writes, without failures. Idle allowance of one
	// shard is available to another within 2 seconds, and a grant costs at most one change of the
	// ledgers or requests in the state service, besides the task's own record.
	simulate(t, func(s *simulation) {
		var changes atomic.Int64
		s.network.SetRule(func(_, _ string, r *http.Request, body []byte) fake.Outcome {
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
			// Each task needs the whole limit of the team, at one shard after the other.
			s.submit(quota.Shard(i%shardCount), task{ID: fmt.Sprint("move-", i), Team: "red", Need: placement.Resources{Cores: 8}, duration: 100 * time.Millisecond})
			s.awaitAll(i+1, 10*time.Second)
		}
		slowest := slices.Max(s.workers.grantDelays)
		if slowest > 2*time.Second {
			t.Errorf("the slowest demand was granted after %v, want at most 2s", slowest)
		}
		changesForMoves := changes.Load()
		s.submitMany(rand.New(rand.NewPCG(7, 4)), 40)
		s.awaitAll(moves+40*shardCount*len(s.limits), 3*time.Minute)
		grants := s.workers.started - moves
		if perGrant := float64(changes.Load()-changesForMoves) / float64(grants); perGrant > 1 {
			t.Errorf("%.2f changes of ledgers and requests per grant, want at most 1", perGrant)
		}
		slices.Sort(s.workers.grantDelays)
		t.Logf("transfers of whole limits: %d changes for %d grants, at most %v from demand to grant", changesForMoves, moves, slowest)
		t.Logf("many tasks: %d changes for %d grants, median %v from demand to grant", changes.Load()-changesForMoves, grants, s.workers.grantDelays[len(s.workers.grantDelays)/2])
	})
}

func TestGrantsWithoutLedgerBreachLimits(t *testing.T) {
	// Leaders that grant by the whole limit, without the ledger, break a limit. This shows that the
	// check of the limits at each start detects such a fault.
	simulate(t, func(s *simulation) {
		s.withoutLedger = true
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			s.start(name)
		}
		s.submitMany(rand.New(rand.NewPCG(1, 4)), 10)
		if breach, _ := s.workers.result(); breach == "" {
			t.Error("no breach of a limit was recorded although leaders granted without the ledger")
		}
	})
}
