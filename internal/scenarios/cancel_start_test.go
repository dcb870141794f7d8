package scenarios

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

func TestLeaderPartitionedFromPeersReadsCancellationBeforeStart(t *testing.T) {
	t.Parallel()
	// Guards against a start sent after the user was told that the job is cancelled: the
	// marker is stored and its answer takes a while; meanwhile the other node reads it,
	// stores the cancel and tells the user, but can't tell the leader.
	scenario(t, func(t *testing.T, c *testCluster) {
		a := c.startNode("a")
		c.eventually(5*time.Second, "a owns the pool", func() bool { return a.elector.Cluster() != nil })
		c.startNode("b")
		c.startWorker("m1", "north")
		time.Sleep(10 * time.Second)
		c.network.SetDelay(func() time.Duration { return 390 * time.Millisecond })
		c.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			switch {
			case isBetween(from, to, "a", "b"):
				return fake.Refuse
			case transactionKind(r, body) == "marker":
				return fake.DelayResponse
			}
			return fake.Deliver
		})
		for i := range 16 { // at different moments of the leader's reading of the news
			id := fmt.Sprintf("job-%d", i+1)
			time.Sleep(3*time.Second + time.Duration(i)*25*time.Millisecond)
			c.submit("a", newJob(id, "array", 1))
			time.Sleep(50 * time.Millisecond) // the marker is stored
			if code, out := c.call("b", "POST", "/v2/runs/"+id+"/cancel", nil); code != 200 || out["status"] != "cancelled" {
				t.Fatalf("cancel answered %d %v", code, out)
			}
			time.Sleep(time.Second) // no user asks the leader, who would read the news for him
			if n := c.workerNamed("m1").StartCount(id + "/0"); n > 0 {
				t.Errorf("%s was started after its user was told", id)
			}
		}
		c.network.SetRule(nil)
		c.consistently(45*time.Second, "all gone", func() bool { return true })
	})
}
