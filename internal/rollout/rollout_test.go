package rollout

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

func TestRolloutOfSixThousandMachinesFitsSmallValues(t *testing.T) {
	// The state service accepts values of 8 KiB and twelve operations per transaction, and the machine
	// numbers are scattered. The leader ends during the rollout, and its successor continues it.
	const machines = 6000
	runHarness(t, 2*machines, func(h *harness) {
		for name := range h.fleet.machines {
			if len(h.fleet.machines) > machines {
				delete(h.fleet.machines, name)
			}
		}
		stopLeader := h.startLeader("b")
		spec := allMachinesSpec("large")
		spec.WaveSize = 300
		if _, err := h.service.Start(h.ctx, spec); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		stopLeader()
		h.startLeader("c")
		status := h.awaitState("large", Ended, 10*time.Minute)
		h.fleet.change(func(f *fakeFleet) {
			if status.Done != machines || len(f.machines) != 0 {
				t.Errorf("%d machines done, %d left in the fleet; want 6000 and 0", status.Done, len(f.machines))
			}
			if f.maxCordoned > spec.WaveSize {
				t.Errorf("%d machines were cordoned at the same time, more than the wave size", f.maxCordoned)
			}
		})
		if n := h.store.OversizedTransactions(); n > 0 {
			t.Errorf("%d transactions exceeded the limits of the state service", n)
		}
		time.Sleep(2 * time.Second)
		if n := h.store.CountKeys(waitingPrefix); n > 0 {
			t.Errorf("%d parts of waiting machines are still stored after the end", n)
		}
	})
}

func TestWaveTooLargeForARecordIsRejected(t *testing.T) {
	runHarness(t, 3000, func(h *harness) {
		h.startLeader("b")
		spec := allMachinesSpec("wide")
		spec.WaveSize = 3000
		if _, err := h.service.Start(h.ctx, spec); !errors.Is(err, ErrInvalidSpec) || !strings.Contains(err.Error(), "wave size") {
			t.Errorf("start with too large a wave size: error %v, want ErrInvalidSpec that names the wave size", err)
		}
	})
}

func TestInvalidSpecsAreRejectedInOneLine(t *testing.T) {
	runHarness(t, 4, func(h *harness) {
		h.startLeader("b")
		for name, change := range map[string]func(*Spec){
			"name":                   func(spec *Spec) { spec.Name = "Spring 1" },
			"nothing selects":        func(spec *Spec) { spec.Select = Selection{} },
			"unknown zone":           func(spec *Spec) { spec.Select.Zone = "west" },
			"unknown machine type":   func(spec *Spec) { spec.Select.Type = "huge" },
			"unknown machine \"m\"":  func(spec *Spec) { spec.Select.Machines = []ids.Machine{"m"} },
			"no machine is selected": func(spec *Spec) { spec.Select.Zone, spec.Select.Machines = "south", []ids.Machine{"host-000001"} },
			"wave size":              func(spec *Spec) { spec.WaveSize = 0 },
			"pause and observation":  func(spec *Spec) { spec.Pause = -1 },
			"deadline":               func(spec *Spec) { spec.Deadline = 0 },
			"at the deadline":        func(spec *Spec) { spec.DeadlineAction = "panic" },
			"with 3 shards drains":   nil,
		} {
			spec := allMachinesSpec("spring")
			service := *h.service
			if change == nil {
				service.Installation = func() Installation { return Installation{Shards: 3} }
			} else {
				change(spec)
			}
			_, err := service.Start(h.ctx, spec)
			if !errors.Is(err, ErrInvalidSpec) || !strings.Contains(err.Error(), name) || strings.Contains(err.Error(), "\n") {
				t.Errorf("start with an invalid specification (%s): error %v, want ErrInvalidSpec in one line", name, err)
			}
		}
		if n := h.store.CountKeys(Prefix); n > 0 {
			t.Errorf("rejected starts wrote %d keys", n)
		}
	})
}

