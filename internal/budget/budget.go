// Package budget decides whether tasks may be stopped for a drain now. It is the only owner of
// that decision and of what counts as down; it is pure and keeps no state between two looks, so
// nothing has to be recovered after a change of leader (docs/drains.md).
package budget

import (
	"fmt"
)

// Budget is how much of a team's work drains may have down at a time.
type Budget struct {
	// Replicas is how many replicas of services may be down; nil: no number.
	Replicas *int
	// Percent is what share of the replicas wanted may be down, rounded down; nil: no share.
	// With both, the smaller counts.
	Percent *int
	// Interrupted is how many other tasks may be interrupted.
	Interrupted int
	// LastReplica tells that a service's last replica that is up may be stopped.
	LastReplica bool
}

// The default of a team without a setting.
const (
	defaultReplicas    = 1
	defaultInterrupted = 1
)

// Default is the budget of a team without a setting: one replica, one other task, and never a
// service's last replica.
func Default() Budget {
	replicas := defaultReplicas
	return Budget{Replicas: &replicas, Interrupted: defaultInterrupted}
}

// Check reports a budget that is impossible.
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

// forbidsReplicas tells that no replica may be stopped, however many there are.
func (b Budget) forbidsReplicas() bool {
	return b.Replicas != nil && *b.Replicas == 0 || b.Percent != nil && *b.Percent == 0
}

// Down is how many of the replicas wanted may be down at a time.
func (b Budget) Down(wanted int) int {
	most := wanted
	if b.Replicas != nil {
		most = min(most, *b.Replicas)
	}
	if b.Percent != nil {
		most = min(most, wanted**b.Percent/100)
	}
	return most
}

// Budgets are the budgets of all teams.
type Budgets struct {
	fallback Budget
	teams    map[string]Budget
}

// NewBudgets makes budgets of teams, with a fallback for those not named.
func NewBudgets(fallback Budget, teams map[string]Budget) *Budgets {
	return &Budgets{fallback: fallback, teams: teams}
}

// Of is a team's budget.
func (b *Budgets) Of(team string) Budget {
	if budget, ok := b.teams[team]; ok {
		return budget
	}
	return b.fallback
}
