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

// Drains are possible with one shard only, so all of this concerns the first one.

// PlanDrain makes the plan of a rollout, if this node leads. That its description can't be carried
// out is part of the answer, since an error of a call keeps its text only.
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

// WaitsOfDrains tells what the machines being drained wait for, if this node leads.
func (s *Service) WaitsOfDrains(_ *Empty, out *DrainWaits) error {
	cluster := s.link.shards.Electors()[0].Cluster()
	if cluster == nil {
		return election.ErrNotLeader
	}
	out.Waits = cluster.DrainBlockers()
	return nil
}

// planDrain makes a plan from the cluster state of this node, or returns claim.ErrNotLeader.
func planDrain(elector *election.Elector, spec *rollout.Spec) (*rollout.Preview, error) {
	cluster := elector.Cluster()
	if cluster == nil {
		return nil, election.ErrNotLeader
	}
	return rollout.NewPreview(spec, cluster.RolloutPlanner(), time.Now())
}

// PlanDrain asks the leader for the plan of a rollout. The error is a rollout.ErrBadSpec if the
// description can't be carried out, and claim.ErrNotLeader if no leader is known.
func (l *Link) PlanDrain(ctx context.Context, spec *rollout.Spec) (*rollout.Preview, error) {
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

// DrainWaits asks the leader what the machines being drained wait for. The error is
// claim.ErrNotLeader if no leader is known.
func (l *Link) DrainWaits(ctx context.Context) (map[ids.Machine][]string, error) {
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