func TestCommandsAreIdempotentAndFollowTheTransitions(t *testing.T) {
	runHarness(t, 4, func(h *harness) {
		// There is no leader, so only commands change the rollout.
		spec := allMachinesSpec("spring")
		for range 2 {
			if _, err := h.service.Start(h.ctx, spec); err != nil {
				t.Fatal(err)
			}
		}
		other := allMachinesSpec("spring")
		other.WaveSize = 1
		if _, err := h.service.Start(h.ctx, other); !errors.Is(err, ErrSpecConflict) {
			t.Errorf("start with the same name and another specification: error %v, want ErrSpecConflict", err)
		}
		for _, step := range []struct {
			command Command
			state   State
			err     error
		}{
			{CommandPause, Paused, nil},
			{CommandPause, Paused, nil},
			{CommandResume, Running, nil},
			{CommandResume, Running, nil},
			{CommandPause, Paused, nil},
			{CommandAbort, Aborting, nil},
			{CommandAbort, Aborting, nil},
			{CommandResume, Aborting, ErrInvalidTransition},
			{CommandPause, Aborting, ErrInvalidTransition},
			{"explode", Aborting, ErrInvalidSpec},
		} {
			_, err := h.service.Execute(h.ctx, "spring", step.command)
			status, statusErr := h.service.Status(h.ctx, "spring")
			if statusErr != nil {
				t.Fatal(statusErr)
			}
			if !errors.Is(err, step.err) || status.State != step.state {
				t.Errorf("command %s: error %v, then state %s, want %s", step.command, err, status.State, step.state)
			}
		}
		if _, err := h.service.Execute(h.ctx, "autumn", CommandPause); !errors.Is(err, ErrNotFound) {
			t.Errorf("pause of an unknown rollout: error %v, want ErrNotFound", err)
		}
	})
}

func TestOneOfTwoConcurrentOverlappingStartsSucceeds(t *testing.T) {
	// Both starts read that no other rollout has the machines before either is stored.
	runHarness(t, 4, func(h *harness) {
		h.planDelay = time.Second
		outcomes := make(chan error, 2)
		for _, name := range []Name{"first", "second"} {
			service := h.controller(string(name))
			go func() {
				_, err := service.Start(h.ctx, allMachinesSpec(name))
				outcomes <- err
			}()
		}
		first, second := <-outcomes, <-outcomes
		if (first == nil) == (second == nil) || !errors.Is(errors.Join(first, second), ErrOverlap) {
			t.Errorf("concurrent overlapping starts: errors %v and %v, want one nil and one ErrOverlap", first, second)
		}
	})
}

func TestLostAnswersDuplicateNothing(t *testing.T) {
	runHarness(t, 6, func(h *harness) {
		droppedResponses := 0
		h.network.SetRule(func(from, _ string, r *http.Request, _ []byte) fake.Outcome {
			if r.URL.Path == "/commit" && droppedResponses < 4 {
				droppedResponses++
				return fake.DropResponse
			}
			return fake.Deliver
		})
		h.startLeader("b")
		spec := allMachinesSpec("spring")
		spec.Replace, spec.WaveSize = true, 3
		if _, err := h.service.Start(h.ctx, spec); err != nil {
			t.Fatal(err)
		}
		if status := h.awaitState("spring", Ended, 5*time.Minute); status.Done != 6 {
			t.Errorf("%d machines done, want 6", status.Done)
		}
		h.fleet.change(func(f *fakeFleet) {
			if len(f.machines) != 6 || f.lastNumber != 12 {
				t.Errorf("fleet has %d machines, %d provisioned in total; want 6 and 12", len(f.machines), f.lastNumber)
			}
		})
	})
}

func TestHaltedRolloutContinuesWhenResumed(t *testing.T) {
	for name, setFailure := range map[string]func(*fakeFleet, bool){
		"failed: it is broken": func(f *fakeFleet, enabled bool) { f.replacementsFail = enabled },
		"0 are up":             func(f *fakeFleet, enabled bool) { f.provisionNothing = enabled },
	} {
		runHarness(t, 6, func(h *harness) {
			h.fleet.change(func(f *fakeFleet) { setFailure(f, true) })
			h.startLeader("b")
			spec := allMachinesSpec("spring")
			spec.Replace, spec.Surge, spec.WaveSize, spec.Observe = true, true, 3, 10
			if _, err := h.service.Start(h.ctx, spec); err != nil {
				t.Fatal(err)
			}
			status := h.awaitState("spring", Halted, 3*time.Minute)
			if !strings.Contains(status.Reason, name) || status.Waiting != 6 {
				t.Errorf("%s: halted with reason %q and %d machines waiting, want 6", name, status.Reason, status.Waiting)
			}
			h.fleet.change(func(f *fakeFleet) { setFailure(f, false) })
			if _, err := h.service.Execute(h.ctx, "spring", CommandResume); err != nil {
				t.Fatal(err)
			}
			if status := h.awaitState("spring", Ended, 5*time.Minute); status.Done != 6 {
				t.Errorf("%d machines done after the resumption, want 6", status.Done)
			}
		})
	}
}

