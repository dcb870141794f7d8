package rollout

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// BenchmarkPlan measures the time to plan a rollout of all machines; docs/drains.md has the results.
func BenchmarkPlan(b *testing.B) {
	for _, machines := range []int{50, 500, 6000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			f := newFakeFleet(machines)
			spec := allMachinesSpec("spring")
			spec.WaveSize = max(1, machines/20)
			for b.Loop() {
				if _, err := NewPlan(spec, f, time.Now()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func TestWritesScaleWithWavesNotMachines(t *testing.T) {
	// Each rollout has twenty waves for any fleet size: the number of writes must depend on waves and
	// parts, not on machines.
	for _, machines := range []int{50, 500, 6000} {
		runHarness(t, machines, func(h *harness) {
			h.startLeader("b")
			spec := allMachinesSpec("spring")
			spec.Replace, spec.Surge, spec.WaveSize = true, true, (machines+19)/20
			if _, err := h.service.Start(h.ctx, spec); err != nil {
				t.Fatal(err)
			}
			h.awaitState("spring", Ended, 20*time.Minute)
			synctest.Wait()
			if n := h.store.Epoch(); n > 400 {
				t.Errorf("%d transactions for %d machines, want at most 400", n, machines)
			}
			t.Logf("%d machines: %d transactions", machines, h.store.Epoch())
		})
	}
}
