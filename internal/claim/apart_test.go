package claim_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

func TestAMachineWhoseBeatsFindNoWay(t *testing.T) {
	// Found by a day with half as many machines again: the controllers had no
	// sockets left for new workers, which answered questions all the same.
	story(t, func(t *testing.T, w *world) {
		w.listed = true
		w.start("a")
		w.start("b")
		time.Sleep(90 * time.Second) // older owners' grace is over
		w.net.SetRule(func(from, _ string, _ *http.Request, _ []byte) fake.Fate {
			if strings.HasPrefix(from, "m1:") {
				return fake.Refuse
			}
			return fake.Deliver
		})
		w.worker("m1", "north")
		w.until(5*time.Second, "the owner found it", func() bool { return w.owner().pool.Book().Summary()["heard"] == 1 })
		w.submit("a", spec("job-1", "array", 1))
		w.until(3*time.Second, "it runs", func() bool { return len(w.on("job-1/0")) == 1 })
		w.worker("m2", "north")
		w.hold(12*time.Second, "once, until the worker's lease ends", func() bool { return len(w.on("job-1/0")) == 1 && w.worn("m2").Started("job-1/0") == 0 })
		w.until(25*time.Second, "then elsewhere", func() bool { return w.worn("m2").Started("job-1/0") == 1 })
	})
}
