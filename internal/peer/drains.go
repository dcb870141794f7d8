package peer

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/election"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

// Drains are supported only with a single shard, so all functions in this file use the first elector.

// PlanDrain computes the plan of a rollout. It returns election.ErrNotLeader if this node does not lead.
// An invalid rollout description is reported in the response and not as an error, since net/rpc transmits
// only the text of an error and not its type.
func (s *Service) PlanDrain(in *DrainRequest, out *DrainPlan) error {
	plan, err := planDrain(s.link.shards.Electors()[0], specFromWire(&in.Spec))
	switch {
	case errors.Is(err, rollout.ErrInvalidSpec):
		out.Refused = strings.TrimPrefix(err.Error(), rollout.ErrInvalidSpec.Error()+": ")
		return nil
	case err != nil:
		return err
	}
	out.Plan = planToWire(plan)
	return nil
}

// WaitsOfDrains returns, for each machine being drained, the reasons that block its drain. It returns
// election.ErrNotLeader if this node does not lead.
func (s *Service) WaitsOfDrains(_ *Empty, out *DrainWaits) error {
	cluster := s.link.shards.Electors()[0].Cluster()
	if cluster == nil {
		return election.ErrNotLeader
	}
	out.Waits = cluster.DrainBlockers()
	return nil
}

// planDrain computes a rollout plan from this node's cluster state. It returns election.ErrNotLeader if
// this node does not lead.
func planDrain(elector *election.Elector, spec *rollout.Spec) (*rollout.Plan, error) {
	cluster := elector.Cluster()
	if cluster == nil {
		return nil, election.ErrNotLeader
	}
	return rollout.NewPlan(spec, cluster.RolloutPlanner(), time.Now())
}

// PlanDrain returns the leader's plan for a rollout. The error is rollout.ErrInvalidSpec, wrapped, if the
// description is invalid, and election.ErrNotLeader if no leader is known.
func (l *Link) PlanDrain(ctx context.Context, spec *rollout.Spec) (*rollout.Plan, error) {
	elector := l.shards.Electors()[0]
	if elector.Cluster() != nil {
		return planDrain(elector, spec)
	}
	leader, known := elector.Leader()
	if !known {
		return nil, election.ErrNotLeader
	}
	var answer DrainPlan
	if err := l.connections.call(ctx, leader, "PlanDrain", &DrainRequest{specToWire(spec)}, &answer); err != nil {
		return nil, err
	}
	if answer.Refused != "" {
		return nil, fmt.Errorf("%w: %s", rollout.ErrInvalidSpec, answer.Refused)
	}
	return planFromWire(&answer.Plan), nil
}

// DrainBlockers returns the leader's reasons that block the drain of each machine being drained. The error
// is election.ErrNotLeader if no leader is known.
func (l *Link) DrainBlockers(ctx context.Context) (map[ids.Machine][]string, error) {
	elector := l.shards.Electors()[0]
	if cluster := elector.Cluster(); cluster != nil {
		return cluster.DrainBlockers(), nil
	}
	leader, known := elector.Leader()
	if !known {
		return nil, election.ErrNotLeader
	}
	var answer DrainWaits
	err := l.connections.call(ctx, leader, "WaitsOfDrains", &Empty{}, &answer)
	return answer.Waits, err
}
