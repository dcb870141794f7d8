package budget

import (
	"fmt"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Usage is how much of a team's budget is used up, by drains and by faults alike.
type Usage struct {
	Wanted      int // replicas of its services
	Down        int // of these, not up
	Interrupted int // other tasks that drains stopped and that do not run again yet
}

// Meter is one look at what all teams have down. It is made anew for each look, so it can't
// drift from the records and reports that it was made from.
type Meter struct {
	budgets *Budgets
	teams   map[string]*Usage
	up      map[ids.Job]int // replicas of each service that are up
}

// NewMeter makes a meter that has counted nothing yet.
func NewMeter(budgets *Budgets) *Meter {
	return &Meter{budgets: budgets, teams: map[string]*Usage{}, up: map[ids.Job]int{}}
}

// CountService counts a service: how many replicas it wants, and how many are up.
func (m *Meter) CountService(team string, service ids.Job, wanted, up int) {
	usage := m.usage(team)
	usage.Wanted += wanted
	usage.Down += wanted - up
	m.up[service] = up
}

// CountInterrupted counts other tasks that drains stopped and that do not run again yet.
func (m *Meter) CountInterrupted(team string, tasks int) { m.usage(team).Interrupted += tasks }

// Usage is what was counted of a team.
func (m *Meter) Usage(team string) Usage { return *m.usage(team) }

func (m *Meter) usage(team string) *Usage {
	usage := m.teams[team]
	if usage == nil {
		usage = &Usage{}
		m.teams[team] = usage
	}
	return usage
}

// Request is what stopping one task, or one gang, takes.
type Request struct {
	Team string
	Job  ids.Job
	// Service tells a replica from other tasks.
	Service bool
	// Up tells that the replica is up: then it is one more that is down.
	Up bool
	// Tasks is how many tasks of a job that is no service are interrupted.
	Tasks int
}

// Denial says why a permit is refused. It names what is missing, so that an operator can see
// what a machine waits for.
type Denial struct {
	Team string
	Why  string
}

func (d Denial) String() string { return fmt.Sprintf("team %s: %s", d.Team, d.Why) }

// Permit gives all that is asked for or nothing. What is given counts from then on; nothing is
// held by a request that was refused, and each reason is told, not only the first.
func (m *Meter) Permit(requests ...Request) []Denial {
	var taken []Request
	var denials []Denial
	for _, request := range requests {
		denial := m.take(request)
		if denial == nil {
			taken = append(taken, request)
		} else if !slices.Contains(denials, *denial) {
			denials = append(denials, *denial)
		}
	}
	if len(denials) > 0 {
		for _, request := range taken {
			m.giveBack(request)
		}
	}
	return denials
}

// Try tells what Permit would refuse, and counts nothing.
func (m *Meter) Try(requests ...Request) []Denial {
	denials := m.Permit(requests...)
	if len(denials) == 0 {
		for _, request := range requests {
			m.giveBack(request)
		}
	}
	return denials
}

// giveBack takes a request off the counts again.
func (m *Meter) giveBack(request Request) {
	usage := m.usage(request.Team)
	switch {
	case !request.Service:
		usage.Interrupted -= request.Tasks
	case request.Up:
		usage.Down--
		m.up[request.Job]++
	}
}

// take counts a request, or tells why it can't be granted.
func (m *Meter) take(request Request) *Denial {
	usage, budget := m.usage(request.Team), m.budgets.Of(request.Team)
	if !request.Service {
		if usage.Interrupted+request.Tasks > budget.Interrupted {
			return &Denial{request.Team, fmt.Sprintf("%d tasks are interrupted and %d more would be, of at most %d at a time",
				usage.Interrupted, request.Tasks, budget.Interrupted)}
		}
		usage.Interrupted += request.Tasks
		return nil
	}
	down := usage.Down
	if request.Up {
		down++
	}
	if most := budget.Down(usage.Wanted); down > most {
		return &Denial{request.Team, fmt.Sprintf("%d of its %d replicas are down, of at most %d at a time", usage.Down, usage.Wanted, most)}
	}
	if request.Up && m.up[request.Job] <= 1 && !budget.LastReplica {
		return &Denial{request.Team, fmt.Sprintf("it would stop the last replica of %s that is up", request.Job)}
	}
	if request.Up {
		usage.Down = down
		m.up[request.Job]--
	}
	return nil
}

// Confirm tells whether a permit that is stored, and so counted already, may be carried out
// now: what failed by itself since may have used the budget up. It holds nothing back for good:
// the permit stays, and its task counts as down.
func (m *Meter) Confirm(request Request) *Denial {
	usage, budget := m.usage(request.Team), m.budgets.Of(request.Team)
	switch {
	case !request.Service && usage.Interrupted > budget.Interrupted:
		return &Denial{request.Team, fmt.Sprintf("%d tasks are interrupted, of at most %d at a time", usage.Interrupted, budget.Interrupted)}
	case request.Service && usage.Down > budget.Down(usage.Wanted):
		return &Denial{request.Team, fmt.Sprintf("%d of its %d replicas are down since the permit, of at most %d at a time",
			usage.Down, usage.Wanted, budget.Down(usage.Wanted))}
	case request.Service && request.Up && m.up[request.Job] < 1 && !budget.LastReplica:
		return &Denial{request.Team, fmt.Sprintf("the other replicas of %s are down since the permit", request.Job)}
	}
	return nil
}
