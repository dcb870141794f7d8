package state

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// newBudgets returns the budgets of the controllers of a small deployment. Each of five controllers may
// make 3.7 writes per second for its users, in bursts of four.
func newBudgets(controllers int) []*Budget {
	var budgets []*Budget
	for range controllers {
		budgets = append(budgets, NewBudget(200, 35, 5, 0.45))
	}
	return budgets
}

// setTransferSources makes a controller ask the others for tokens, in the given order.
func setTransferSources(budget *Budget, others ...*Budget) {
	budget.SetTransferSource(func(_ context.Context, writeCount int) bool {
		for _, other := range others {
			if other.GiveTokens(writeCount) {
				return true
			}
		}
		return false
	})
}

func TestBurstAtOneControllerUsesSpareTokensOfOthers(t *testing.T) {
	// Guards against the rejection of a job of a pipeline while the other controllers are idle.
	// A user submits the six or seven jobs of a pipeline within a second over one connection.
	synctest.Test(t, func(t *testing.T) {
		budgets := newBudgets(5)
		setTransferSources(budgets[0], budgets[1:]...)
		began := time.Now()
		for i := range 7 {
			if err := budgets[0].acquire(context.Background(), Sheddable, 1); err != nil {
				t.Errorf("acquire tokens for submission %d: %v", i, err)
			}
		}
		if took := time.Since(began); took > 10*time.Millisecond {
			t.Errorf("the burst took %v, want at most 10 ms", took)
		}
	})
}

func TestControllerKeepsHalfOfItsBurstForItsOwnUsers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := newBudgets(1)[0]
		given := 0
		for given < 100 && budget.GiveTokens(1) {
			given++
		}
		if given != 2 {
			t.Errorf("%d writes of a burst of four were given away, want 2", given)
		}
		if budget.GiveTokens(0) || budget.GiveTokens(-5) {
			t.Error("a transfer of zero or fewer writes succeeded")
		}
	})
}

func TestTransferredTokensAreNeverUsedByBothControllers(t *testing.T) {
	// All controllers are busy and constantly ask one another for tokens. Their total must stay
	// below the store's limit.
	synctest.Test(t, func(t *testing.T) {
		budgets := newBudgets(5)
		for i, budget := range budgets {
			setTransferSources(budget, slices.Concat(budgets[:i], budgets[i+1:])...)
		}
		made := 0
		for range 100 {
			for _, budget := range budgets {
				for made < 1000 && budget.acquire(cancelledContext(context.Background()), Sheddable, 1) == nil {
					made++
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		userRate := 35 * headroom * 0.55 // writes per second of all controllers together
		if maxWrites := int(userRate*10) + 5*4; made > maxWrites {
			t.Errorf("%d writes of all controllers in 10 s, want at most %d", made, maxWrites)
		}
	})
}

func TestTransferRequestsPauseAfterFailure(t *testing.T) {
	// Guards against one transfer request to the other controllers for each of many submissions.
	synctest.Test(t, func(t *testing.T) {
		budget := newBudgets(1)[0]
		asked := 0
		budget.SetTransferSource(func(context.Context, int) bool { asked++; return false })
		for range 100 {
			_ = budget.acquire(cancelledContext(context.Background()), Sheddable, 1) // only the number of transfer requests matters
		}
		if asked != 1 {
			t.Errorf("%d transfer requests for 100 calls at once, want 1", asked)
		}
		time.Sleep(transferPause)
		for range 20 {
			_ = budget.acquire(cancelledContext(context.Background()), Sheddable, 1) // only the number of transfer requests matters
		}
		if asked != 2 {
			t.Errorf("%d transfer requests in total after transferPause, want 2", asked)
		}
	})
}
