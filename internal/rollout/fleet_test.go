package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// fleet is machines as a leader knows them. What is ordered happens at once, and what is hired
// comes up, unless a test says otherwise.
type fleet struct {
	mu       sync.Mutex
	machines map[ids.Machine]*weighedMachine
	hires    map[ids.Hire][]ids.Machine
	next     int
	orders   *Orders
	// mostCordoned is the most machines that were closed to new work at a time.
	mostCordoned int
	// refuse has the cloud rent nothing; broken has replacements fail once they are up.
	refuse bool
	broken bool
}

// weighedMachine is a machine and what emptying it takes.
type weighedMachine struct {
	Machine
	Weight
}

func newFleet(machines int) *fleet {
	f := &fleet{machines: map[ids.Machine]*weighedMachine{}, hires: map[ids.Hire][]ids.Machine{}}
	for range machines {
		f.add([]string{"north", "south"}[f.next%2])
	}
	return f
}

func (f *fleet) add(zone string) ids.Machine {
	f.next++
	name := ids.Machine(fmt.Sprintf("host-%06d", f.next))
	f.machines[name] = &weighedMachine{Machine{Kind: Kind{Type: "small", Zone: zone}, Known: true, Up: true, Tasks: 1}, Weight{Steps: 1}}
	return name
}

func (f *fleet) Machine(name ids.Machine) Machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.machines[name]; m != nil {
		return m.Machine
	}
	return Machine{Gone: true}
}
func (f *fleet) Weigh(name ids.Machine) Weight {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machines[name].Weight
}
func (f *fleet) Machines() (names []ids.Machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.machines {
		names = append(names, name)
	}
	return names
}
func (f *fleet) BootTime(Kind) time.Duration { return 30 * time.Second }
func (f *fleet) StepTime() time.Duration     { return 5 * time.Second }
func (f *fleet) HireAnswer(name ids.Hire) ([]ids.Machine, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	machines, answered := f.hires[name]
	return machines, answered
}
func (f *fleet) DrainView() View { return f }

// CarryOut does what is ordered at once.
func (f *fleet) CarryOut(orders *Orders) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = orders
	f.mostCordoned = max(f.mostCordoned, len(orders.Machines))
	for name, order := range orders.Machines {
		m := f.machines[name]
		switch {
		case m == nil:
		case order.Return:
			delete(f.machines, name)
		case order.Drain:
			m.Tasks = 0
		}
	}
	for _, hire := range orders.Hires {
		if f.hires[hire.Name] != nil || f.refuse {
			continue
		}
		for range hire.Count {
			name := f.add(hire.Kind.Zone)
			f.hires[hire.Name] = append(f.hires[hire.Name], name)
			if f.broken {
				f.machines[name].Failed = "it is broken"
			}
		}
	}
}

// set changes the fleet while it is in use.
func (f *fleet) set(change func(*fleet)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// directStore is the leader's store: every write is conditional on what it is told alone.
type directStore struct{ client *state.Client }

func (s directStore) ApplyIf(ctx context.Context, when []state.Condition, ops []state.Op) error {
	_, err := s.client.Commit(ctx, state.Txn{When: when, Then: ops}, state.Normal)
	return err
}

// stage is a runner and a controller's service on one store.
type stage struct {
	t       *testing.T
	ctx     context.Context
	network *fake.Net
	store   *fake.Store
	fleet   *fleet
	service *Service
	// thinks is how long a plan takes.
	thinks time.Duration
}

// The limits of a small state service.
const smallValue, smallTxn = 8192, 12

func play(t *testing.T, machines int, f func(s *stage)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		s := &stage{t: t, ctx: ctx, network: fake.NewNet(), store: fake.NewStore(), fleet: newFleet(machines)}
		s.network.Listen("state:1", s.store)
		s.store.SetLimits(smallValue, smallTxn)
		s.service = s.controller("a")
		f(s)
	})
}

