package budget

import (
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

func pointerTo(n int) *int { return &n }

// replicaRequest returns a request to evict one replica.
func replicaRequest(team string, service ids.Job, ready bool) Request {
	return Request{Team: team, Job: service, Service: true, Ready: ready}
}

func TestReplicaIsReadyOnlyWhenKnownToBe(t *testing.T) {
	now := time.Now()
	rules := Readiness{MinRunning: 5 * time.Second, MaxHeartbeatAge: 3 * time.Second}
	ready := Replica{Running: true, RunningSince: now.Add(-5 * time.Second), LastHeartbeat: now.Add(-3 * time.Second)}
	if !rules.IsReady(ready, now) {
		t.Error("a ready replica counts as unavailable")
	}
	for name, change := range map[string]func(*Replica){
		"not running":                 func(r *Replica) { r.Running = false },
		"not running for long enough": func(r *Replica) { r.RunningSince = r.RunningSince.Add(time.Millisecond) },
		"no recent heartbeat":         func(r *Replica) { r.LastHeartbeat = r.LastHeartbeat.Add(-time.Millisecond) },
		"being terminated":            func(r *Replica) { r.Terminating = true },
	} {
		t.Run(name, func(t *testing.T) {
			changed := ready
			change(&changed)
			if rules.IsReady(changed, now) {
				t.Error("the replica counts as ready")
			}
		})
	}
}

func TestPermitsStayWithinEachBudget(t *testing.T) {
	for _, c := range []struct {
		name           string
		budget         Budget
		desired, ready int
		interrupted    int
		request        Request
		denied         string
	}{
		{"a number", Budget{MaxUnavailable: pointerTo(2)}, 5, 4, 0, replicaRequest("red", "s", true), ""},
		{"a number used up by a fault", Budget{MaxUnavailable: pointerTo(1)}, 5, 4, 0, replicaRequest("red", "s", true), "1 of its 5 replicas are down, of at most 1"},
		{"a share", Budget{MaxUnavailablePercent: pointerTo(40)}, 5, 4, 0, replicaRequest("red", "s", true), ""},
		{"a share, rounded down", Budget{MaxUnavailablePercent: pointerTo(39)}, 5, 4, 0, replicaRequest("red", "s", true), "of at most 1"},
		{"the smaller counts", Budget{MaxUnavailable: pointerTo(3), MaxUnavailablePercent: pointerTo(20)}, 5, 4, 0, replicaRequest("red", "s", true), "of at most 1"},
		{"zero", Budget{MaxUnavailable: pointerTo(0)}, 5, 5, 0, replicaRequest("red", "s", true), "of at most 0"},
		{"one that starts is down already", Budget{MaxUnavailable: pointerTo(1)}, 5, 4, 0, replicaRequest("red", "s", false), ""},
		{"one that starts, beside another", Budget{MaxUnavailable: pointerTo(1)}, 5, 3, 0, replicaRequest("red", "s", false), "2 of its 5"},
		{"the last replica", Default(), 1, 1, 0, replicaRequest("red", "s", true), "last replica of s"},
		{"the last replica, allowed", Budget{MaxUnavailable: pointerTo(1), AllowLastReplica: true}, 1, 1, 0, replicaRequest("red", "s", true), ""},
		{"another task", Default(), 0, 0, 0, Request{Team: "red", Job: "a", Tasks: 1}, ""},
		{"another task too many", Default(), 0, 0, 1, Request{Team: "red", Job: "a", Tasks: 1}, "1 tasks are interrupted"},
		{"a gang counts whole", Default(), 0, 0, 0, Request{Team: "red", Job: "g", Tasks: 2}, "2 more would be"},
	} {
		t.Run(c.name, func(t *testing.T) {
			meter := NewMeter(NewBudgets(Default(), map[string]Budget{"red": c.budget}))
			if c.desired > 0 {
				meter.CountService("red", "s", c.desired, c.ready)
			}
			meter.CountInterrupted("red", c.interrupted)
			denials := meter.Permit(c.request)
			if c.denied == "" && len(denials) > 0 || c.denied != "" && (len(denials) != 1 || !strings.Contains(denials[0].Reason, c.denied)) {
				t.Errorf("denials %v, want %q", denials, c.denied)
			}
		})
	}
}

func TestPermitGrantsAllRequestsOrNone(t *testing.T) {
	// A machine runs tasks of two teams. If only one of the teams may lose a task, none is evicted. If both
	// budgets are exhausted, both reasons are returned.
	meter := NewMeter(NewBudgets(Default(), nil))
	meter.CountService("red", "r", 3, 3)
	meter.CountService("blue", "b", 3, 2)
	requests := []Request{replicaRequest("red", "r", true), replicaRequest("blue", "b", true)}
	if denials := meter.Permit(requests...); len(denials) != 1 || denials[0].Team != "blue" {
		t.Errorf("denials %v, want one for team blue", denials)
	}
	if used := meter.usage("red"); used.unavailable != 0 {
		t.Errorf("%d unavailable replicas of team red are counted after a refusal", used.unavailable)
	}
	if denials := meter.Permit(requests[0]); len(denials) > 0 {
		t.Errorf("request of team red alone: denials %v", denials)
	}
	if denials := meter.Permit(requests...); len(denials) != 2 {
		t.Errorf("with both budgets exhausted: denials %v, want two", denials)
	}
}

func TestStoredPermitIsConfirmedBeforeTheEviction(t *testing.T) {
	// The task of the permit already counts as unavailable. Another replica that failed since exceeds the
	// budget.
	request := replicaRequest("red", "r", true)
	for _, c := range []struct {
		ready     int
		confirmed bool
	}{{2, true}, {1, false}} {
		meter := NewMeter(NewBudgets(Default(), nil))
		meter.CountService("red", "r", 3, c.ready)
		if denial := meter.Confirm(request); (denial == nil) != c.confirmed {
			t.Errorf("with %d of 3 replicas ready: denial %v", c.ready, denial)
		}
	}
	meter := NewMeter(NewBudgets(Budget{MaxUnavailable: pointerTo(3)}, nil))
	meter.CountService("red", "r", 3, 0)
	if meter.Confirm(request) == nil {
		t.Error("permit for the last replica is confirmed after the others failed")
	}
}

func TestInvalidBudgetsAreRejected(t *testing.T) {
	for name, budget := range map[string]Budget{
		"a negative number":         {MaxUnavailable: pointerTo(-1)},
		"over a hundred percent":    {MaxUnavailablePercent: pointerTo(101)},
		"negative interruptions":    {MaxInterrupted: -1},
		"the last of none that may": {MaxUnavailable: pointerTo(0), AllowLastReplica: true},
	} {
		t.Run(name, func(t *testing.T) {
			if budget.Check() == nil {
				t.Error("the budget is accepted")
			}
		})
	}
	if err := Default().Check(); err != nil {
		t.Error(err)
	}
}
