package budget

import (
	"fmt"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Meter counts the current disruptions of all teams, by drains and by failures alike, and grants evictions
// within the remaining budgets. A new Meter is made for each evaluation, so its counts can't diverge from
// the records and heartbeats that they are derived from.
type Meter struct {
	budgets *Budgets
	teams   map[string]*usage
	ready   map[ids.Job]int // ready replicas of each service
}

// usage is the used part of a team's budget.
type usage struct {
	desired     int // desired replicas of its services
	unavailable int // replicas of its services that are not ready
	interrupted int // other tasks that were evicted and are not running again yet
}

// NewMeter returns a Meter without any counts.
func NewMeter(budgets *Budgets) *Meter {
	return &Meter{budgets: budgets, teams: map[string]*usage{}, ready: map[ids.Job]int{}}
}

// CountService adds a service with its numbers of desired and of ready replicas.
func (m *Meter) CountService(team string, service ids.Job, desired, ready int) {
	used := m.usage(team)
	used.desired += desired
	used.unavailable += desired - ready
	m.ready[service] = ready
}

// CountInterrupted adds tasks, other than replicas of services, that were evicted and are not running
// again yet.
func (m *Meter) CountInterrupted(team string, tasks int) { m.usage(team).interrupted += tasks }

// usage returns the usage of a team, and adds it if there is none.
func (m *Meter) usage(team string) *usage {
	used := m.teams[team]
	if used == nil {
		used = &usage{}
		m.teams[team] = used
	}
	return used
}

// Request is a request to evict one task or one gang.
type Request struct {
	Team string
	Job  ids.Job
	// Service is true for a replica of a service, and false for other tasks.
	Service bool
	// Ready is true if the replica is ready, so that its eviction makes one more replica unavailable.
	Ready bool
	// Tasks is the number of tasks that are interrupted; it is used if the job is not a service.
	Tasks int
}

// Denial is the reason for refusing a permit. It names what is missing, so that an operator can see what a
// machine waits for.
type Denial struct {
	Team   string
	Reason string
}

func (d Denial) String() string { return fmt.Sprintf("team %s: %s", d.Team, d.Reason) }

// newDenial returns the denial of a request with a formatted reason.
func newDenial(request Request, format string, args ...any) *Denial {
	return &Denial{Team: request.Team, Reason: fmt.Sprintf(format, args...)}
}

// Permit grants all requests or none. Granted requests are counted. If it refuses, it counts nothing and
// returns every reason, not only the first.
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

// DryRun returns what Permit would return, without counting anything.
func (m *Meter) DryRun(requests ...Request) []Denial {
	denials := m.Permit(requests...)
	if len(denials) == 0 {
		m.revoke(requests)
	}
	return denials
}

// revoke subtracts granted requests from the counts.
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

// grant counts a request, or returns the reason why it can't be granted.
func (m *Meter) grant(request Request) *Denial {
	if request.Service {
		return m.grantReplica(request)
	}
	used, budget := m.usage(request.Team), m.budgets.ForTeam(request.Team)
	if used.interrupted+request.Tasks > budget.MaxInterrupted {
		return newDenial(request, "%d tasks are interrupted and %d more would be, of at most %d at a time",
			used.interrupted, request.Tasks, budget.MaxInterrupted)
	}
	used.interrupted += request.Tasks
	return nil
}

// grantReplica counts the eviction of a replica, or returns the reason why it can't be granted. A replica
// that is not ready is already counted as unavailable.
func (m *Meter) grantReplica(request Request) *Denial {
	used, budget := m.usage(request.Team), m.budgets.ForTeam(request.Team)
	unavailable := used.unavailable
	if request.Ready {
		unavailable++
	}
	if maxUnavailable := budget.UnavailableAllowed(used.desired); unavailable > maxUnavailable {
		return newDenial(request, "%d of its %d replicas are down, of at most %d at a time",
			used.unavailable, used.desired, maxUnavailable)
	}
	if !request.Ready {
		return nil
	}
	if m.ready[request.Job] <= 1 && !budget.AllowLastReplica {
		return newDenial(request, "it would stop the last replica of %s that is up", request.Job)
	}
	used.unavailable = unavailable
	m.ready[request.Job]--
	return nil
}

// Confirm checks whether a stored permit, which is already counted, may be used now, since later failures
// may have exhausted the budget. It returns nil if it may be used. A denial does not revoke the permit: its
// task stays counted as unavailable, and the eviction waits.
func (m *Meter) Confirm(request Request) *Denial {
	used, budget := m.usage(request.Team), m.budgets.ForTeam(request.Team)
	maxUnavailable := budget.UnavailableAllowed(used.desired)
	switch {
	case !request.Service && used.interrupted > budget.MaxInterrupted:
		return newDenial(request, "%d tasks are interrupted, of at most %d at a time", used.interrupted, budget.MaxInterrupted)
	case request.Service && used.unavailable > maxUnavailable:
		return newDenial(request, "%d of its %d replicas are down since the permit, of at most %d at a time",
			used.unavailable, used.desired, maxUnavailable)
	case request.Service && request.Ready && m.ready[request.Job] < 1 && !budget.AllowLastReplica:
		return newDenial(request, "the other replicas of %s are down since the permit", request.Job)
	}
	return nil
}
