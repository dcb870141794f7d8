package peer

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/claim"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

// DrainRequest asks the leader for the plan of a rollout.
type DrainRequest struct{ Spec rollout.Spec }

// DrainPlan answers it. Refused says why the description can't be carried out; empty: it can.
type DrainPlan struct {
	Plan    rollout.Preview
	Refused string
}

// DrainWaits is what the machines being emptied wait for.
type DrainWaits struct{ Waits map[ids.Machine][]string }

// PlanDrain makes a plan, if this node leads.
func (s *Service) PlanDrain(in *DrainRequest, out *DrainPlan) error {
	plan, err := planHere(s.link.shards.Pools()[0], &in.Spec)
	switch {
	case errors.Is(err, rollout.ErrBadSpec):
		out.Refused = strings.TrimPrefix(err.Error(), rollout.ErrBadSpec.Error()+": ")
		return nil
	case err != nil:
		return err
	}
	out.Plan = *plan
	return nil
}

// WaitsOfDrains tells what the machines being emptied wait for, if this node leads.
func (s *Service) WaitsOfDrains(_ *Empty, out *DrainWaits) error {
	b := s.link.shards.Pools()[0].Cluster()
	if b == nil {
		return claim.ErrNotLeader
	}
	out.Waits = b.DrainBlockers()
	return nil
}

// planHere makes a plan from what this node's cluster state knows.
func planHere(pool *claim.Elector, spec *rollout.Spec) (*rollout.Preview, error) {
	b := pool.Cluster()
	if b == nil {
		return nil, claim.ErrNotLeader
	}
	return rollout.MakePreview(spec, b.DrainPlanner(), time.Now())
}

// PlanDrain asks the leader for the plan of a rollout.
func (l *Link) PlanDrain(ctx context.Context, spec *rollout.Spec) (*rollout.Preview, error) {
	pool := l.shards.Pools()[0]
	if pool.Cluster() != nil {
		return planHere(pool, spec)
	}
	leader, ok := pool.Leader()
	if !ok {
		return nil, claim.ErrNotLeader
	}
	var out DrainPlan
	if err := l.call(ctx, leader, "PlanDrain", &DrainRequest{*spec}, &out); err != nil {
		return nil, err
	}
	if out.Refused != "" {
		return nil, fmt.Errorf("%w: %s", rollout.ErrBadSpec, out.Refused)
	}
	return &out.Plan, nil
}

// DrainWaits asks the leader what the machines being emptied wait for.
func (l *Link) DrainWaits(ctx context.Context) (map[ids.Machine][]string, error) {
	pool := l.shards.Pools()[0]
	if b := pool.Cluster(); b != nil {
		return b.DrainBlockers(), nil
	}
	leader, ok := pool.Leader()
	if !ok {
		return nil, claim.ErrNotLeader
	}
	var out DrainWaits
	err := l.call(ctx, leader, "WaitsOfDrains", &Empty{}, &out)
	return out.Waits, err
}
