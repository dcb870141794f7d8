package state

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// idleBudgets are of a small deployment: each of five controllers may make 3.7 changes a
// second for its users, and four at once.
func idleBudgets(n int) []*Budget {
	var bs []*Budget
	for range n {
		bs = append(bs, NewBudget(200, 35, 5, 0.45))
	}
	return bs
}

// asks has one controller ask the others in order.
func asks(b *Budget, others ...*Budget) {
	b.SetOthers(func(_ context.Context, changes int) bool {
		for _, o := range others {
			if o.Give(changes) {
				return true
			}
		}
		return false
	})
}

func TestAClumpAtOneControllerIsServedWithWhatOthersNeedNot(t *testing.T) {
	// Guards against refusing a job of a pipeline while the other controllers are idle: its
	// user submits six or seven within a second over one connection.
	synctest.Test(t, func(t *testing.T) {
		bs := idleBudgets(5)
		asks(bs[0], bs[1:]...)
		began := time.Now()
		for i := range 7 {
			if err := bs[0].take(context.Background(), Spare, 1); err != nil {
				t.Errorf("submission %d: %v", i, err)
			}
		}
		if took := time.Since(began); took > 10*time.Millisecond {
			t.Errorf("the clump took %v", took)
		}
	})
}

func TestAControllerKeepsHalfOfItsBurstForItsOwnUsers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := idleBudgets(1)[0]
		given := 0
		for given < 100 && b.Give(1) {
			given++
		}
		if given != 2 {
			t.Errorf("%d changes given away of a burst of four", given)
		}
		if b.Give(0) || b.Give(-5) {
			t.Error("nothing or less than nothing was given")
		}
	})
}

func TestGivenChangesAreNeverMadeByBoth(t *testing.T) {
	// All controllers are hungry and ask one another all the time: together they stay
	// below what the state service allows.
	synctest.Test(t, func(t *testing.T) {
		bs := idleBudgets(5)
		for i, b := range bs {
			asks(b, append(append([]*Budget(nil), bs[:i]...), bs[i+1:]...)...)
		}
		made := 0
		for range 100 {
			for _, b := range bs {
				for made < 1000 && b.take(shortly(context.Background()), Spare, 1) == nil {
					made++
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		users := 35 * headroom * 0.55 // changes a second, all controllers together
		if most := int(users*10) + 5*4; made > most {
			t.Errorf("%d changes in 10 s, at most %d may be made", made, most)
		}
	})
}

func TestWhoGivesNothingIsNotAskedForEveryUser(t *testing.T) {
	// Guards against a crowd of submissions turning into a crowd of questions.
	synctest.Test(t, func(t *testing.T) {
		b := idleBudgets(1)[0]
		asked := 0
		b.SetOthers(func(context.Context, int) bool { asked++; return false })
		for range 100 {
			b.take(shortly(context.Background()), Spare, 1)
		}
		if asked != 1 {
			t.Errorf("the others were asked %d times at once", asked)
		}
		time.Sleep(giftPause)
		for range 20 {
			b.take(shortly(context.Background()), Spare, 1)
		}
		if asked != 2 {
			t.Errorf("%d questions after the pause", asked)
		}
	})
}
