package clusterstate

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

func TestApplyRejectsOversizeValueBeforeSending(t *testing.T) {
	// Guards against a leader's own key, such as a long list of machine types, that is
	// refused for its size and sent again for ever.
	synctest.Test(t, func(t *testing.T) {
		network, store := fake.NewNetwork(), fake.NewStore()
		network.Listen("state:1", store)
		store.SetLimits(2048, 4)
		client := state.NewClient("state:1", network.Client("a"), state.NewBudget(1000, 1000, 1, 0.6))
		cluster := newTestState()
		cluster.settings.Params.State.ValueKB = 2
		committer := newCommitter(cluster, client)
		long := []byte(`"` + strings.Repeat("x", 3000) + `"`)
		err := committer.Apply(context.Background(), []state.Op{{Put: record.TypesKey, Value: long}})
		if !errors.Is(err, state.ErrMalformed) || store.TooLarge > 0 {
			t.Errorf("%v; %d transactions were too large", err, store.TooLarge)
		}
		if err := committer.Apply(context.Background(), []state.Op{{Put: record.TypesKey, Value: []byte(`1`)}}); err != nil {
			t.Errorf("a small value: %v", err)
		}
	})
}
