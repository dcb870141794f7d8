package scenarios

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/election"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// TestQuotaHoldsAcrossFailingShardLeaders runs three shards, each with machines for twice the quota
// of its team, and checks the rules, including the one on quota, at each start. Jobs are submitted
// to all nodes at the same time, and some are cancelled. Leaders crash, have their requests
// rejected by the state service or lose responses, requests arrive once more up to a minute late, and once
// all crash.
func TestQuotaHoldsAcrossFailingShardLeaders(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			shardScenario(t, 4, func(t *testing.T, c *shardCluster) {
				rng := rand.New(rand.NewPCG(seed, 9))
				go c.completeRandomTasks("", 3, rand.New(rand.NewPCG(seed, 10)))
				time.Sleep(5 * time.Second)
				if leaders := c.leaders(); slices.Contains(leaders, "") {
					t.Fatalf("some shards have no leader after 5 s; leaders by shard: %q", leaders)
				}
				const jobs = 24
				for i := range jobs {
					id := fmt.Sprint("job-", i)
					job := newJob(id, "array", 1+rng.IntN(4))
					if i%6 == 0 {
						job["shape"], job["pieces"] = "gang", 3
					}
					c.submitToAny(i, job)
				}
				cancelled := map[string]bool{}
				copyDelays := newRandomSource(seed)
				c.network.SetDelay(func() time.Duration { return copyDelays.milliseconds(20, 60000) })
				for i := range 8 {
					time.Sleep(time.Duration(2+rng.IntN(6)) * time.Second)
					leader := c.leaders()[rng.IntN(c.shardCount)]
					switch {
					case leader == "":
					case i%4 == 0:
						c.stopNode(leader)
						time.Sleep(3 * time.Second)
						c.startNode(leader)
					case i%4 == 1:
						c.store.RefuseCaller(leader, true)
						time.Sleep(8 * time.Second)
						c.store.RefuseCaller(leader, false)
					case i%4 == 2:
						c.network.SetRule(fake.DuplicateChanges(fake.DuplicateLate, func() bool { return true }))
						time.Sleep(8 * time.Second)
						c.network.SetRule(nil)
					default:
						c.network.SetRule(func(from, _ string, r *http.Request, _ []byte) fake.Outcome {
							if from == leader && isCommit(r) {
								return fake.DropResponse
							}
							return fake.Deliver
						})
						time.Sleep(4 * time.Second)
						c.network.SetRule(nil)
					}
					id := fmt.Sprint("job-", rng.IntN(jobs))
					if code, out := c.call(fiveNodeNames[rng.IntN(5)], "POST", "/v2/runs/"+id+"/cancel", nil); code == 200 {
						cancelled[id] = out["status"] == "cancelled"
					}
					c.checkInvariants()
				}
				for _, name := range fiveNodeNames {
					c.stopNode(name)
				}
				time.Sleep(2 * time.Second)
				for _, name := range fiveNodeNames {
					c.startNode(name)
				}
				c.eventually(5*time.Minute, "every node reports every job's end", func() bool {
					for i := range jobs {
						id := fmt.Sprint("job-", i)
						want := "done"
						if cancelled[id] {
							want = "cancelled"
						}
						if c.status(fiveNodeNames[i%5], id) != want {
							return false
						}
					}
					return true
				})
			})
		})
	}
}

// TestJobsDependOnJobsOfOtherShards runs a chain of jobs across shards, each of which depends on
// the one before. It then cancels a job in the middle of a second chain, and checks that its
// dependents are cancelled.
func TestJobsDependOnJobsOfOtherShards(t *testing.T) {
	t.Parallel()
	shardScenario(t, 2, func(t *testing.T, c *shardCluster) {
		time.Sleep(5 * time.Second)
		submitChain := func(first int) (jobIDs []string) {
			for i := range 6 {
				job := newJob(fmt.Sprint("job-", first+i), "array", 1)
				if i > 0 {
					job.dependingOn(jobIDs[i-1])
				}
				jobIDs = append(jobIDs, job.id())
				c.submitToAny(i, job)
			}
			return jobIDs
		}
		shards := map[ids.Shard]bool{}
		for _, id := range submitChain(100) {
			shards[ids.ShardOf(ids.Job(id), c.shardCount)] = true
			c.eventually(20*time.Second, id+" runs", func() bool { return c.isRunning(id + "/0") })
			c.workerNamed(c.machinesRunning(id + "/0")[0]).EndTask(id+"/0", "done")
		}
		if len(shards) != c.shardCount {
			t.Fatalf("the chain of jobs spans only %d shards", len(shards))
		}
		secondChain := submitChain(200)
		c.eventually(20*time.Second, "the first runs", func() bool { return c.isRunning(secondChain[0] + "/0") })
		c.eventually(10*time.Second, "the cancellation is confirmed", func() bool {
			code, _ := c.call("b", "POST", "/v2/runs/"+secondChain[2]+"/cancel", nil)
			return code == 200
		})
		c.workerNamed(c.machinesRunning(secondChain[0] + "/0")[0]).EndTask(secondChain[0]+"/0", "done")
		c.eventually(20*time.Second, "the job before the cancelled one runs", func() bool {
			return c.isRunning(secondChain[1] + "/0")
		})
		for _, id := range secondChain[2:] {
			c.eventually(10*time.Second, id+" is reported as cancelled", func() bool {
				return c.status("d", id) == "cancelled"
			})
		}
		c.eventually(30*time.Second, "their outcomes are stored", func() bool { return c.store.CountKeys("job/wait/") == 0 })
	})
}

