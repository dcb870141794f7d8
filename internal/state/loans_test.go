package state

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"
)

func TestLentTokensAreNeverUsedByLenderAndBorrower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		const writeLimit = 50
		idle, busy := NewBudget(1000, writeLimit, 2, 0.6), NewBudget(1000, writeLimit, 2, 0.6)
		idle.RecordLeadershipChange(true)
		useAllTokens := func(budget *Budget, priority Priority) (used int) {
			for budget.acquire(cancelledContext(ctx), priority, 1) == nil {
				if used++; used > 1000 {
					t.Fatal("more than 1000 writes were allowed at once")
				}
			}
			return used
		}
		useAllTokens(busy, Sheddable) // use up the initial tokens of both buckets
		useAllTokens(idle, Sheddable)
		stepAndSleep := func(step func()) {
			step()
			time.Sleep(100 * time.Millisecond)
		}
		total, busyTotal := 0, 0
		for range 20 * 10 {
			stepAndSleep(func() {
				// One node is busy, the other idle; they exchange loans once a second.
				used := useAllTokens(busy, Sheddable)
				busyTotal, total = busyTotal+used, total+used
				if time.Now().UnixMilli()%1000 < 100 {
					sent := time.Now()
					busy.AddBorrowed(idle.Lend(busy.UnmetDemand()), sent)
				}
			})
		}
		ownWrites := int(math.Floor(0.4 * writeLimit / 2 * headroom * 20))
		if busyTotal < ownWrites*3/2 {
			t.Errorf("%d writes in 20 s with loans, want at least one and a half times its own %d", busyTotal, ownWrites)
		}
		// When the nodes can't reach one another, the loan expires and each uses only its own part.
		time.Sleep(3 * time.Second)
		useAllTokens(busy, Sheddable)
		busyTotal = 0
		for range 50 {
			stepAndSleep(func() { busyTotal += useAllTokens(busy, Sheddable) })
		}
		if maxWrites := int(math.Floor(0.4*writeLimit/2*headroom*5)) + 2; busyTotal > maxWrites {
			t.Errorf("%d writes in 5 s after the loan expired, want at most %d", busyTotal, maxWrites)
		}
		// The total of both nodes stays below the limit.
		total = 0
		for i := range 10 * 10 {
			stepAndSleep(func() {
				total += useAllTokens(busy, Sheddable) + useAllTokens(idle, Sheddable)
				for idle.acquire(cancelledContext(ctx), Urgent, 1) == nil {
					total++
				}
				if i%10 == 0 {
					sent := time.Now()
					busy.AddBorrowed(idle.Lend(busy.UnmetDemand()), sent)
					idle.AddBorrowed(busy.Lend(idle.UnmetDemand()), sent)
				}
			})
		}
		if total > writeLimit*11 {
			t.Errorf("%d writes of both nodes in 10 s, with a limit of %d per second", total, writeLimit)
		}
	})
}