// controller is the commands' side of a controller.
func (s *stage) controller(name string) *Service {
	client := state.NewClient("state:1", s.network.Client(name), state.NewBudget(1000, 1000, 1, 0.6))
	copied := state.NewMirror(client, Prefix, 50*time.Millisecond)
	go copied.Run(s.ctx)
	return &Service{Copy: copied, State: client, Leader: s, Writer: name, Limits: Limits{smallValue, smallTxn},
		Installation: func() Installation {
			return Installation{Zones: []string{"north", "south"}, Types: []string{"small"}, Shards: 1}
		}}
}

// lead carries rollouts on until the context returned is ended.
func (s *stage) lead(name string) context.CancelFunc {
	ctx, cancel := context.WithCancel(s.ctx)
	service := s.controller(name)
	go (&Runner{Copy: service.Copy, Store: directStore{service.State}, Fleet: s.fleet, Writer: name, Limits: service.Limits}).Run(ctx)
	return cancel
}

func (s *stage) PlanDrain(_ context.Context, spec *Spec) (*Preview, error) {
	time.Sleep(s.thinks)
	return MakePreview(spec, s.fleet, time.Now())
}
func (s *stage) DrainWaits(context.Context) (map[ids.Machine][]string, error) { return nil, nil }

// reaches waits until a rollout has a state.
func (s *stage) reaches(name Name, want State, d time.Duration) *Status {
	s.t.Helper()
	for end := time.Now().Add(d); ; time.Sleep(100 * time.Millisecond) {
		status, err := s.service.Status(s.ctx, name)
		if err == nil && status.State == want {
			return status
		}
		if time.Now().After(end) {
			s.t.Fatalf("%s is not %s within %v: %+v, %v", name, want, d, status, err)
		}
	}
}

func wholeFleet(name Name) *Spec {
	return &Spec{Name: name, Select: Selection{Older: true}, WaveSize: 10, Deadline: 60, AtDeadline: Wait}
}

func TestARolloutOverSixThousandMachinesFitsIntoSmallValues(t *testing.T) {
	// The state service takes values of 8 KiB and twelve changes at a time; the fleet's numbers
	// are scattered. A leader that ends in the middle is replaced by one that goes on.
	const machines = 6000
	play(t, 2*machines, func(s *stage) {
		for name := range s.fleet.machines {
			if len(s.fleet.machines) > machines {
				delete(s.fleet.machines, name)
			}
		}
		end := s.lead("b")
		spec := wholeFleet("large")
		spec.WaveSize = 300
		if _, err := s.service.Start(s.ctx, spec); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		end()
		s.lead("c")
		status := s.reaches("large", Ended, 10*time.Minute)
		s.fleet.set(func(f *fleet) {
			if status.Done != machines || len(f.machines) != 0 {
				t.Errorf("%d machines through, %d left", status.Done, len(f.machines))
			}
			if f.mostCordoned > spec.WaveSize {
				t.Errorf("%d machines were cordoned at a time", f.mostCordoned)
			}
		})
		if n := s.store.CountTooLarge(); n > 0 {
			t.Errorf("%d transactions were too large", n)
		}
		time.Sleep(2 * time.Second)
		if n := s.store.Count(leftPrefix); n > 0 {
			t.Errorf("%d parts are left over", n)
		}
	})
}

func TestAWaveThatFitsNoRecordIsRefused(t *testing.T) {
	play(t, 3000, func(s *stage) {
		s.lead("b")
		spec := wholeFleet("wide")
		spec.WaveSize = 3000
		if _, err := s.service.Start(s.ctx, spec); !errors.Is(err, ErrBadSpec) || !strings.Contains(err.Error(), "wave size") {
			t.Errorf("%v", err)
		}
	})
}

func TestBadDescriptionsAreRefusedWithOneLine(t *testing.T) {
	play(t, 4, func(s *stage) {
		s.lead("b")
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
			"at the deadline":        func(spec *Spec) { spec.AtDeadline = "panic" },
			"with 3 shards drains":   nil,
		} {
			spec := wholeFleet("spring")
			service := *s.service
			if change == nil {
				service.Installation = func() Installation { return Installation{Shards: 3} }
			} else {
				change(spec)
			}
			_, err := service.Start(s.ctx, spec)
			if !errors.Is(err, ErrBadSpec) || !strings.Contains(err.Error(), name) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: %v", name, err)
			}
		}
		if n := s.store.Count(Prefix); n > 0 {
			t.Errorf("%d keys were written", n)
		}
	})
}