// TestUnknownMachineBelongsToOneShardOnlyAfterProvisioning checks that no machine is commanded by
// two leaders. While a provisioning request is unanswered, an unknown machine that sends heartbeats
// belongs to no shard, because the answer may name the machine and so assign it to a shard.
func TestUnknownMachineBelongsToOneShardOnlyAfterProvisioning(t *testing.T) {
	t.Parallel()
	shardScenario(t, 1, func(t *testing.T, c *shardCluster) {
		time.Sleep(5 * time.Second)
		key := record.KeysOf(2, c.shardCount).ProvisioningRequests() + "h-s2-1-1"
		c.storeValue(key, map[string]any{"hire": "h-s2-1-1", "count": 1})
		for _, name := range []string{"provisioned", "unknown"} {
			worker := c.startWorker(name, "north")
			worker.ControllerNames, worker.Controllers = fiveNodeNames, apiAddresses(fiveNodeNames)
		}
		owners := func(machine ids.Machine) (shards []int) {
			for _, n := range c.nodes {
				for shard := range c.shardCount {
					if n.shards.Owns(ids.Shard(shard), machine) && !slices.Contains(shards, shard) {
						shards = append(shards, shard)
					}
				}
			}
			return shards
		}
		time.Sleep(5 * time.Second)
		if provisioned, unknown := owners("provisioned"), owners("unknown"); len(provisioned)+len(unknown) > 0 {
			t.Fatalf("while the provisioning request is unanswered, the provisioned machine belongs to shards %v, the unknown one to %v", provisioned, unknown)
		}
		c.storeValue(key, map[string]any{"hire": "h-s2-1-1", "count": 1, "hosts": []string{"provisioned"}})
		time.Sleep(5 * time.Second)
		if provisioned, unknown := owners("provisioned"), owners("unknown"); !slices.Equal(provisioned, []int{2}) || !slices.Equal(unknown, []int{0}) {
			t.Errorf("after the answer, the provisioned machine belongs to shards %v, the unknown one to %v", provisioned, unknown)
		}
	})
}

// TestShardLeadershipIsSpreadAndHandedBack checks that the shards are spread over three
// controllers, that a single remaining controller leads all shards, and that it hands shards back
// when the other controllers have restarted.
func TestShardLeadershipIsSpreadAndHandedBack(t *testing.T) {
	t.Parallel()
	shardScenario(t, 1, func(t *testing.T, c *shardCluster) {
		isSpread := func() bool {
			leaderOf := c.leaders()
			return !slices.Contains(leaderOf, "") && leaderOf[0] != leaderOf[1] && leaderOf[1] != leaderOf[2] && leaderOf[0] != leaderOf[2]
		}
		c.eventually(time.Minute, "each of three controllers leads a shard", isSpread)
		for _, name := range []string{"a", "b", "d", "e"} {
			c.stopNode(name)
		}
		c.eventually(time.Minute, "the only controller leads all shards", func() bool {
			return slices.Equal(c.leaders(), []string{"c", "c", "c"})
		})
		for _, name := range []string{"a", "b", "d", "e"} {
			c.startNode(name)
		}
		c.eventually(2*time.Minute, "the shards are spread again", isSpread)
	})
}

// TestStoreWithDifferentShardLayoutIsRejected checks that controllers do not lead on a store that
// was written with another number of shards, or by a newer version.
func TestStoreWithDifferentShardLayoutIsRejected(t *testing.T) {
	t.Parallel()
	shardScenario(t, 1, func(t *testing.T, c *shardCluster) {
		time.Sleep(5 * time.Second)
		// A controller of a version with only one shard never leads on this store.
		oneShardNode := c.testCluster.startNode("a")
		time.Sleep(20 * time.Second)
		if oneShardNode.elector.Term() != nil {
			t.Error("a controller with one shard leads on a store with three shards")
		}
		c.shardCount = 2
		node := c.startNode("e")
		time.Sleep(2 * time.Second)
		if !errors.Is(node.startupError, election.ErrLayoutMismatch) || !strings.Contains(node.startupError.Error(), "3, not 2") {
			t.Errorf("startup error of a controller with two shards on a store with three: got %v, want a layout mismatch", node.startupError)
		}
		c.shardCount = 3
		c.stopNode("d")
		c.storeValue(quota.LedgerKey("red"), map[string]any{"form": 9})
		node = c.startNode("d")
		time.Sleep(2 * time.Second)
		if !errors.Is(node.startupError, quota.ErrBadLedger) || !strings.Contains(node.startupError.Error(), "newer form") {
			t.Errorf("startup error on a store with a quota ledger of a newer version: got %v, want a bad ledger", node.startupError)
		}
	})
	scenario(t, func(t *testing.T, single *testCluster) {
		single.startNode("a")
		single.startWorker("m1", "north")
		time.Sleep(8 * time.Second)
		single.submit("a", newJob("job-1", "array", 1))
		c := &shardCluster{testCluster: single, shardCount: 3, nodes: map[string]*shardNode{}}
		node := c.startNode("e")
		time.Sleep(2 * time.Second)
		if !errors.Is(node.startupError, election.ErrJobsStored) {
			t.Errorf("startup error of a controller with three shards on a store with a job of one shard: got %v, want stored jobs", node.startupError)
		}
	})
}
