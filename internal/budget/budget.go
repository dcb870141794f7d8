// Package budget applies disruption budgets: it decides whether tasks may be evicted for a drain now. No
// other package decides this, or which replicas count as unavailable. The package is pure and keeps no
// state between two evaluations, so nothing has to be recovered after a failover (docs/drains.md).
package budget

import (
	"fmt"
)

// Budget is the disruption budget of a team: how much of its work may be disrupted at the same time.
type Budget struct {
	// MaxUnavailable is the maximum number of unavailable replicas of services; nil means no absolute
	// limit.
	MaxUnavailable *int
	// MaxUnavailablePercent is the maximum percentage of the desired replicas that may be unavailable,
	// rounded down to whole replicas; nil means no relative limit. If both limits are set, the smaller one
	// applies.
	MaxUnavailablePercent *int
	// MaxInterrupted is the maximum number of tasks, other than replicas of services, that may be
	// interrupted.
	MaxInterrupted int
	// AllowLastReplica permits stopping the last ready replica of a service.
	AllowLastReplica bool
}

// Default limits of a team without a budget setting.
const (
	defaultReplicas    = 1
	defaultInterrupted = 1
)

// Default returns the budget of a team without a setting: one replica, one other task, and never the last
// replica of a service.
func Default() Budget {
	replicas := defaultReplicas
	return Budget{MaxUnavailable: &replicas, MaxInterrupted: defaultInterrupted}
}

// Check returns an error that names the setting if the budget is invalid.
func (b Budget) Check() error {
	switch {
	case b.MaxUnavailable != nil && *b.MaxUnavailable < 0:
		return fmt.Errorf("replicas_down: must be zero or more: %d", *b.MaxUnavailable)
	case b.MaxUnavailablePercent != nil && (*b.MaxUnavailablePercent < 0 || *b.MaxUnavailablePercent > 100):
		return fmt.Errorf("replicas_down_percent: must be 0 to 100: %d", *b.MaxUnavailablePercent)
	case b.MaxInterrupted < 0:
		return fmt.Errorf("tasks_interrupted: must be zero or more: %d", b.MaxInterrupted)
	case b.AllowLastReplica && b.forbidsReplicas():
		return fmt.Errorf("last_replica: contradicts a budget that allows no unavailable replica")
	}
	return nil
}

// forbidsReplicas reports whether no replica may be stopped, however many there are.
func (b Budget) forbidsReplicas() bool {
	return b.MaxUnavailable != nil && *b.MaxUnavailable == 0 || b.MaxUnavailablePercent != nil && *b.MaxUnavailablePercent == 0
}

// UnavailableAllowed returns how many of the desired replicas may be unavailable at the same time.
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

// Budgets contains the budgets of all teams.
type Budgets struct {
	teams    map[string]Budget
	fallback Budget // budget of the teams that are not named
}

// NewBudgets returns the budgets of teams, with a fallback for all teams that are not named.
func NewBudgets(fallback Budget, teams map[string]Budget) *Budgets {
	return &Budgets{teams: teams, fallback: fallback}
}

// ForTeam returns the budget of a team.
func (b *Budgets) ForTeam(team string) Budget {
	if budget, ok := b.teams[team]; ok {
		return budget
	}
	return b.fallback
}
