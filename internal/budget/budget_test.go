package budget

import (
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

func number(n int) *int { return &n }

func replica(team string, service ids.Job, up bool) Request {
	return Request{Team: team, Job: service, Service: true, Up: up}
}

func TestAReplicaCountsAsUpOnlyWhenKnownToBeReady(t *testing.T) {
	now := time.Now()
	rules := Readiness{RunningFor: 5 * time.Second, HeardWithin: 3 * time.Second}
	ready := Replica{Running: true, RunningSince: now.Add(-5 * time.Second), HeardAt: now.Add(-3 * time.Second)}
	if !rules.Up(ready, now) {
		t.Error("a ready replica counts as down")
	}
	for name, change := range map[string]func(*Replica){
		"not running":           func(r *Replica) { r.Running = false },
		"running too shortly":   func(r *Replica) { r.RunningSince = r.RunningSince.Add(time.Millisecond) },
		"not heard for a while": func(r *Replica) { r.HeardAt = r.HeardAt.Add(-time.Millisecond) },
		"leaving":               func(r *Replica) { r.Leaving = true },
	} {
		changed := ready
		change(&changed)
		if rules.Up(changed, now) {
			t.Errorf("%s: counts as up", name)
		}
	}
}

func TestPermitsKeepWithinEachBudget(t *testing.T) {
	for _, c := range []struct {
		name        string
		budget      Budget
		wanted, up  int
		interrupted int
		request     Request
		denied      string
	}{
		{"a number", Budget{Replicas: number(2)}, 5, 4, 0, replica("red", "s", true), ""},
		{"a number used up by a fault", Budget{Replicas: number(1)}, 5, 4, 0, replica("red", "s", true), "1 of its 5 replicas are down, of at most 1"},
		{"a share", Budget{Percent: number(40)}, 5, 4, 0, replica("red", "s", true), ""},
		{"a share, rounded down", Budget{Percent: number(39)}, 5, 4, 0, replica("red", "s", true), "of at most 1"},
		{"the smaller counts", Budget{Replicas: number(3), Percent: number(20)}, 5, 4, 0, replica("red", "s", true), "of at most 1"},
		{"zero", Budget{Replicas: number(0)}, 5, 5, 0, replica("red", "s", true), "of at most 0"},
		{"one that starts is down already", Budget{Replicas: number(1)}, 5, 4, 0, replica("red", "s", false), ""},
		{"one that starts, beside another", Budget{Replicas: number(1)}, 5, 3, 0, replica("red", "s", false), "2 of its 5"},
		{"the last replica", Default(), 1, 1, 0, replica("red", "s", true), "last replica of s"},
		{"the last replica, allowed", Budget{Replicas: number(1), LastReplica: true}, 1, 1, 0, replica("red", "s", true), ""},
		{"another task", Default(), 0, 0, 0, Request{Team: "red", Job: "a", Tasks: 1}, ""},
		{"another task too many", Default(), 0, 0, 1, Request{Team: "red", Job: "a", Tasks: 1}, "1 tasks are interrupted"},
		{"a gang counts whole", Default(), 0, 0, 0, Request{Team: "red", Job: "g", Tasks: 2}, "2 more would be"},
	} {
		meter := NewMeter(NewBudgets(Default(), map[string]Budget{"red": c.budget}))
		if c.wanted > 0 {
			meter.CountService("red", "s", c.wanted, c.up)
		}
		meter.CountInterrupted("red", c.interrupted)
		denials := meter.Permit(c.request)
		if c.denied == "" && len(denials) > 0 || c.denied != "" && (len(denials) != 1 || !strings.Contains(denials[0].Why, c.denied)) {
			t.Errorf("%s: %v, not %q", c.name, denials, c.denied)
		}
	}
}

func TestAStepGetsAllItsPermitsOrNone(t *testing.T) {
	// A machine holds tasks of two teams. Where only one of them may lose a task, nothing is
	// taken of either, and both reasons are told where both are at their ends.
	meter := NewMeter(NewBudgets(Default(), nil))
	meter.CountService("red", "r", 3, 3)
	meter.CountService("blue", "b", 3, 2)
	step := []Request{replica("red", "r", true), replica("blue", "b", true)}
	if denials := meter.Permit(step...); len(denials) != 1 || denials[0].Team != "blue" {
		t.Errorf("denied for %v", denials)
	}
	if usage := meter.Usage("red"); usage.Down != 0 {
		t.Errorf("%d replicas of the other team are held", usage.Down)
	}
	if denials := meter.Permit(step[0]); len(denials) > 0 {
		t.Errorf("denied alone as well: %v", denials)
	}
	if denials := meter.Permit(step...); len(denials) != 2 {
		t.Errorf("with both at their ends only %v is told", denials)
	}
}

func TestAStoredPermitIsLookedAtAgainBeforeTheStop(t *testing.T) {
	// The permit's own task counts as down already; a neighbour that failed since is one too many.
	request := replica("red", "r", true)
	for _, c := range []struct {
		up  int
		may bool
	}{{2, true}, {1, false}} {
		meter := NewMeter(NewBudgets(Default(), nil))
		meter.CountService("red", "r", 3, c.up)
		if denial := meter.Confirm(request); (denial == nil) != c.may {
			t.Errorf("with %d of 3 up: %v", c.up, denial)
		}
	}
	meter := NewMeter(NewBudgets(Budget{Replicas: number(3)}, nil))
	meter.CountService("red", "r", 3, 0)
	if meter.Confirm(request) == nil {
		t.Error("the last replica is stopped after the others failed")
	}
}

func TestImpossibleBudgetsAreRefused(t *testing.T) {
	for name, budget := range map[string]Budget{
		"a negative number":         {Replicas: number(-1)},
		"over a hundred percent":    {Percent: number(101)},
		"negative interruptions":    {Interrupted: -1},
		"the last of none that may": {Replicas: number(0), LastReplica: true},
	} {
		if budget.Check() == nil {
			t.Errorf("%s is taken", name)
		}
	}
	if err := Default().Check(); err != nil {
		t.Error(err)
	}
}
