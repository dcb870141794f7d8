package peer

import (
	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/liveness"
	"github.com/pebbletrail/pebbletrail/internal/provisioning"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// The functions in this file convert between the program's types and the message types, field by field.
// The result shares its slices with the argument, since neither is modified after the conversion.

// convertAll converts each item of a list. It returns nil for an empty list: gob does not distinguish an
// empty slice from nil.
func convertAll[From, To any](list []From, convert func(From) To) (converted []To) {
	for _, item := range list {
		converted = append(converted, convert(item))
	}
	return converted
}

func hintToWire(hint clusterstate.Hint) Hint {
	return Hint{
		Name:    hint.Name,
		Addr:    hint.Address,
		Type:    hint.Type,
		Zone:    hint.Zone,
		Spot:    hint.Spot,
		Session: hint.Incarnation,
		Images:  Images{Names: hint.Images.Names, Sizes: hint.Images.Sizes},
		Coming:  hint.Booting,
		Held:    hint.ProvisionedFor,
	}
}

func hintFromWire(hint Hint) clusterstate.Hint {
	return clusterstate.Hint{
		Name:           hint.Name,
		Address:        hint.Addr,
		Type:           hint.Type,
		Zone:           hint.Zone,
		Spot:           hint.Spot,
		Incarnation:    hint.Session,
		Images:         worker.Images{Names: hint.Images.Names, Sizes: hint.Images.Sizes},
		Booting:        hint.Coming,
		ProvisionedFor: hint.Held,
	}
}

func hintPositionToWire(position clusterstate.HintPosition) HintMark {
	return HintMark{Gen: position.Generation, Seq: position.Sequence, Whole: position.Complete, At: position.ReceivedAt}
}

func hintPositionFromWire(position HintMark) clusterstate.HintPosition {
	return clusterstate.HintPosition{Generation: position.Gen, Sequence: position.Seq, Complete: position.Whole, ReceivedAt: position.At}
}

func redirectedWorkerToWire(redirected liveness.RedirectedWorker) Strand {
	return Strand{Machine: redirected.Machine, Ago: redirected.Ago}
}

func redirectedWorkerFromWire(redirected Strand) liveness.RedirectedWorker {
	return liveness.RedirectedWorker{Machine: redirected.Machine, Ago: redirected.Ago}
}

func shortageToWire(shortage provisioning.Shortage) Lack {
	return Lack{For: shortage.Duration, Machines: shortage.Machines}
}

func shortageFromWire(shortage Lack) provisioning.Shortage {
	return provisioning.Shortage{Duration: shortage.For, Machines: shortage.Machines}
}

func specToWire(spec *rollout.Spec) RolloutSpec {
	return RolloutSpec{
		Name: spec.Name,
		Select: RolloutSelection{
			Machines: spec.Select.Machines,
			Digest:   spec.Select.Digest,
			Zone:     spec.Select.Zone,
			Type:     spec.Select.Type,
			Older:    spec.Select.Older,
		},
		Replace:    spec.Replace,
		Surge:      spec.Surge,
		WaveSize:   spec.WaveSize,
		Pause:      spec.Pause,
		Deadline:   spec.Deadline,
		AtDeadline: spec.DeadlineAction,
		Observe:    spec.Observe,
	}
}

func specFromWire(spec *RolloutSpec) *rollout.Spec {
	return &rollout.Spec{
		Name: spec.Name,
		Select: rollout.Selection{
			Machines: spec.Select.Machines,
			Digest:   spec.Select.Digest,
			Zone:     spec.Select.Zone,
			Type:     spec.Select.Type,
			Older:    spec.Select.Older,
		},
		Replace:        spec.Replace,
		Surge:          spec.Surge,
		WaveSize:       spec.WaveSize,
		Pause:          spec.Pause,
		Deadline:       spec.Deadline,
		DeadlineAction: spec.AtDeadline,
		Observe:        spec.Observe,
	}
}

func planToWire(plan *rollout.Plan) RolloutPlan {
	return RolloutPlan{
		Machines: plan.Machines,
		Waves:    plan.Waves,
		Takes:    plan.Takes,
		Blocked: convertAll(plan.Blocked, func(blocked rollout.BlockedMachine) BlockedMachine {
			return BlockedMachine{Name: blocked.Name, Why: blocked.Why}
		}),
	}
}

func planFromWire(plan *RolloutPlan) *rollout.Plan {
	return &rollout.Plan{
		Machines: plan.Machines,
		Waves:    plan.Waves,
		Takes:    plan.Takes,
		Blocked: convertAll(plan.Blocked, func(blocked BlockedMachine) rollout.BlockedMachine {
			return rollout.BlockedMachine{Name: blocked.Name, Why: blocked.Why}
		}),
	}
}
