package state

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

func setup() (*fake.Net, *fake.Store, *Client) {
	n, s := fake.NewNet(), fake.NewStore()
	n.Listen("state:1", s)
	return n, s, NewClient("state:1", n.Client("a"), NewBudget(1000, 1000, 1, 0.6))
}

func TestOutcomesAreToldApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		n, s, c := setup()
		put := Txn{When: []Condition{{Key: "k"}}, Then: []Op{{Put: "k", Value: []byte(`1`)}}}
		if _, err := c.Commit(ctx, put, Urgent); err != nil {
			t.Fatal(err)
		}
		var conflict *Conflict
		if _, err := c.Commit(ctx, put, Urgent); !errors.As(err, &conflict) || !conflict.Has("k") {
			t.Fatalf("a second creation: %v", err)
		}
		s.SetDown(true)
		if _, err := c.Commit(ctx, put, Urgent); !errors.Is(err, ErrRefused) {
			t.Fatalf("in an outage: %v", err)
		}
		s.SetDown(false)
		n.SetRule(func(_, _ string, r *http.Request, _ []byte) fake.Fate { return fake.LoseAnswer })
		if _, err := c.Commit(ctx, Txn{Then: []Op{{Remove: "k"}}}, Urgent); !errors.Is(err, ErrUnknown) {
			t.Fatalf("without an answer: %v", err)
		}
		if s.Value("k") != nil {
			t.Fatal("it was carried out all the same")
		}
		n.SetRule(nil)
		h, err := c.NewLease(ctx, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(1500 * time.Millisecond)
		if err := c.RenewLease(ctx, h); !errors.Is(err, ErrNoLease) {
			t.Fatalf("a lapsed hold: %v", err)
		}
		if _, err := c.Commit(ctx, Txn{Then: []Op{{Put: "x", Value: []byte(`1`), Lease: h}}}, Urgent); !errors.Is(err, ErrNoLease) {
			t.Fatalf("a put with it: %v", err)
		}
	})
}

func TestAMirrorSurvivesForgottenHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		n, s, c := setup()
		s.SetKeep(3)
		set := func(i int) {
			if _, err := c.Commit(ctx, Txn{Then: []Op{{Put: fmt.Sprintf("j/%d", i), Value: []byte(`1`)}, {Remove: fmt.Sprintf("j/%d", i-2)}}}, Urgent); err != nil {
				t.Fatal(err)
			}
		}
		set(1)
		seen := map[string]bool{}
		m := NewMirror(c, "j/", 10*time.Millisecond)
		m.NotifyChanges(func(ch Change) { seen[ch.Key()] = ch.Put != "" })
		go m.Run(ctx)
		time.Sleep(time.Second)
		n.SetRule(func(_, _ string, r *http.Request, _ []byte) fake.Fate {
			if r.URL.Path == "/follow" {
				return fake.Refuse
			}
			return fake.Deliver
		})
		time.Sleep(15 * time.Second)
		for i := 2; i < 12; i++ {
			set(i)
		}
		n.SetRule(nil)
		time.Sleep(2 * time.Second)
		for k, want := range map[string]bool{"j/1": false, "j/10": true, "j/11": true} {
			if _, found, ready := m.Get(k); found != want || !ready || seen[k] != want {
				t.Errorf("%s: found %v, told %v, want %v", k, found, seen[k], want)
			}
		}
	})
}

func TestAMirrorsListenerMayBeSetWhileChangesArrive(t *testing.T) {
	// As a plain field the listener raced with the changes that it is told of.
	m := NewMirror(nil, "j/", time.Second)
	const changes = 50
	var heard atomic.Int32
	var applied sync.WaitGroup
	applied.Go(func() {
		for i := range changes {
			m.apply(ids.Epoch(i+1), []Change{{Put: "j/1", Revision: ids.Revision(i + 1)}})
		}
	})
	for range changes {
		m.NotifyChanges(func(Change) { heard.Add(1) })
	}
	applied.Wait()
	m.apply(changes+1, []Change{{Put: "j/1", Revision: changes + 1}})
	if heard.Load() == 0 {
		t.Error("the listener was told of nothing")
	}
}

func TestUrgentCallsComeFirstAndUsersAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		n, s := fake.NewNet(), fake.NewStore()
		n.Listen("state:1", s)
		c := NewClient("state:1", n.Client("a"), NewBudget(20, 10, 1, 0.6))
		var mu sync.Mutex
		var wg sync.WaitGroup
		refused := 0
		for i := range 40 {
			wg.Go(func() {
				began := time.Now()
				_, err := c.Commit(ctx, Txn{Then: []Op{{Put: fmt.Sprint(i), Value: []byte(`1`)}}}, Spare)
				took := time.Since(began)
				mu.Lock()
				defer mu.Unlock()
				// Whoever is refused is so at once; none waits behind a line that
				// is not served within a moment.
				if errors.Is(err, ErrRefused) {
					refused++
					if took > 10*time.Millisecond {
						t.Errorf("refused after %v", took)
					}
				} else if took > 400*time.Millisecond {
					t.Errorf("served after %v", took)
				}
			})
		}
		wg.Wait()
		if refused < 30 || refused > 38 {
			t.Fatalf("%d of 40 refused", refused)
		}
		if _, err := c.Commit(ctx, Txn{Then: []Op{{Put: "u", Value: []byte(`1`)}}}, Urgent); err != nil {
			t.Fatalf("an urgent write after the burst: %v", err)
		}
	})
}

