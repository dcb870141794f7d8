package fake

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func epochOf(store *Store) uint64 {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.epoch
}

func TestTransactionsWithLostOrDelayedMessages(t *testing.T) {
	// If the answer to a transaction is lost or delayed, the transaction is committed at once. If the
	// request is delayed, it is committed after newer ones, and its conditions are checked then.
	synctest.Test(t, func(t *testing.T) {
		network, store := NewNetwork(), NewStore()
		network.Listen("s:1", store)
		network.SetDelay(func() time.Duration { return 12 * time.Second })
		outcomes := map[string]Outcome{"lost": DropResponse, "late": Delay, "void": Delay, "slow": DelayResponse}
		network.SetRule(func(_, _ string, r *http.Request, body []byte) Outcome {
			for key, outcome := range outcomes {
				if strings.Contains(string(body), key) {
					return outcome
				}
			}
			return Deliver
		})
		for key := range outcomes {
			if code, _ := sendRequest(network, "a", "POST", "s:1/commit", putTransaction(key, 0)); code != 0 {
				t.Errorf("transaction %s got status %d, want no answer", key, code)
			}
			if done := store.Value(key) != nil; done != (key == "lost" || key == "slow") {
				t.Errorf("transaction %s was committed at once: %v", key, done)
			}
		}
		network.SetRule(nil)
		if code, _ := sendRequest(network, "a", "POST", "s:1/commit", putTransaction("void", 0)); code != 200 {
			t.Errorf("a newer transaction got status %d, want 200", code)
		}
		epoch := epochOf(store)
		time.Sleep(14 * time.Second)
		if store.Value("late") == nil || epochOf(store) != epoch+1 {
			t.Errorf("the delayed transaction was not committed alone: %s", store)
		}
	})
}

func TestRefusedCallersLeasesExpireWhileOthersAreServed(t *testing.T) {
	// The refused caller's leases expire and its watches return no changes, while others are served.
	synctest.Test(t, func(t *testing.T) {
		network, store := NewNetwork(), NewStore()
		network.Listen("s:1", store)
		sendRequest(network, "a", "POST", "s:1/holds", `{"lifeMs":1000}`)
		sendRequest(network, "a", "POST", "s:1/commit", `{"then":[{"put":"x","value":1,"permit":1}]}`)
		store.RefuseCaller("a", true)
		if code, _ := sendRequest(network, "a", "POST", "s:1/holds/1/renew", ""); code != 503 {
			t.Errorf("the lease renewal of a refused caller got status %d, want 503", code)
		}
		if code, _ := sendRequest(network, "b", "POST", "s:1/commit", putTransaction("y", 0)); code != 200 {
			t.Errorf("another caller got status %d, want 200", code)
		}
		if code, answer := sendRequest(network, "a", "GET", "s:1/follow?under=&after=1&holdMs=1500", ""); code != 200 || strings.Contains(answer, `"y"`) || !strings.Contains(answer, `"epoch":1`) {
			t.Errorf("the watch of a refused caller got status %d, answer %s", code, answer)
		}
		if store.Value("x") != nil {
			t.Error("the lease of the refused caller did not expire")
		}
		store.RefuseCaller("a", false)
		if code, answer := sendRequest(network, "a", "GET", "s:1/follow?under=&after=1&holdMs=1500", ""); code != 200 || !strings.Contains(answer, `"y"`) {
			t.Errorf("a watch after the refusal got status %d, answer %s", code, answer)
		}
		store.SetLatency(time.Second)
		started := time.Now()
		if code, _ := sendRequest(network, "b", "GET", "s:1/kv/y", ""); code != 200 || time.Since(started) != time.Second {
			t.Errorf("a store with a latency of 1s answered with status %d after %v", code, time.Since(started))
		}
	})
}
