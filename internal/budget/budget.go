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
	// MaxUnavailable is how many replicas of services may be unavailable; nil: no absolute limit.
	MaxUnavailable *int
	// MaxUnavailablePercent is what share of the desired replicas may be unavailable, rounded down; nil: no
	// relative limit. With both, the smaller counts.
	MaxUnavailablePercent *int
	// MaxInterrupted is how many other tasks may be interrupted.
	MaxInterrupted int
	// AllowLastReplica tells that a service's last ready replica may be stopped.
	AllowLastReplica bool
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
	return Budget{MaxUnavailable: &replicas, MaxInterrupted: defaultInterrupted}
}

// Check reports a budget that is impossible, by the names of the settings.
func (b Budget) Check() error {
	switch {
	case b.MaxUnavailable != nil && *b.MaxUnavailable < 0:
		return fmt.Errorf("replicas_down: must be zero or more: %d", *b.MaxUnavailable)
	case b.MaxUnavailablePercent != nil && (*b.MaxUnavailablePercent < 0 || *b.MaxUnavailablePercent > 100):
		return fmt.Errorf("replicas_down_percent: must be 0 to 100: %d", *b.MaxUnavailablePercent)
	case b.MaxInterrupted < 0:
		return fmt.Errorf("tasks_interrupted: must be zero or more: %d", b.MaxInterrupted)
	case b.AllowLastReplica && b.forbidsReplicas():
		return fmt.Errorf("last_replica: contradicts a budget that lets no replica be down")
	}
	return nil
}

// forbidsReplicas reports whether no replica may be stopped, however many there are.
func (b Budget) forbidsReplicas() bool {
	return b.MaxUnavailable != nil && *b.MaxUnavailable == 0 || b.MaxUnavailablePercent != nil && *b.MaxUnavailablePercent == 0
}

// UnavailableAllowed is how many of the desired replicas may be unavailable at a time.
func (b Budget) UnavailableAllowed(desired int) int {
	maxUnavailable := desired
	if b.MaxUnavailable != nil {
		maxUnavailable = min(maxUnavailable, *b.MaxUnavailable)
	}
	if b.MaxUnavailablePercent != nil {
		maxUnavailable = min(maxUnavailable, desired**b.MaxUnavailablePercent/100)
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