func TestOneReadBegunAfterThemServesAllWhoWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		n, s, c := setup()
		put := func(k, v string) {
			if _, err := c.Commit(ctx, Txn{Then: []Op{{Put: k, Value: []byte(v)}}}, Urgent); err != nil {
				t.Fatal(err)
			}
		}
		put("j/1", `1`)
		m := NewMirror(c, "j/", time.Second)
		if err := m.Sync(ctx); err != nil {
			t.Fatal(err)
		}
		put("j/1", `2`)
		calls := 0
		n.SetRule(func(_, _ string, r *http.Request, _ []byte) fake.Fate {
			calls++
			return fake.Deliver
		})
		done := make(chan string, 300)
		for range 300 {
			go func() {
				if err := m.Sync(ctx); err != nil {
					done <- err.Error()
					return
				}
				e, _, _ := m.Get("j/1")
				done <- string(e.Value)
			}()
		}
		for range 300 {
			if v := <-done; v != `2` {
				t.Fatalf("told %s after 2 was stored", v)
			}
		}
		if calls > 4 {
			t.Errorf("%d calls for 300 who asked at once", calls)
		}
		// In an outage nothing may be told from the copy, however fresh it
		// looks: a watch may end well all the same.
		s.SetDown(true)
		if err := m.Sync(ctx); err == nil {
			t.Error("the copy passes for the store's state in an outage")
		}
		s.SetDown(false)
		// News that were overtaken by newer ones change nothing.
		put("j/1", `3`)
		if err := m.Sync(ctx); err != nil {
			t.Fatal(err)
		}
		m.apply(2, []Change{{Put: "j/1", Value: []byte(`2`), Revision: 2}})
		if e, _, _ := m.Get("j/1"); string(e.Value) != `3` {
			t.Errorf("an overtaken answer took the copy back to %s", e.Value)
		}
	})
}

func TestLentTokensAreNeverUsedByBoth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		const wps = 50
		a, b := NewBudget(1000, wps, 2, 0.6), NewBudget(1000, wps, 2, 0.6)
		a.SetLeader(true)
		use := func(k *Budget, u Urgency) (n int) {
			for k.take(shortly(ctx), u, 1) == nil {
				if n++; n > 1000 {
					t.Fatal("no bound")
				}
			}
			return n
		}
		use(b, Spare) // the bursts that buckets begin with
		use(a, Spare)
		second := func(f func()) {
			f()
			time.Sleep(100 * time.Millisecond)
		}
		total, bs := 0, 0
		for range 20 * 10 {
			second(func() {
				// b is hungry, a idle; they talk once a second.
				n := use(b, Spare)
				bs, total = bs+n, total+n
				if time.Now().UnixMilli()%1000 < 100 {
					sent := time.Now()
					b.Borrowed(a.Lend(b.Wants()), sent)
				}
			})
		}
		alone := int(math.Floor(0.4 * wps / 2 * headroom * 20))
		if bs < alone*3/2 {
			t.Errorf("%d changes in 20 s, hardly more than its own %d", bs, alone)
		}
		// Cut off from one another, the promise ends and each keeps to its part.
		time.Sleep(3 * time.Second)
		use(b, Spare)
		bs = 0
		for range 50 {
			second(func() { bs += use(b, Spare) })
		}
		if most := int(math.Floor(0.4*wps/2*headroom*5)) + 2; bs > most {
			t.Errorf("%d changes in 5 s on a part of %d", bs, most)
		}
		// Whatever both can use together stays below the limit.
		total = 0
		for i := range 10 * 10 {
			second(func() {
				total += use(b, Spare) + use(a, Spare)
				for a.take(shortly(ctx), Urgent, 1) == nil {
					total++
				}
				if i%10 == 0 {
					sent := time.Now()
					b.Borrowed(a.Lend(b.Wants()), sent)
					a.Borrowed(b.Lend(a.Wants()), sent)
				}
			})
		}
		if total > wps*11 {
			t.Errorf("%d changes in 10 s of a limit of %d a second", total, wps)
		}
	})
}

// shortly is a context that leaves no time to wait for tokens.
func shortly(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	cancel()
	return ctx
}

func TestAWatchMovesACopyOnlyAsFarAsItsNews(t *testing.T) {
	// Guards against a watch that waits out an outage, or this node's being refused,
	// and then ends well with an epoch whose changes it never showed: to follow from
	// there would lose them for good, and nobody may take the copy for complete.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		n, s, c := setup()
		put := func(k string) {
			if _, err := c.Commit(ctx, Txn{Then: []Op{{Put: k, Value: []byte(`1`)}}}, Urgent); err != nil {
				t.Fatal(err)
			}
		}
		put("j/1")
		var blind atomic.Bool
		n.Listen("state:1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if blind.Load() && r.URL.Path == "/follow" {
				if r.URL.Query().Get("holdMs") != "0" {
					time.Sleep(time.Second)
				}
				fmt.Fprint(w, `{"epoch":1000,"news":[]}`)
				return
			}
			s.ServeHTTP(w, r)
		}))
		m := NewMirror(c, "j/", 10*time.Millisecond)
		go m.Run(ctx)
		time.Sleep(time.Second)
		blind.Store(true)
		put("j/2")
		time.Sleep(15 * time.Second)
		if !m.AsOf().IsZero() {
			t.Error("a watch alone makes the copy complete")
		}
		// Nor do news asked for at once, should an outage begin in between.
		put("j/4")
		if err := m.Sync(ctx); err == nil {
			t.Error("an answer without what is known already counts as news")
		}
		blind.Store(false)
		began := time.Now()
		if err := m.Sync(ctx); err != nil {
			t.Fatal(err)
		}
		if _, found, _ := m.Get("j/4"); !found {
			t.Error("a change is lost that a watch without news passed over")
		}
		if m.AsOf().Before(began) {
			t.Error("a read does not make the copy complete")
		}
		put("other/1")
		put("j/3")
		time.Sleep(time.Second)
		if _, found, _ := m.Get("j/3"); !found {
			t.Error("news no longer come in")
		}
	})
}
