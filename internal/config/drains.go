package config

import (
	"fmt"
	"math"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/budget"
)

// defaultReady is how long a replica must have been seen running to count as up, unless the
// features' file says otherwise.
const defaultReady = 5 * time.Second

// missedReports is after how many report intervals without a report a machine's replicas count
// as down: a report may be a quarter late, and one of two may be lost.
const missedReports = 2.5

// DrainsEnabled tells whether operators may drain machines.
func (s *Settings) DrainsEnabled() bool { return s.Features != nil && s.Features.Drains != nil }

// Budgets are the teams' budgets of disruption.
func (s *Settings) Budgets() *budget.Budgets {
	drains := s.Features.GetDrains()
	fallback := budgetOf(drains.GetDefaultBudget())
	teams := map[string]budget.Budget{}
	for _, team := range drains.GetTeams() {
		teams[team.Team] = budgetOf(team.Budget)
	}
	return budget.NewBudgets(fallback, teams)
}

// Readiness is what makes a replica count as up.
func (s *Settings) Readiness() budget.Readiness {
	ready := defaultReady
	if drains := s.Features.GetDrains(); drains != nil && drains.ReadyS != nil {
		ready = time.Duration(*drains.ReadyS * float64(time.Second))
	}
	heard := time.Duration(missedReports * float64(s.Params.Workers.ReportS.Duration()))
	return budget.Readiness{RunningFor: ready, HeardWithin: heard}
}

// budgetOf reads a budget; what it leaves out is the default's.
func budgetOf(in *DisruptionBudget) budget.Budget {
	out := budget.Default()
	if in == nil {
		return out
	}
	if in.ReplicasDown != nil || in.ReplicasDownPercent != nil {
		out.Replicas, out.Percent = intOf(in.ReplicasDown), intOf(in.ReplicasDownPercent)
	}
	if in.TasksInterrupted != nil {
		out.Interrupted = int(*in.TasksInterrupted)
	}
	out.LastReplica = in.LastReplica
	return out
}

func intOf(n *uint32) *int {
	if n == nil {
		return nil
	}
	value := int(*n)
	return &value
}

// checkDrains reports the first setting of drains that is impossible.
func (s *Settings) checkDrains(drains *Drains) error {
	if drains == nil {
		return nil
	}
	if ready := drains.ReadyS; ready != nil && (!(*ready >= 0) || math.IsInf(*ready, 0)) {
		return fmt.Errorf("drains.ready_s: must be zero or more: %v", *ready)
	}
	if err := budgetOf(drains.DefaultBudget).Check(); err != nil {
		return fmt.Errorf("drains.default_budget.%w", err)
	}
	seen := map[string]bool{}
	for i, team := range drains.Teams {
		at := fmt.Sprintf("drains.teams[%d]", i)
		if _, known := s.Team(team.Team); !known {
			return fmt.Errorf("%s.team: unknown team %q", at, team.Team)
		}
		if seen[team.Team] {
			return fmt.Errorf("%s.team: %q has a budget already", at, team.Team)
		}
		seen[team.Team] = true
		if err := budgetOf(team.Budget).Check(); err != nil {
			return fmt.Errorf("%s.budget.%w", at, err)
		}
	}
	return nil
}
