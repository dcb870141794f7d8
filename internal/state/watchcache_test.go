package state

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

func TestWatchCacheMissesNoChangeAfterHistoryIsCompacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		network, store, client := newClient()
		store.SetHistoryLimit(3)
		set := func(i int) {
			t.Helper()
			mustCommit(ctx, t, client, Op{Put: fmt.Sprintf("j/%d", i), Value: []byte(`1`)}, Op{Remove: fmt.Sprintf("j/%d", i-2)})
		}
		set(1)
		notified := map[string]bool{}
		cache := NewWatchCache(client, "j/", 10*time.Millisecond)
		cache.OnChange(func(change Change) { notified[change.Key()] = change.Put != "" })
		go cache.Run(ctx)
		time.Sleep(time.Second)
		network.SetRule(func(_, _ string, r *http.Request, _ []byte) fake.Outcome {
			if r.URL.Path == "/follow" {
				return fake.Refuse
			}
			return fake.Deliver
		})
		time.Sleep(15 * time.Second)
		for i := 2; i < 12; i++ {
			set(i)
		}
		network.SetRule(nil)
		time.Sleep(2 * time.Second)
		for k, want := range map[string]bool{"j/1": false, "j/10": true, "j/11": true} {
			if _, found, ready := cache.Get(k); found != want || !ready || notified[k] != want {
				t.Errorf("key %s: found %v, listener notified of a put %v, want both %v", k, found, notified[k], want)
			}
		}
	})
}

func TestWatchCacheListenerMayBeSetWhileChangesArrive(t *testing.T) {
	// Guards against a data race between OnChange and the notification of changes, which occurred
	// while the listener was a field without a lock.
	cache := NewWatchCache(nil, "j/", time.Second)
	const changes = 50
	var notified atomic.Int32
	var applied sync.WaitGroup
	applied.Go(func() {
		for i := range changes {
			cache.apply(ids.StoreRevision(i+1), []Change{{Put: "j/1", Revision: ids.Revision(i + 1)}})
		}
	})
	for range changes {
		cache.OnChange(func(Change) { notified.Add(1) })
	}
	applied.Wait()
	cache.apply(changes+1, []Change{{Put: "j/1", Revision: changes + 1}})
	if notified.Load() == 0 {
		t.Error("the listener was not notified of any change")
	}
}

// Guards against a copy that goes back to an older listing, so that a user is given an older answer: the
// listing began before the copy was brought further and then invalidated by another compaction.
func TestLateListingDoesNotReplaceNewerCopy(t *testing.T) {
	cache := NewWatchCache(nil, "j/", time.Second)
	cache.replace([]Entry{{Key: "j/1", Revision: 5}}, 5)
	cache.apply(9, []Change{{Put: "j/2", Revision: 9}})
	cache.invalidate()
	if changes := cache.replace([]Entry{{Key: "j/1", Revision: 5}}, 7); len(changes) > 0 {
		t.Errorf("a listing at revision 7 changed the copy of revision 9: %v", changes)
	}
	if _, found, ready := cache.Get("j/2"); !found || ready {
		t.Errorf("key of revision 9 found %v, copy ready %v; want the copy kept and still to be listed", found, ready)
	}
	cache.replace([]Entry{{Key: "j/2", Revision: 9}}, 12)
	if _, found, ready := cache.Get("j/1"); found || !ready {
		t.Errorf("after a newer listing: removed key found %v, copy ready %v", found, ready)
	}
}

func TestSyncServesAllWaitingCallersWithOneLaterRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		network, store, client := newClient()
		put := func(key, value string) {
			t.Helper()
			mustCommit(ctx, t, client, Op{Put: key, Value: []byte(value)})
		}
		put("j/1", `1`)
		cache := NewWatchCache(client, "j/", time.Second)
		if err := cache.Sync(ctx); err != nil {
			t.Fatal(err)
		}
		put("j/1", `2`)
		calls := 0
		network.SetRule(func(_, _ string, _ *http.Request, _ []byte) fake.Outcome {
			calls++
			return fake.Deliver
		})
		values := make(chan string, 300)
		for range 300 {
			go func() {
				if err := cache.Sync(ctx); err != nil {
					values <- err.Error()
					return
				}
				entry, _, _ := cache.Get("j/1")
				values <- string(entry.Value)
			}()
		}
		for range 300 {
			if v := <-values; v != `2` {
				t.Fatalf("the cache returned %s after 2 was stored", v)
			}
		}
		if calls > 4 {
			t.Errorf("%d calls to the store for 300 simultaneous calls of Sync, want at most 4", calls)
		}
		// Sync must fail during an outage, however recent the copy seems, because a watch may
		// succeed during an outage.
		store.SetDown(true)
		if err := cache.Sync(ctx); err == nil {
			t.Error("Sync succeeded during an outage of the store")
		}
		store.SetDown(false)
		// Changes that arrive after newer ones of the same key are ignored.
		put("j/1", `3`)
		if err := cache.Sync(ctx); err != nil {
			t.Fatal(err)
		}
		cache.apply(2, []Change{{Put: "j/1", Value: []byte(`2`), Revision: 2}})
		if entry, _, _ := cache.Get("j/1"); string(entry.Value) != `3` {
			t.Errorf("a response that arrived late reverted the copy to %s", entry.Value)
		}
	})
}

func TestWatchAdvancesCacheOnlyToReturnedChanges(t *testing.T) {
	// Guards against a watch that spans an outage, or a time in which the store rejects this node,
	// and then succeeds with a store revision whose changes it did not return. To continue from
	// that revision would lose them, and the copy must not count as complete.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		network, store, client := newClient()
		put := func(key string) {
			t.Helper()
			mustCommit(ctx, t, client, Op{Put: key, Value: []byte(`1`)})
		}
		put("j/1")
		var hideChanges atomic.Bool
		network.Listen("state:1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if hideChanges.Load() && r.URL.Path == "/follow" {
				if r.URL.Query().Get("holdMs") != "0" {
					time.Sleep(time.Second)
				}
				if _, err := fmt.Fprint(w, `{"epoch":1000,"news":[]}`); err != nil {
					t.Error(err)
				}
				return
			}
			store.ServeHTTP(w, r)
		}))
		cache := NewWatchCache(client, "j/", 10*time.Millisecond)
		go cache.Run(ctx)
		time.Sleep(time.Second)
		hideChanges.Store(true)
		put("j/2")
		time.Sleep(15 * time.Second)
		if !cache.LastSyncedAt().IsZero() {
			t.Error("LastSyncedAt was advanced by a watch alone")
		}
		// A watch without waiting does not make the copy complete either, since an outage may begin
		// between the plain read and the watch.
		put("j/4")
		if err := cache.Sync(ctx); err == nil {
			t.Error("Sync succeeded with a watch response that lacks the newest change already in the cache")
		}
		hideChanges.Store(false)
		began := time.Now()
		if err := cache.Sync(ctx); err != nil {
			t.Fatal(err)
		}
		if _, found, _ := cache.Get("j/4"); !found {
			t.Error("a change is lost after a watch returned a newer store revision without it")
		}
		if cache.LastSyncedAt().Before(began) {
			t.Error("LastSyncedAt was not advanced by a successful Sync")
		}
		put("other/1")
		put("j/3")
		time.Sleep(time.Second)
		if _, found, _ := cache.Get("j/3"); !found {
			t.Error("the cache no longer receives changes")
		}
	})
}
