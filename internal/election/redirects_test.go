package election

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestRedirectsToAnEarlierLeaderDoNotCountAgainstTheCurrentOne(t *testing.T) {
	t.Parallel()
	// Guards against new leaders that resign a few seconds after their takeover because of workers that had
	// been redirected to a crashed predecessor, or had reported to this node since.
	synctest.Test(t, func(t *testing.T) {
		redirects := newRedirectTracker()
		redirects.record("m1", "b")
		time.Sleep(3 * time.Second)
		if got := redirects.overdue("b"); len(got) != 1 {
			t.Errorf("overdue workers after the arrival time: %v, want m1", got)
		}
		if got := redirects.overdue("c"); len(got) != 0 {
			t.Errorf("overdue workers include %v, redirected to an earlier leader", got)
		}
		redirects.record("m1", "c")
		time.Sleep(time.Second)
		if got := redirects.overdue("c"); len(got) != 0 {
			t.Errorf("overdue workers include %v before the arrival time", got)
		}
		redirects.record("m1", "c")
		if got := redirects.overdue("c"); len(got) != 1 {
			t.Errorf("overdue workers after a second redirect: %v, want m1", got)
		}
	})
}
