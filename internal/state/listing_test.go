package state

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// pagedStore is a store that calls a hook before it serves the second and each later page of a listing.
type pagedStore struct {
	t           *testing.T
	store       *fake.Store
	client      *Client
	writer      *Client // does not pass the hooks
	betweenPage func()
	// hideChanges makes watches return no changes, as during an outage.
	hideChanges bool
}

func newPagedStore(t *testing.T) *pagedStore {
	network, store, client := newClient()
	s := &pagedStore{t: t, store: store, client: client, betweenPage: func() {}}
	s.writer = NewClient("state:2", network.Client("b"), NewBudget(1e6, 1e6, 1, 0.6))
	network.Listen("state:2", store)
	network.Listen("state:1", http.HandlerFunc(s.serve))
	return s
}

func (s *pagedStore) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/kv" && r.URL.Query().Get("after") != "" {
		s.betweenPage()
	}
	if r.URL.Path == watchPath && s.hideChanges {
		if _, err := fmt.Fprint(w, `{"epoch":1000000,"news":[]}`); err != nil {
			s.t.Error(err)
		}
		return
	}
	s.store.ServeHTTP(w, r)
}

// commit commits changes past the hooks and returns their store revision.
func (s *pagedStore) commit(changes ...Op) ids.StoreRevision {
	s.t.Helper()
	revision, err := s.writer.Commit(context.Background(), Txn{Ops: changes}, Urgent)
	if err != nil {
		s.t.Fatal(err)
	}
	return revision
}

// fill stores more keys than a page holds, between j/a and j/z.
func (s *pagedStore) fill() {
	var puts []Op
	for i := range listPageSize {
		puts = append(puts, put(fmt.Sprintf("j/m/%04d", i)))
	}
	s.commit(puts...)
}

func put(key string) Op { return Op{Put: key, Value: []byte(`1`)} }

// Guards against a key that is on no page of a listing, or on two, because it moves while the pages are
// read: a controller that had just started said of accepted jobs that they did not exist.
func TestListAllReturnsKeyThatMovesBetweenPagesOnce(t *testing.T) {
	for _, test := range []struct{ from, to string }{{"j/z", "j/a"}, {"j/a", "j/z"}} {
		synctest.Test(t, func(t *testing.T) {
			s := newPagedStore(t)
			s.fill()
			s.commit(put(test.from))
			var movedAt ids.StoreRevision
			s.betweenPage = func() { movedAt = s.commit(Op{Remove: test.from}, put(test.to)) }
			entries, revision, err := s.client.ListAll(t.Context(), "j/", Normal)
			if err != nil {
				t.Fatal(err)
			}
			found := map[string]bool{}
			for _, entry := range entries {
				found[entry.Key] = true
			}
			if found[test.from] || !found[test.to] || len(found) != len(entries) || revision < movedAt {
				t.Errorf("move from %s to %s: found the old key %v, the new key %v, at revision %d, want only the new one at %d",
					test.from, test.to, found[test.from], found[test.to], revision, movedAt)
			}
		})
	}
}

// Guards against a listing whose entries did not exist together at any revision, whatever is written
// between its pages.
func TestListAllReturnsStateOfStoreAtItsRevision(t *testing.T) {
	const seeds = 20
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			s := newPagedStore(t)
			s.fill()
			contents := map[string]ids.Revision{} // of the keys that are written below
			history := map[ids.StoreRevision]map[string]ids.Revision{}
			write := func() {
				changes := map[string]Op{}
				for range 1 + random.IntN(4) {
					key := fmt.Sprintf("j/%c/%d", "az"[random.IntN(2)], random.IntN(30))
					changes[key] = put(key)
					if _, exists := contents[key]; exists && random.IntN(2) == 0 {
						changes[key] = Op{Remove: key}
					}
				}
				var ops []Op
				for _, op := range changes {
					ops = append(ops, op)
				}
				revision := s.commit(ops...)
				for key, op := range changes {
					delete(contents, key)
					if op.Put != "" {
						contents[key] = ids.Revision(revision)
					}
				}
				history[revision] = maps.Clone(contents)
			}
			for range 40 {
				write()
			}
			s.betweenPage = func() {
				for range random.IntN(10) {
					write()
				}
				s.commit(put("other/1")) // the store's revision also advances by other keys
				history[ids.StoreRevision(s.store.Epoch())] = maps.Clone(contents)
			}
			for range 5 {
				entries, revision, err := s.client.ListAll(t.Context(), "j/", Normal)
				if err != nil {
					t.Fatal(err)
				}
				listed := map[string]ids.Revision{}
				for _, entry := range entries {
					listed[entry.Key] = entry.Revision
				}
				maps.DeleteFunc(listed, func(key string, _ ids.Revision) bool { return key[:3] == "j/m" })
				if !maps.Equal(listed, history[revision]) {
					t.Fatalf("seed %d: listing at revision %d has %v, the store had %v", seed, revision, listed, history[revision])
				}
			}
		})
	}
}

// Guards against a listing that counts as complete although the changes between its pages could not be
// read: the store may answer a watch without changes during an outage, or may have compacted them.
func TestListAllFailsIfChangesBetweenPagesAreMissing(t *testing.T) {
	tests := map[string]func(*pagedStore){
		"watch without changes": func(s *pagedStore) { s.hideChanges = true },
		"changes compacted":     func(s *pagedStore) { s.store.SetHistoryLimit(1) },
	}
	for name, breakWatch := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPagedStore(t)
				s.fill()
				s.commit(put("j/z"))
				breakWatch(s)
				s.betweenPage = func() {
					s.commit(Op{Remove: "j/z"}, put("j/a"))
					s.commit(put("other/1"))
				}
				if entries, _, err := s.client.ListAll(t.Context(), "j/", Normal); !errors.Is(err, ErrRefused) {
					t.Errorf("ListAll returned %d entries and error %v, want ErrRefused", len(entries), err)
				}
				if err := NewWatchCache(s.client, "j/", time.Second).Sync(t.Context()); err == nil {
					t.Error("Sync succeeded with a listing that lacks changes")
				}
				s.betweenPage, s.hideChanges = func() {}, false
				if _, _, err := s.client.ListAll(t.Context(), "j/", Normal); err != nil {
					t.Errorf("listing of an unchanged store: %v", err)
				}
			})
		})
	}
}

// Guards against a controller that can't read its records while other keys change: the newest entry below
// the prefix is older than all changes that the store keeps, so that no watch proves to be complete.
func TestListAllOfUnchangedKeysSucceedsWhileOthersChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPagedStore(t)
		s.fill()
		s.commit(put("j/z"))
		s.store.SetHistoryLimit(1)
		s.betweenPage = func() {
			s.commit(put("other/1"))
			s.commit(put("other/1"))
		}
		entries, _, err := s.client.ListAll(t.Context(), "j/", Normal)
		if err != nil || len(entries) != listPageSize+1 {
			t.Errorf("%d entries, error %v, want %d", len(entries), err, listPageSize+1)
		}
		// A key that moves during the first listing is found by the next ones.
		moves := 0
		s.betweenPage = func() {
			if moves++; moves == 1 {
				s.commit(Op{Remove: "j/z"}, put("j/a"))
			}
			s.commit(put("other/1"))
			s.commit(put("other/1"))
		}
		entries, _, err = s.client.ListAll(t.Context(), "j/", Normal)
		if err != nil || len(entries) != listPageSize+1 || entries[0].Key != "j/a" {
			t.Errorf("after a move: %d entries, error %v, want %d from j/a", len(entries), err, listPageSize+1)
		}
	})
}
