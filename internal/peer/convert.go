package peer

import (
	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/liveness"
	"github.com/pebbletrail/pebbletrail/internal/provisioning"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// The program's types and those of the messages, copied field by field into one another. Slices are
// shared: neither side changes what it passes on.

// convertAll converts a list; an empty one becomes nil, as gob does not tell the two apart.
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

func markToWire(mark clusterstate.HintPosition) HintMark {
	return HintMark{Gen: mark.Generation, Seq: mark.Sequence, Whole: mark.Complete, At: mark.ReceivedAt}
}

func markFromWire(mark HintMark) clusterstate.HintPosition {
	return clusterstate.HintPosition{Generation: mark.Gen, Sequence: mark.Seq, Complete: mark.Whole, ReceivedAt: mark.At}
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
		AtDeadline: spec.AtDeadline,
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
		Replace:    spec.Replace,
		Surge:      spec.Surge,
		WaveSize:   spec.WaveSize,
		Pause:      spec.Pause,
		Deadline:   spec.Deadline,
		AtDeadline: spec.AtDeadline,
		Observe:    spec.Observe,
	}
}

func planToWire(plan *rollout.Preview) RolloutPlan {
	return RolloutPlan{
		Machines: plan.Machines,
		Waves:    plan.Waves,
		Takes:    plan.Takes,
		Blocked: convertAll(plan.Blocked, func(blocked rollout.BlockedMachine) BlockedMachine {
			return BlockedMachine{Name: blocked.Name, Why: blocked.Why}
		}),
	}
}

func planFromWire(plan *RolloutPlan) *rollout.Preview {
	return &rollout.Preview{
		Machines: plan.Machines,
		Waves:    plan.Waves,
		Takes:    plan.Takes,
		Blocked: convertAll(plan.Blocked, func(blocked BlockedMachine) rollout.BlockedMachine {
			return rollout.BlockedMachine{Name: blocked.Name, Why: blocked.Why}
		}),
	}
}
