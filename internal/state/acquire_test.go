package state

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func TestUrgentCallsGoFirstAndSheddableCallsAreRejectedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		_, _, client := newClientWithBudget(NewBudget(20, 10, 1, 0.6))
		var mu sync.Mutex
		var commits sync.WaitGroup
		refused := 0
		for i := range 40 {
			commits.Go(func() {
				began := time.Now()
				_, err := client.Commit(ctx, Txn{Ops: []Op{{Put: fmt.Sprint(i), Value: []byte(`1`)}}}, Sheddable)
				took := time.Since(began)
				mu.Lock()
				defer mu.Unlock()
				// Calls that exceed the budget must be rejected immediately and not
				// wait in a queue that is served too late.
				if errors.Is(err, ErrRefused) {
					refused++
					if took > 10*time.Millisecond {
						t.Errorf("call rejected after %v, want at most 10 ms", took)
					}
				} else if took > 400*time.Millisecond {
					t.Errorf("call succeeded after %v, want at most 400 ms", took)
				}
			})
		}
		commits.Wait()
		if refused < 30 || refused > 38 {
			t.Fatalf("%d of 40 calls rejected, want 30 to 38", refused)
		}
		if _, err := client.Commit(ctx, Txn{Ops: []Op{{Put: "u", Value: []byte(`1`)}}}, Urgent); err != nil {
			t.Fatalf("commit with priority Urgent after the burst: %v", err)
		}
	})
}

// cancelledContext returns a cancelled context, with which no call waits for tokens.
func cancelledContext(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	cancel()
	return ctx
}
