package rollout

import (
	"fmt"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// fakeFleet is an in-memory Fleet. It carries out orders immediately, and provisioned machines become
// ready at once, unless a test sets a failure.
type fakeFleet struct {
	mu          sync.Mutex
	machines    map[ids.Machine]*fakeMachine
	provisioned map[ids.ProvisioningRequest][]ids.Machine
	lastNumber  int
	// maxCordoned is the maximum number of machines cordoned at the same time.
	maxCordoned int
	// provisionNothing makes the fleet provision nothing; replacementsFail makes replacements fail
	// once they are ready.
	provisionNothing bool
	replacementsFail bool
}

// fakeMachine is a machine with the cost of draining it.
type fakeMachine struct {
	MachineInfo
	cost DrainCost
}

func newFakeFleet(machines int) *fakeFleet {
	f := &fakeFleet{machines: map[ids.Machine]*fakeMachine{}, provisioned: map[ids.ProvisioningRequest][]ids.Machine{}}
	for range machines {
		f.add([]string{"north", "south"}[f.lastNumber%2])
	}
	return f
}

func (f *fakeFleet) add(zone string) ids.Machine {
	f.lastNumber++
	name := ids.Machine(fmt.Sprintf("host-%06d", f.lastNumber))
	f.machines[name] = &fakeMachine{
		MachineInfo: MachineInfo{Class: InstanceClass{Type: "small", Zone: zone}, Known: true, Ready: true, TaskCount: 1},
		cost:        DrainCost{Steps: 1},
	}
	return name
}

func (f *fakeFleet) Machine(name ids.Machine) MachineInfo {
	f.mu.Lock()
	defer f.mu.Unlock()
	if machine := f.machines[name]; machine != nil {
		return machine.MachineInfo
	}
	return MachineInfo{Deleted: true}
}

func (f *fakeFleet) DrainCost(name ids.Machine) DrainCost {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machines[name].cost
}

func (f *fakeFleet) Machines() (names []ids.Machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.machines {
		names = append(names, name)
	}
	return names
}

func (f *fakeFleet) BootTime(InstanceClass) time.Duration { return 30 * time.Second }
func (f *fakeFleet) StepTime() time.Duration              { return 5 * time.Second }

func (f *fakeFleet) ProvisionedMachines(name ids.ProvisioningRequest) ([]ids.Machine, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	machines, answered := f.provisioned[name]
	return machines, answered
}

func (f *fakeFleet) RolloutView() FleetView { return f }

// SetOrders replaces the orders and executes them immediately.
func (f *fakeFleet) SetOrders(orders *Orders) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxCordoned = max(f.maxCordoned, len(orders.Machines))
	for name, order := range orders.Machines {
		machine := f.machines[name]
		switch {
		case machine == nil:
		case order.Return:
			delete(f.machines, name)
		case order.Drain:
			machine.TaskCount = 0
		}
	}
	for _, request := range orders.Provisioning {
		if f.provisioned[request.Name] != nil || f.provisionNothing {
			continue
		}
		for range request.Count {
			name := f.add(request.Class.Zone)
			f.provisioned[request.Name] = append(f.provisioned[request.Name], name)
			if f.replacementsFail {
				f.machines[name].Failed = "it is broken"
			}
		}
	}
}

// change calls a function that changes or checks the fleet, under its lock.
func (f *fakeFleet) change(change func(*fakeFleet)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}
