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

func TestACancelWhileTheOwnerIsCutOffWithAZone(t *testing.T) {
	// Found on a day with a zone cut off in which the owner was: it went on
	// answering the zone's workers, and what a user had cancelled through another
	// node ran beyond the time allowed for that.
	story(t, func(t *testing.T, w *world) {
		w.start("a")
		w.start("b")
		w.worker("m1", "north")
		time.Sleep(10 * time.Second)
		w.submit("a", spec("job-1", "standing", 1))
		w.until(4*time.Second, "it runs", func() bool { return len(w.on("job-1/0")) == 1 })
		in := w.owner().name
		out := map[string]string{"a": "b", "b": "a"}[in]
		w.net.SetRule(func(from, to string, _ *http.Request, _ []byte) fake.Fate {
			inside := func(h string) bool { return h == in || strings.HasPrefix(h, in+":") || strings.HasPrefix(h, "m1:") }
			if inside(from) != inside(to) {
				return fake.Hold
			}
			return fake.Deliver
		})
		w.until(20*time.Second, "told cancelled", func() bool {
			code, _ := w.call(out, "POST", "/v2/runs/job-1/cancel", nil)
			return code == 200
		})
		told := time.Now()
		w.until(40*time.Second, "it is gone within cancel_s", func() bool { return len(w.on("job-1/0")) == 0 })
		if d := time.Since(told); d < 15*time.Second {
			t.Errorf("gone after %v: work in the zone did not go on for a while", d)
		}
	})
}
