package fake

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

func TestHooksCanBeSetConcurrently(t *testing.T) {
	// Tests set hooks while controllers already call the fakes. When the hooks were unguarded fields,
	// this was a data race, which only the race detector reported, and only in some runs.
	network, store := NewNetwork(), NewStore()
	network.Listen("state:1", store)
	worker := &Worker{Name: "m", Address: "m:1", Network: network}
	commit := func() {
		body := strings.NewReader(`{"then":[{"put":"a","value":1}]}`)
		if res, err := network.Client("a").Post("http://state:1/commit", "application/json", body); err != nil || res.StatusCode != 200 {
			t.Errorf("commit: response %v, error %v", res, err)
		}
	}
	watch := func() {
		if _, err := network.Client("a").Get("http://state:1/follow?after=0&holdMs=0"); err != nil {
			t.Errorf("watch: %v", err)
		}
	}
	for _, hook := range []struct {
		name     string
		set, use func()
	}{
		{"changes", func() { store.NotifyChanges(func(string, json.RawMessage) {}) }, commit},
		{"kept changes", func() { store.SetHistoryLimit(50) }, watch},
		{"rule", func() { network.SetRule(func(string, string, *http.Request, []byte) Outcome { return Deliver }) }, commit},
		{"lag", func() { network.SetLatency(func() time.Duration { return 0 }) }, commit},
		{"delay", func() { network.SetDelay(func() time.Duration { return 0 }) }, func() { network.nextDelay() }},
		{"events", func() { worker.NotifyEvents(func(Event) {}) }, func() {
			worker.mu.Lock()
			defer worker.mu.Unlock()
			worker.notifyStart(&taskStatus{Task: "job-1/0"}, time.Time{})
		}},
	} {
		t.Run(hook.name, func(*testing.T) {
			const rounds = 50
			var users sync.WaitGroup
			users.Go(func() {
				for range rounds {
					hook.use()
				}
			})
			for range rounds {
				hook.set()
			}
			users.Wait()
		})
	}
}
