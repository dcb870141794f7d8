package fleet

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/claim"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// yard lets rented machines come up when told.
type yard struct {
	b    *claim.ClusterState
	c    *fake.Cloud
	born map[string]time.Time
	tick ids.Tick
}

// step reports for all that came up; up tells how long a machine's boot takes, 0
// for never.
func (y *yard) step(up func(name string, born time.Duration) time.Duration) {
	y.tick++
	gone := map[string]bool{}
	for _, g := range y.c.Gone() {
		gone[g] = true
	}
	for _, names := range y.c.Hires() {
		for _, name := range names {
			if _, ok := y.born[name]; !ok {
				y.born[name] = time.Now()
			}
			start := y.born[name]
			if boot := up(name, start.Sub(y.born["start"])); !gone[name] && boot > 0 && time.Since(start) >= boot {
				y.b.ReconcileHeartbeat(&worker.Report{Machine: ids.Machine(name), Addr: name + ":1", Type: "small", Zone: "north", Session: 1, Tick: y.tick}, true, true)
			}
		}
	}
}

func (y *yard) rented() (n int) {
	for _, names := range y.c.Hires() {
		n += len(names)
	}
	return n
}

func boots(t *testing.T, secs int, up func(string, time.Duration) time.Duration, each func(s int, y *yard)) {
	synctest.Test(t, func(t *testing.T) {
		_, c, b, _, k := setup(500)
		b.HandleRecord("job-1", 1, job("job-1", 12), time.Now())
		y := &yard{b: b, c: c, born: map[string]time.Time{"start": time.Now()}}
		for s := range secs {
			k.Step(context.Background())
			b.Plan(time.Now())
			y.step(up)
			each(s, y)
			time.Sleep(time.Second)
		}
	})
}

func TestWhenAllBootsAreSlowTheSameNeedIsNotRentedAgainAndAgain(t *testing.T) {
	// Guards against giving machines up by their type's nominal time on a night when
	// all take many times as long: they were returned before they could come up, and
	// rented anew, for ever. After it boots are as usual, and some that were rented
	// in it never come.
	slow := func(name string, born time.Duration) time.Duration {
		if born < 100*time.Second {
			return 200 * time.Second
		}
		return 30 * time.Second
	}
	boots(t, 400, slow, func(s int, y *yard) {
		switch s {
		case 150:
			if n := y.rented(); n > 14 || len(y.c.Gone()) > 0 {
				t.Errorf("%d rented for 12 tasks, %d given up while all are slow", n, len(y.c.Gone()))
			}
		case 230:
			if n := y.b.Summary()["placed"]; n != 12 {
				t.Errorf("%v of 12 tasks placed once they were up", n)
			}
		case 399:
			if n := y.rented(); n > 30 {
				t.Errorf("%d rented in all", n)
			}
			if up := y.rented() - len(y.c.Gone()); up != 12 {
				t.Errorf("%d machines stay for 12 tasks", up)
			}
		}
	})
}

func TestAMachineThatNeverComesIsReplacedThenReturned(t *testing.T) {
	// Two of the first never come, and one of those rented in their place.
	dead := map[string]bool{"host-000003": true, "host-000007": true, "host-000013": true}
	boots(t, 400, func(name string, _ time.Duration) time.Duration {
		if dead[name] {
			return 0
		}
		return 30 * time.Second
	}, func(s int, y *yard) {
		switch s {
		case 55:
			if n := y.rented(); n != 12 {
				t.Errorf("%d rented for 12 tasks while two are still expected", n)
			}
		case 110:
			if n := y.b.Summary()["placed"]; n.(int) < 11 {
				t.Errorf("%v of 12 tasks placed, though the late were to be replaced", n)
			}
		case 399:
			if n := y.rented(); n > 12+len(dead)+1 {
				t.Errorf("%d rented for 12 tasks", n)
			}
			gone := fmt.Sprint(y.c.Gone())
			if len(y.c.Gone()) != len(dead) {
				t.Errorf("returned %s", gone)
			}
		}
	})
}

func TestALatecomerIsUsedOrReturned(t *testing.T) {
	// It joins after the one rented in its place: nobody needs it by then.
	boots(t, 330, func(name string, _ time.Duration) time.Duration {
		if name == "host-000003" {
			return 100 * time.Second
		}
		return 45 * time.Second
	}, func(s int, y *yard) {
		if s == 329 {
			if up := y.rented() - len(y.c.Gone()); up != 12 {
				t.Errorf("%d machines stay for 12 tasks: %v returned of %d", up, y.c.Gone(), y.rented())
			}
		}
	})
}
