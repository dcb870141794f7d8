package rollout

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// unconditionalStore is a Store that adds no conditions of its own to a write.
type unconditionalStore struct{ client *state.Client }

func (s unconditionalStore) ApplyIf(ctx context.Context, when []state.Condition, ops []state.Op) error {
	_, err := s.client.Commit(ctx, state.Txn{Conditions: when, Ops: ops}, state.Normal)
	return err
}

// harness is a controller's Service with a fake state service and a fake fleet.
type harness struct {
	t       *testing.T
	ctx     context.Context
	network *fake.Network
	store   *fake.Store
	fleet   *fakeFleet
	service *Service
	// planDelay is the duration of PlanDrain.
	planDelay time.Duration
}

// The limits of a small state service.
const maxValueBytes, maxTxnOps = 8192, 12

// runHarness calls f with a harness for the given number of machines, under a simulated clock.
func runHarness(t *testing.T, machines int, f func(h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		h := &harness{t: t, ctx: ctx, network: fake.NewNetwork(), store: fake.NewStore(), fleet: newFakeFleet(machines)}
		h.network.Listen("state:1", h.store)
		h.store.SetLimits(maxValueBytes, maxTxnOps)
		h.service = h.controller("a")
		f(h)
	})
}

// controller returns the Service of a controller.
func (h *harness) controller(name string) *Service {
	client := state.NewClient("state:1", h.network.Client(name), state.NewBudget(1000, 1000, 1, 0.6))
	mirror := state.NewWatchCache(client, Prefix, 50*time.Millisecond)
	go mirror.Run(h.ctx)
	return &Service{Mirror: mirror, Client: client, Leader: h, Writer: name, Limits: Limits{maxValueBytes, maxTxnOps},
		Installation: func() Installation {
			return Installation{Zones: []string{"north", "south"}, Types: []string{"small"}, Shards: 1}
		}}
}

// startLeader runs a leader until the returned function is called.
func (h *harness) startLeader(name string) context.CancelFunc {
	ctx, cancel := context.WithCancel(h.ctx)
	service := h.controller(name)
	go (&Runner{Mirror: service.Mirror, Store: unconditionalStore{service.Client}, Fleet: h.fleet, Writer: name, Limits: service.Limits}).Run(ctx)
	return cancel
}

func (h *harness) PlanDrain(_ context.Context, spec *Spec) (*Plan, error) {
	time.Sleep(h.planDelay)
	return NewPlan(spec, h.fleet, time.Now())
}

func (h *harness) DrainBlockers(context.Context) (map[ids.Machine][]string, error) { return nil, nil }

// awaitState waits until a rollout has a state, and fails the test after the timeout.
func (h *harness) awaitState(name Name, want State, timeout time.Duration) *Status {
	h.t.Helper()
	for deadline := time.Now().Add(timeout); ; time.Sleep(100 * time.Millisecond) {
		status, err := h.service.Status(h.ctx, name)
		if err == nil && status.State == want {
			return status
		}
		if time.Now().After(deadline) {
			h.t.Fatalf("rollout %s did not reach state %s within %v: status %+v, error %v", name, want, timeout, status, err)
		}
	}
}

// allMachinesSpec returns the specification of a rollout of all machines.
func allMachinesSpec(name Name) *Spec {
	return &Spec{Name: name, Select: Selection{Older: true}, WaveSize: 10, Deadline: 60, DeadlineAction: WaitAtDeadline}
}
