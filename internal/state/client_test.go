package state

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// newClient returns a client with an ample budget, and its network and store.
func newClient() (*fake.Network, *fake.Store, *Client) {
	return newClientWithBudget(NewBudget(1000, 1000, 1, 0.6))
}

func newClientWithBudget(budget *Budget) (*fake.Network, *fake.Store, *Client) {
	network, store := fake.NewNetwork(), fake.NewStore()
	network.Listen("state:1", store)
	return network, store, NewClient("state:1", network.Client("a"), budget)
}

// mustCommit commits a transaction of changes and fails the test if that returns an error.
func mustCommit(ctx context.Context, t *testing.T, client *Client, changes ...Op) {
	t.Helper()
	if _, err := client.Commit(ctx, Txn{Ops: changes}, Urgent); err != nil {
		t.Fatal(err)
	}
}

func TestClientDistinguishesOutcomesOfCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		network, store, client := newClient()
		put := Txn{Conditions: []Condition{{Key: "k"}}, Ops: []Op{{Put: "k", Value: []byte(`1`)}}}
		if _, err := client.Commit(ctx, put, Urgent); err != nil {
			t.Fatal(err)
		}
		var conflict *ConflictError
		if _, err := client.Commit(ctx, put, Urgent); !errors.As(err, &conflict) || !conflict.Has("k") {
			t.Fatalf("second creation of the same key: error %v, want a conflict", err)
		}
		store.SetDown(true)
		if _, err := client.Commit(ctx, put, Urgent); !errors.Is(err, ErrRefused) {
			t.Fatalf("commit during an outage: error %v, want ErrRefused", err)
		}
		store.SetDown(false)
		network.SetRule(func(_, _ string, _ *http.Request, _ []byte) fake.Outcome { return fake.DropResponse })
		if _, err := client.Commit(ctx, Txn{Ops: []Op{{Remove: "k"}}}, Urgent); !errors.Is(err, ErrOutcomeUnknown) {
			t.Fatalf("commit without a response: error %v, want ErrOutcomeUnknown", err)
		}
		if store.Value("k") != nil {
			t.Fatal("the store did not execute the commit whose response was lost")
		}
		network.SetRule(nil)
		lease, err := client.GrantLease(ctx, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(1500 * time.Millisecond)
		if err := client.RenewLease(ctx, lease); !errors.Is(err, ErrNoLease) {
			t.Fatalf("renewal of an expired lease: error %v, want ErrNoLease", err)
		}
		if _, err := client.Commit(ctx, Txn{Ops: []Op{{Put: "x", Value: []byte(`1`), Lease: lease}}}, Urgent); !errors.Is(err, ErrNoLease) {
			t.Fatalf("put attached to an expired lease: error %v, want ErrNoLease", err)
		}
	})
}
