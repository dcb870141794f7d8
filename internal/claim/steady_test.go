package claim

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// mixed is a fleet of as many spot machines as ordinary ones.
func mixed(n int) *Book {
	b := testBook()
	for i := range 2 * n {
		b.Observe(&worker.Report{Machine: ids.Machine(fmt.Sprintf("host-%06d", i)), Addr: fmt.Sprintf("h%d:1", i), Type: "small", Zone: "north",
			Spot: i%2 == 1, Session: 1, Tick: 1, Token: 7}, true, true)
	}
	return b
}

// onSpot counts a job's tasks on spot machines.
func (b *Book) onSpot(id ids.Job) (n int) {
	for _, p := range b.jobs[id].places {
		if b.roster.Machines[p.Machine].Spot {
			n++
		}
	}
	return n
}

func TestWhatADeadlineOfAPipelineHangsOnRunsOnOrdinaryMachines(t *testing.T) {
	// Guards against stages that lose tasks with spot machines while ordinary ones have
	// room: a stage is over with its last task only, and the next one waits for it.
	for _, shape := range []Shape{Array, Gang} {
		for _, c := range []struct {
			name   string
			awaits bool        // the job itself is the last of a pipeline
			due    ids.Seconds // of the last one
			steady bool
		}{
			{"a first stage", false, 100, true},
			{"a first stage without a deadline", false, 0, false},
			{"the last stage", true, 100, true},
		} {
			synctest.Test(t, func(t *testing.T) {
				b, now := mixed(12), time.Now()
				r := rec("job-1", "blue", Normal, 8, 3)
				r.Spec.Spot, r.Spec.Shape, r.Spec.ImageGB = true, shape, 0
				if c.awaits {
					r.Spec.Awaits, r.Spec.Due = []ids.Job{"job-0"}, c.due
				}
				b.Learn("job-1", 1, r, now)
				if !c.awaits {
					b.LearnWaiting("job-2", 2, waits("job-2", Normal, c.due, "job-1"), now)
				}
				b.Plan(now)
				if n := len(b.jobs["job-1"].places); n != 8 {
					t.Fatalf("%s %s: %d of 8 tasks placed", c.name, shape, n)
				}
				switch spot := b.onSpot("job-1"); {
				case c.steady && spot > 1: // of an array a few machines are sampled
					t.Errorf("%s (%s): %d tasks are on spot machines", c.name, shape, spot)
				case !c.steady && spot < 7:
					t.Errorf("%s (%s): only %d tasks are on spot machines", c.name, shape, spot)
				}
			})
		}
	}
}
