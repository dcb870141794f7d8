package intake

import (
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// checkFeasibility checks whether a job can ever run. It returns a rejectedError if it cannot, and
// errUnavailable while the machine types on offer are unknown. It removes machine types that are not on
// offer in the job's zone from the spec.
func (s *JobService) checkFeasibility(spec *record.Spec) error {
	if err := s.checkTeamLimits(spec); err != nil {
		return err
	}
	offered := s.MachineTypes()
	if len(offered) == 0 {
		return errUnavailable
	}
	allowed, fits := allowedTypes(spec, offered)
	if !fits {
		return rejectedError{"a task fits no allowed machine type"}
	}
	if spec.InstanceTypes != nil {
		spec.InstanceTypes = allowed
	}
	return nil
}

// checkTeamLimits rejects a job whose minimum concurrent usage exceeds its team's limits. That is the
// usage of all tasks, or of a single task for a job array.
func (s *JobService) checkTeamLimits(spec *record.Spec) error {
	team, known := s.Settings.Team(spec.Team)
	if !known {
		return rejectedError{"unknown team " + spec.Team}
	}
	minConcurrentTasks := 1.0
	if spec.JobType != record.Array {
		minConcurrentTasks = float64(spec.Tasks)
	}
	exceedsCPULimit := team.CPUsMax > 0 && minConcurrentTasks*spec.Resources.Cores > team.CPUsMax
	exceedsGPULimit := team.GPUsMax > 0 && minConcurrentTasks*spec.Resources.Accels > team.GPUsMax
	if exceedsCPULimit || exceedsGPULimit {
		return rejectedError{"more than the limit of team " + spec.Team}
	}
	return nil
}

// allowedTypes returns the labels of the offered machine types that a job allows, and reports whether a task
// fits at least one of them.
func allowedTypes(spec *record.Spec, offered []placement.InstanceType) (labels []string, fits bool) {
	request := spec.PlacementRequest()
	for i := range offered {
		machineType := &offered[i]
		inZone := spec.Zone == "" || slices.Contains(machineType.Zones, spec.Zone)
		if !inZone || !request.Allows(machineType.Label, spec.Zone, false) {
			continue
		}
		labels = append(labels, machineType.Label)
		fits = fits || machineType.Capacity().Holds(spec.Resources)
	}
	return labels, fits
}
