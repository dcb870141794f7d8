package config

import (
	"fmt"

	"google.golang.org/protobuf/encoding/prototext"
)

// Bounds on the operators' settings.
const (
	minPoolHoldMs  = 500
	maxPoolHoldMs  = 600000
	maxTrailEvents = 64
)

// DefaultOperator returns the default operators' settings.
func DefaultOperator() *Operator {
	return &Operator{
		PoolHoldMs:      1500,
		BeatGraceS:      40,
		SampleMachines:  5,
		BackoffS:        5,
		BackoffMaxS:     60,
		TrailEvents:     12,
		IdleReturnS:     25,
		StuckBootFactor: 2,
		OwnerShare:      0.45,
		FaultyAfter:     2,
		SpareShare:      0.15,
		BurstCostShare:  0.05,
	}
}

// ParseOperator parses and checks the operators' settings; fields that are zero or absent take the
// defaults.
func ParseOperator(raw []byte) (*Operator, error) {
	overrides := &Operator{}
	if err := prototext.Unmarshal(raw, overrides); err != nil {
		return nil, err
	}
	settings := DefaultOperator()
	settings.override(overrides)
	if err := settings.check(); err != nil {
		return nil, err
	}
	return settings, nil
}

// override replaces the settings that are not zero in overrides.
func (o *Operator) override(overrides *Operator) {
	setIfNonZero(&o.PoolHoldMs, overrides.PoolHoldMs)
	setIfNonZero(&o.BeatGraceS, overrides.BeatGraceS)
	setIfNonZero(&o.SampleMachines, overrides.SampleMachines)
	setIfNonZero(&o.BackoffS, overrides.BackoffS)
	setIfNonZero(&o.BackoffMaxS, overrides.BackoffMaxS)
	setIfNonZero(&o.TrailEvents, overrides.TrailEvents)
	setIfNonZero(&o.IdleReturnS, overrides.IdleReturnS)
	setIfNonZero(&o.StuckBootFactor, overrides.StuckBootFactor)
	setIfNonZero(&o.OwnerShare, overrides.OwnerShare)
	setIfNonZero(&o.FaultyAfter, overrides.FaultyAfter)
	setIfNonZero(&o.SpareShare, overrides.SpareShare)
	setIfNonZero(&o.BurstCostShare, overrides.BurstCostShare)
}

// setIfNonZero replaces a setting by value, unless value is zero.
func setIfNonZero[N uint32 | float64](setting *N, value N) {
	if value != 0 {
		*setting = value
	}
}

// check returns an error that names the first invalid setting. The conditions are written so that NaN
// fails them.
func (o *Operator) check() error {
	switch {
	case o.PoolHoldMs < minPoolHoldMs || o.PoolHoldMs > maxPoolHoldMs:
		return fmt.Errorf("pool_hold_ms: must be %d to %d: %d", minPoolHoldMs, maxPoolHoldMs, o.PoolHoldMs)
	case !(o.BeatGraceS*1000 >= float64(o.PoolHoldMs)):
		return fmt.Errorf("beat_grace_s: must be at least pool_hold_ms: %v", o.BeatGraceS)
	case !(o.OwnerShare > 0 && o.OwnerShare < 1):
		return fmt.Errorf("owner_share: must be above 0 and below 1: %v", o.OwnerShare)
	case !(o.BackoffS > 0 && o.BackoffMaxS >= o.BackoffS):
		return fmt.Errorf("backoff_max_s: must be at least backoff_s, both above 0: %v", o.BackoffMaxS)
	case !(o.IdleReturnS > 0):
		return fmt.Errorf("idle_return_s: must be above 0: %v", o.IdleReturnS)
	case !(o.StuckBootFactor >= 1):
		return fmt.Errorf("stuck_boot_factor: must be at least 1: %v", o.StuckBootFactor)
	case !(o.SpareShare > 0 && o.SpareShare <= 1):
		return fmt.Errorf("spare_share: must be above 0 and at most 1: %v", o.SpareShare)
	case !(o.BurstCostShare > 0 && o.BurstCostShare <= 1):
		return fmt.Errorf("burst_cost_share: must be above 0 and at most 1: %v", o.BurstCostShare)
	case o.TrailEvents > maxTrailEvents:
		return fmt.Errorf("trail_events: at most %d: %d", maxTrailEvents, o.TrailEvents)
	}
	return nil
}
