// Package budget applies disruption budgets: it decides whether tasks may be evicted for a drain
// now. It is the only package that decides that, and what counts as an unavailable replica; it is
// pure and keeps no state between two evaluations, so nothing has to be recovered after a failover
// (docs/drains.md).
package budget

import (
	"fmt"
)

// Budget is the disruption budget of a team: how much of its work may be disrupted at a time.
type Budget struct {
	// Replicas is how many replicas of services may be unavailable; nil: no absolute limit.
	Replicas *int
	// Percent is what share of the desired replicas may be unavailable, rounded down; nil: no
	// relative limit. With both, the smaller counts.
	Percent *int
	// Interrupted is how many other tasks may be interrupted.
	Interrupted int
	// LastReplica tells that a service's last ready replica may be stopped.
	LastReplica bool
}

// The default of a team without a setting.
const (
	defaultReplicas    = 1
	defaultInterrupted = 1
)

// Default is the budget of a team without a setting: one replica, one other task, and never the
// last replica of a service.
func Default() Budget {
	replicas := defaultReplicas
	return Budget{Replicas: &replicas, Interrupted: defaultInterrupted}
}

// Check reports a budget that is impossible, by the names of the settings.
func (b Budget) Check() error {
	switch {
	case b.Replicas != nil && *b.Replicas < 0:
		return fmt.Errorf("replicas_down: must be zero or more: %d", *b.Replicas)
	case b.Percent != nil && (*b.Percent < 0 || *b.Percent > 100):
		return fmt.Errorf("replicas_down_percent: must be 0 to 100: %d", *b.Percent)
	case b.Interrupted < 0:
		return fmt.Errorf("tasks_interrupted: must be zero or more: %d", b.Interrupted)
	case b.LastReplica && b.forbidsReplicas():
		return fmt.Errorf("last_replica: contradicts a budget that lets no replica be down")
	}
	return nil
}

// forbidsReplicas reports whether no replica may be stopped, however many there are.
func (b Budget) forbidsReplicas() bool {
	return b.Replicas != nil && *b.Replicas == 0 || b.Percent != nil && *b.Percent == 0
}

// Down is how many of the desired replicas may be unavailable at a time.
func (b Budget) Down(desired int) int {
	maxUnavailable := desired
	if b.Replicas != nil {
		maxUnavailable = min(maxUnavailable, *b.Replicas)
	}
	if b.Percent != nil {
		maxUnavailable = min(maxUnavailable, desired**b.Percent/100)
	}
	return maxUnavailable
}

// Budgets are the budgets of all teams.
type Budgets struct {
	teams    map[string]Budget
	fallback Budget // of the teams not named
}

// NewBudgets makes the budgets of teams, with a fallback for those not named.
func NewBudgets(fallback Budget, teams map[string]Budget) *Budgets {
	return &Budgets{teams: teams, fallback: fallback}
}

// Of is a team's budget.
func (b *Budgets) Of(team string) Budget {
	if budget, ok := b.teams[team]; ok {
		return budget
	}
	return b.fallback
}
