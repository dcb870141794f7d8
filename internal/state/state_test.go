package state

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
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
		put := Txn{When: []Cond{{Key: "k"}}, Then: []Op{{Put: "k", Value: []byte(`1`)}}}
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
		h, err := c.NewHold(ctx, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(1500 * time.Millisecond)
		if err := c.Renew(ctx, h); !errors.Is(err, ErrNoHold) {
			t.Fatalf("a lapsed hold: %v", err)
		}
		if _, err := c.Commit(ctx, Txn{Then: []Op{{Put: "x", Value: []byte(`1`), Hold: h}}}, Urgent); !errors.Is(err, ErrNoHold) {
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
		s.Keep = 3
		set := func(i int) {
			if _, err := c.Commit(ctx, Txn{Then: []Op{{Put: fmt.Sprintf("j/%d", i), Value: []byte(`1`)}, {Remove: fmt.Sprintf("j/%d", i-2)}}}, Urgent); err != nil {
				t.Fatal(err)
			}
		}
		set(1)
		seen := map[string]bool{}
		m := NewMirror(c, "j/", 10*time.Millisecond)
		m.OnChange = func(ch Change) { seen[ch.Key()] = ch.Put != "" }
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

func TestUrgentCallsComeFirstAndUsersAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		n, s := fake.NewNet(), fake.NewStore()
		n.Listen("state:1", s)
		c := NewClient("state:1", n.Client("a"), NewBudget(20, 10, 1, 0.6))
		refused := 0
		var slowest time.Duration
		for i := range 40 {
			began := time.Now()
			if _, err := c.Commit(ctx, Txn{Then: []Op{{Put: fmt.Sprint(i), Value: []byte(`1`)}}}, Spare); errors.Is(err, ErrRefused) {
				refused++
			}
			slowest = max(slowest, time.Since(began))
		}
		if refused < 20 || slowest > 500*time.Millisecond {
			t.Fatalf("%d of 40 refused, the slowest after %v", refused, slowest)
		}
		if _, err := c.Commit(ctx, Txn{Then: []Op{{Put: "u", Value: []byte(`1`)}}}, Urgent); err != nil {
			t.Fatalf("an urgent write after the burst: %v", err)
		}
	})
}
