package budget

import (
	"fmt"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Meter counts the disruptions of all teams at one moment, by drains and by failures alike, and
// grants what their budgets leave. It is made anew for each evaluation, so it can't drift from
// the records and heartbeats that it was made from.
type Meter struct {
	budgets *Budgets
	teams   map[string]*usage
	ready   map[ids.Job]int // ready replicas of each service
}

// usage is how much of a team's budget is used up.
type usage struct {
	desired     int // replicas of its services
	unavailable int // of these, not ready
	interrupted int // other tasks that were evicted and do not run again yet
}

// NewMeter makes a meter that has counted nothing yet.
func NewMeter(budgets *Budgets) *Meter {
	return &Meter{budgets: budgets, teams: map[string]*usage{}, ready: map[ids.Job]int{}}
}

// CountService counts a service: how many replicas it should have, and how many are ready.
func (m *Meter) CountService(team string, service ids.Job, desired, ready int) {
	used := m.usage(team)
	used.desired += desired
	used.unavailable += desired - ready
	m.ready[service] = ready
}

// CountInterrupted counts other tasks that were evicted and do not run again yet.
func (m *Meter) CountInterrupted(team string, tasks int) { m.usage(team).interrupted += tasks }

// usage finds or adds what a team has used up.
func (m *Meter) usage(team string) *usage {
	used := m.teams[team]
	if used == nil {
		used = &usage{}
		m.teams[team] = used
	}
	return used
}

// Request is the eviction of one task, or of one gang.
type Request struct {
	Team string
	Job  ids.Job
	// Service tells a replica from other tasks.
	Service bool
	// Ready tells that the replica is ready: then one more becomes unavailable.
	Ready bool
	// Tasks is how many tasks of a job that is no service are interrupted.
	Tasks int
}

// Denial says why a permit is refused. It names what is missing, so that an operator can see
// what a machine waits for.
type Denial struct {
	Team   string
	Reason string
}

func (d Denial) String() string { return fmt.Sprintf("team %s: %s", d.Team, d.Reason) }

// denied makes the denial of a request.
func denied(request Request, format string, args ...any) *Denial {
	return &Denial{Team: request.Team, Reason: fmt.Sprintf(format, args...)}
}

// Permit grants all requests or none. What is granted counts from then on; a refusal counts
// nothing, and tells each reason, not only the first.
func (m *Meter) Permit(requests ...Request) []Denial {
	var granted []Request
	var denials []Denial
	for _, request := range requests {
		denial := m.grant(request)
		if denial == nil {
			granted = append(granted, request)
		} else if !slices.Contains(denials, *denial) {
			denials = append(denials, *denial)
		}
	}
	if len(denials) > 0 {
		m.revoke(granted)
	}
	return denials
}

// DryRun tells what Permit would refuse, and counts nothing.
func (m *Meter) DryRun(requests ...Request) []Denial {
	denials := m.Permit(requests...)
	if len(denials) == 0 {
		m.revoke(requests)
	}
	return denials
}

// revoke takes granted requests off the counts again.
func (m *Meter) revoke(granted []Request) {
	for _, request := range granted {
		used := m.usage(request.Team)
		switch {
		case !request.Service:
			used.interrupted -= request.Tasks
		case request.Ready:
			used.unavailable--
			m.ready[request.Job]++
		}
	}
}

// grant counts a request, or tells why it can't be granted.
func (m *Meter) grant(request Request) *Denial {
	if request.Service {
		return m.grantReplica(request)
	}
	used, budget := m.usage(request.Team), m.budgets.Of(request.Team)
	if used.interrupted+request.Tasks > budget.MaxInterrupted {
		return denied(request, "%d tasks are interrupted and %d more would be, of at most %d at a time",
			used.interrupted, request.Tasks, budget.MaxInterrupted)
	}
	used.interrupted += request.Tasks
	return nil
}

// grantReplica counts the eviction of a replica, or tells why it can't be granted. One that is
// not ready counts as unavailable already.
func (m *Meter) grantReplica(request Request) *Denial {
	used, budget := m.usage(request.Team), m.budgets.Of(request.Team)
	unavailable := used.unavailable
	if request.Ready {
		unavailable++
	}
	if maxUnavailable := budget.UnavailableAllowed(used.desired); unavailable > maxUnavailable {
		return denied(request, "%d of its %d replicas are down, of at most %d at a time",
			used.unavailable, used.desired, maxUnavailable)
	}
	if !request.Ready {
		return nil
	}
	if m.ready[request.Job] <= 1 && !budget.AllowLastReplica {
		return denied(request, "it would stop the last replica of %s that is up", request.Job)
	}
	used.unavailable = unavailable
	m.ready[request.Job]--
	return nil
}

// Confirm tells whether a permit that is stored, and so counted already, may be used now: what
// failed by itself since may have used the budget up. A refusal does not revoke the permit: its
// task stays counted as unavailable, and the eviction waits.
func (m *Meter) Confirm(request Request) *Denial {
	used, budget := m.usage(request.Team), m.budgets.Of(request.Team)
	maxUnavailable := budget.UnavailableAllowed(used.desired)
	switch {
	case !request.Service && used.interrupted > budget.MaxInterrupted:
		return denied(request, "%d tasks are interrupted, of at most %d at a time", used.interrupted, budget.MaxInterrupted)
	case request.Service && used.unavailable > maxUnavailable:
		return denied(request, "%d of its %d replicas are down since the permit, of at most %d at a time",
			used.unavailable, used.desired, maxUnavailable)
	case request.Service && request.Ready && m.ready[request.Job] < 1 && !budget.AllowLastReplica:
		return denied(request, "the other replicas of %s are down since the permit", request.Job)
	}
	return nil
}
