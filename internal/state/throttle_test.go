package state

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

func TestTooManyRequestsResponseLowersRateImmediately(t *testing.T) {
	// Guards against a node that does not lower its rate when the store accepts less than its
	// configured limits, so that the store rejects most of its calls; and against a node that does
	// not raise its rate again afterwards.
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		limit, taken, refused, second := 5, 0, 0, int64(0)
		network := fake.NewNetwork()
		network.Listen("state:1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if now := time.Now().Unix(); now != second {
				second, taken = now, 0
			}
			if taken++; taken > limit {
				refused++
				w.WriteHeader(http.StatusTooManyRequests)
				return
			}
			if _, err := w.Write([]byte(`{"epoch":1}`)); err != nil {
				t.Error(err)
			}
		}))
		client := NewClient("state:1", network.Client("a"), NewBudget(100, 40, 1, 0.5))
		client.Budget().RecordLeadershipChange(true)
		put := Txn{Ops: []Op{{Put: "a", Value: []byte(`1`)}}}
		send := func(duration time.Duration) (done int) {
			for end := time.Now().Add(duration); time.Now().Before(end); {
				if _, err := client.Commit(context.Background(), put, Urgent); err == nil {
					done++
				} else if !errors.Is(err, ErrRefused) {
					t.Fatal(err)
				}
			}
			return done
		}
		done := send(60 * time.Second)
		if refused > 120 || done < 150 {
			t.Errorf("store executed %d of at most 300 writes and rejected %d, want at least 150 and at most 120", done, refused)
		}
		limit = 1000
		send(20 * time.Second)
		if done := send(10 * time.Second); done < 170 {
			t.Errorf("%d writes in 10 s after the store accepts all again, want at least 170", done)
		}
	})
}