func TestCommandsMayBeRepeatedAndObeyTheTable(t *testing.T) {
	play(t, 4, func(s *stage) {
		// Nobody leads, so that nothing moves by itself.
		spec := wholeFleet("spring")
		for range 2 {
			if _, err := s.service.Start(s.ctx, spec); err != nil {
				t.Fatal(err)
			}
		}
		other := wholeFleet("spring")
		other.WaveSize = 1
		if _, err := s.service.Start(s.ctx, other); !errors.Is(err, ErrOtherContents) {
			t.Errorf("other contents: %v", err)
		}
		for _, step := range []struct {
			command Command
			state   State
			err     error
		}{
			{PauseIt, Paused, nil}, {PauseIt, Paused, nil}, {ResumeIt, Running, nil}, {ResumeIt, Running, nil},
			{PauseIt, Paused, nil}, {AbortIt, Aborting, nil}, {AbortIt, Aborting, nil}, {ResumeIt, Aborting, ErrBadMove}, {PauseIt, Aborting, ErrBadMove},
			{"explode", Aborting, ErrBadSpec},
		} {
			_, err := s.service.Do(s.ctx, "spring", step.command)
			status, _ := s.service.Status(s.ctx, "spring")
			if !errors.Is(err, step.err) || status.State != step.state {
				t.Errorf("%s: %v, then %s, not %s", step.command, err, status.State, step.state)
			}
		}
		if _, err := s.service.Do(s.ctx, "autumn", PauseIt); !errors.Is(err, ErrNotFound) {
			t.Errorf("unknown rollout: %v", err)
		}
	})
}

func TestOfTwoStartsAtTheSameMomentOneIsTaken(t *testing.T) {
	// Both have read that no other rollout has the machines before either is stored.
	play(t, 4, func(s *stage) {
		s.thinks = time.Second
		outcomes := make(chan error, 2)
		for _, name := range []Name{"first", "second"} {
			service := s.controller(string(name))
			go func() {
				_, err := service.Start(s.ctx, wholeFleet(name))
				outcomes <- err
			}()
		}
		a, b := <-outcomes, <-outcomes
		if (a == nil) == (b == nil) || !errors.Is(errors.Join(a, b), ErrOverlap) {
			t.Errorf("%v and %v", a, b)
		}
	})
}

func TestALostAnswerStartsNothingTwice(t *testing.T) {
	play(t, 6, func(s *stage) {
		lost := 0
		s.network.SetRule(func(from, _ string, r *http.Request, _ []byte) fake.Fate {
			if r.URL.Path == "/commit" && lost < 4 {
				lost++
				return fake.LoseAnswer
			}
			return fake.Deliver
		})
		s.lead("b")
		spec := wholeFleet("spring")
		spec.Replace, spec.WaveSize = true, 3
		if _, err := s.service.Start(s.ctx, spec); err != nil {
			t.Fatal(err)
		}
		if status := s.reaches("spring", Ended, 5*time.Minute); status.Done != 6 {
			t.Errorf("%d machines through", status.Done)
		}
		s.fleet.set(func(f *fleet) {
			if len(f.machines) != 6 || f.next != 12 {
				t.Errorf("%d machines, %d rented in all", len(f.machines), f.next)
			}
		})
	})
}

func TestAHaltedRolloutGoesOnWhenItIsResumed(t *testing.T) {
	for name, trouble := range map[string]func(*fleet, bool){
		"failed: it is broken": func(f *fleet, on bool) { f.broken = on },
		"0 are up":             func(f *fleet, on bool) { f.refuse = on },
	} {
		play(t, 6, func(s *stage) {
			s.fleet.set(func(f *fleet) { trouble(f, true) })
			s.lead("b")
			spec := wholeFleet("spring")
			spec.Replace, spec.Surge, spec.WaveSize, spec.Observe = true, true, 3, 10
			if _, err := s.service.Start(s.ctx, spec); err != nil {
				t.Fatal(err)
			}
			status := s.reaches("spring", Halted, 3*time.Minute)
			if !strings.Contains(status.Why, name) || status.Waiting != 6 {
				t.Errorf("%s: halted for %q with %d waiting", name, status.Why, status.Waiting)
			}
			s.fleet.set(func(f *fleet) { trouble(f, false) })
			if _, err := s.service.Do(s.ctx, "spring", ResumeIt); err != nil {
				t.Fatal(err)
			}
			if status := s.reaches("spring", Ended, 5*time.Minute); status.Done != 6 {
				t.Errorf("%d machines through", status.Done)
			}
		})
	}
}