func TestUnreadableRolloutIsListedAndNotChanged(t *testing.T) {
	// A rollout of a newer version and a corrupt one are listed, but neither executed nor changed, and
	// the other rollouts continue.
	runHarness(t, 4, func(h *harness) {
		put := func(key, value string) {
			txn := state.Txn{Ops: []state.Op{{Put: key, Value: json.RawMessage(value)}}}
			if _, err := h.service.Client.Commit(h.ctx, txn, state.Urgent); err != nil {
				t.Fatal(err)
			}
		}
		put(recordKey("newer"), `{"version":2,"state":"running"}`)
		put(recordKey("damaged"), `{"version":1,"state":"running","parts":1}`)
		put(recordKey("strange"), `{"version":1,"state":"dancing"}`)
		put(recordKey("unreadable"), `[1]`)
		h.startLeader("b")
		if _, err := h.service.Start(h.ctx, allMachinesSpec("spring")); err != nil {
			t.Fatal(err)
		}
		h.awaitState("spring", Ended, 3*time.Minute)
		statuses, err := h.service.List(h.ctx)
		if err != nil || len(statuses) != 5 {
			t.Fatal(statuses, err)
		}
		for _, name := range []Name{"newer", "damaged", "strange", "unreadable"} {
			listed := slices.ContainsFunc(statuses, func(status *Status) bool { return status.Name == name && strings.Contains(status.Note, "set aside") })
			_, err := h.service.Execute(h.ctx, name, CommandAbort)
			_, startErr := h.service.Start(h.ctx, allMachinesSpec(name))
			if !listed || !errors.Is(err, ErrUnreadable) || !errors.Is(startErr, ErrUnreadable) {
				t.Errorf("rollout %s: listed as unreadable %v; abort error %v, start error %v; want ErrUnreadable", name, listed, err, startErr)
			}
		}
	})
}

func TestPlanIsGreedyAndListsBlockedMachines(t *testing.T) {
	fleet := newFakeFleet(6)
	blocked := fleet.machines["host-000001"]
	blocked.cost.Blocked = []string{"a budget of zero"}
	fleet.machines["host-000003"].cost.Steps = 5
	spec := allMachinesSpec("spring")
	spec.Select = Selection{Zone: "north"}
	spec.WaveSize, spec.Pause = 2, 60
	plan, err := NewPlan(spec, fleet, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	want := [][]ids.Machine{{"host-000005", "host-000003"}, {"host-000001"}}
	if !slices.EqualFunc(plan.Waves, want, slices.Equal) {
		t.Errorf("planned waves %v, want %v", plan.Waves, want)
	}
	if len(plan.Blocked) != 1 || plan.Blocked[0].Name != "host-000001" {
		t.Errorf("blocked machines %v, want only host-000001", plan.Blocked)
	}
	if plan.Takes != 95 { // seven steps of 5 s and one pause of 60 s
		t.Errorf("planned duration %v s, want 95 s", plan.Takes)
	}
}

func TestUnlistedTransitionsAreRejected(t *testing.T) {
	if Ended.canBecome(Running) || Halted.canBecome(Ended) || Aborting.canBecome(Running) || Waiting.canBecome(Draining) || Empty.canBecome(Waiting) || Returned.canBecome(Waiting) {
		t.Error("a transition that is not listed is allowed")
	}
	wave := &Wave{Machines: map[MachineState]MachineSet{Empty: NewMachineSet("m1")}}
	if err := wave.transition("m1", Empty, Waiting); !errors.Is(err, ErrInvalidTransition) {
		t.Errorf("transition of an empty machine to waiting: error %v, want ErrInvalidTransition", err)
	}
	if err := wave.transition("m2", Empty, Returned); !errors.Is(err, ErrInvalidTransition) {
		t.Errorf("transition of a machine that is not in the wave: error %v, want ErrInvalidTransition", err)
	}
}
