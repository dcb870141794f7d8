package config

import (
	"fmt"
	"math"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/budget"
)

// defaultMinRunning is how long a replica must have been observed running to count as up, if the
// features file does not set ready_s.
const defaultMinRunning = 5 * time.Second

// missedHeartbeatIntervals is the number of heartbeat intervals without a heartbeat after which a
// machine's replicas count as down. It tolerates the loss of one of two heartbeats and a heartbeat that is
// late by a quarter of the interval.
const missedHeartbeatIntervals = 2.5

// DrainsEnabled reports whether the features file enables drains.
func (s *Settings) DrainsEnabled() bool { return s.Features != nil && s.Features.Drains != nil }

// DisruptionBudgets returns the teams' disruption budgets.
func (s *Settings) DisruptionBudgets() *budget.Budgets {
	drains := s.Features.GetDrains()
	fallback := toBudget(drains.GetDefaultBudget())
	teams := map[string]budget.Budget{}
	for _, team := range drains.GetTeams() {
		teams[team.Team] = toBudget(team.Budget)
	}
	return budget.NewBudgets(fallback, teams)
}

// Readiness returns the conditions under which a replica counts as up.
func (s *Settings) Readiness() budget.Readiness {
	ready := defaultMinRunning
	if drains := s.Features.GetDrains(); drains != nil && drains.ReadyS != nil {
		ready = time.Duration(*drains.ReadyS * float64(time.Second))
	}
	heartbeatInterval := s.Params.Workers.ReportS.Duration()
	return budget.Readiness{
		MinRunning:      ready,
		MaxHeartbeatAge: time.Duration(missedHeartbeatIntervals * float64(heartbeatInterval)),
	}
}

// toBudget converts a disruption budget; fields that are not set take the values of budget.Default.
func toBudget(message *DisruptionBudget) budget.Budget {
	result := budget.Default()
	if message == nil {
		return result
	}
	if message.ReplicasDown != nil || message.ReplicasDownPercent != nil {
		result.MaxUnavailable = toOptionalInt(message.ReplicasDown)
		result.MaxUnavailablePercent = toOptionalInt(message.ReplicasDownPercent)
	}
	if message.TasksInterrupted != nil {
		result.MaxInterrupted = int(*message.TasksInterrupted)
	}
	result.AllowLastReplica = message.LastReplica
	return result
}

// toOptionalInt converts an optional number, with nil for one that is not set.
func toOptionalInt(number *uint32) *int {
	if number == nil {
		return nil
	}
	value := int(*number)
	return &value
}

// checkDrains returns an error that names the first invalid setting of drains.
func (s *Settings) checkDrains(drains *Drains) error {
	if drains == nil {
		return nil
	}
	if ready := drains.ReadyS; ready != nil && (!(*ready >= 0) || math.IsInf(*ready, 0)) {
		return fmt.Errorf("drains.ready_s: must be zero or more: %v", *ready)
	}
	if err := toBudget(drains.DefaultBudget).Check(); err != nil {
		return fmt.Errorf("drains.default_budget.%w", err)
	}
	seen := map[string]bool{}
	for i, team := range drains.Teams {
		name := fmt.Sprintf("drains.teams[%d]", i)
		if _, known := s.Team(team.Team); !known {
			return fmt.Errorf("%s.team: unknown team %q", name, team.Team)
		}
		if seen[team.Team] {
			return fmt.Errorf("%s.team: team %q has a budget already", name, team.Team)
		}
		seen[team.Team] = true
		if err := toBudget(team.Budget).Check(); err != nil {
			return fmt.Errorf("%s.budget.%w", name, err)
		}
	}
	return nil
}