func TestAStoredRolloutThatCantBeReadIsSetAside(t *testing.T) {
	// Of a newer version, or damaged: it is named, nothing of it is carried out or changed, and
	// the others go on.
	play(t, 4, func(s *stage) {
		put := func(key, value string) {
			txn := state.Txn{Then: []state.Op{{Put: key, Value: json.RawMessage(value)}}}
			if _, err := s.service.State.Commit(s.ctx, txn, state.Urgent); err != nil {
				t.Fatal(err)
			}
		}
		put(runKey("newer"), `{"version":2,"state":"running"}`)
		put(runKey("damaged"), `{"version":1,"state":"running","parts":1}`)
		put(runKey("strange"), `{"version":1,"state":"dancing"}`)
		put(runKey("unreadable"), `[1]`)
		s.lead("b")
		if _, err := s.service.Start(s.ctx, wholeFleet("spring")); err != nil {
			t.Fatal(err)
		}
		s.reaches("spring", Ended, 3*time.Minute)
		all, err := s.service.List(s.ctx)
		if err != nil || len(all) != 5 {
			t.Fatal(all, err)
		}
		for _, name := range []Name{"newer", "damaged", "strange", "unreadable"} {
			listed := slices.ContainsFunc(all, func(status *Status) bool { return status.Name == name && strings.Contains(status.Note, "set aside") })
			_, err := s.service.Do(s.ctx, name, AbortIt)
			_, again := s.service.Start(s.ctx, wholeFleet(name))
			if !listed || !errors.Is(err, ErrSetAside) || !errors.Is(again, ErrSetAside) {
				t.Errorf("%s: listed %v; %v; %v", name, listed, err, again)
			}
		}
	})
}

func TestThePlanIsGreedyAndNamesWhatBlocks(t *testing.T) {
	f := newFleet(6)
	blocked := f.machines["host-000001"]
	blocked.Blocked = []string{"a budget of zero"}
	f.machines["host-000003"].Steps = 5
	spec := wholeFleet("spring")
	spec.Select = Selection{Zone: "north"}
	spec.WaveSize, spec.Pause = 2, 60
	preview, err := MakePreview(spec, f, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	want := [][]ids.Machine{{"host-000005", "host-000003"}, {"host-000001"}}
	if !slices.EqualFunc(preview.Waves, want, slices.Equal) {
		t.Errorf("waves %v, not %v", preview.Waves, want)
	}
	if len(preview.Blocked) != 1 || preview.Blocked[0].Name != "host-000001" {
		t.Errorf("blocked: %v", preview.Blocked)
	}
	if preview.Takes != 95 { // seven steps of 5 s and one pause
		t.Errorf("takes %v s", preview.Takes)
	}
}

func TestNoOtherMoveIsAllowed(t *testing.T) {
	if Ended.May(Running) || Halted.May(Ended) || Aborting.May(Running) || Waiting.May(Draining) || Empty.May(Waiting) || Returned.May(Waiting) {
		t.Error("a move that is in no table is allowed")
	}
	wave := &Wave{Machines: map[MachineState]MachineSet{Empty: NewMachineSet("m1")}}
	if err := wave.moveMachine("m1", Empty, Waiting); !errors.Is(err, ErrBadMove) {
		t.Errorf("an empty machine goes back into service: %v", err)
	}
	if err := wave.moveMachine("m2", Empty, Returned); !errors.Is(err, ErrBadMove) {
		t.Errorf("a machine that is not in the wave is moved: %v", err)
	}
}
