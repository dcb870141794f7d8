package clusterstate

import (
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// teamLimits are the limits of the settings by team.
func teamLimits(settings *config.Settings) map[string]quota.Limit {
	limits := map[string]quota.Limit{}
	for _, team := range settings.Params.Teams {
		limits[team.Name] = quota.LimitOf(team.CPUsMax, team.GPUsMax)
	}
	return limits
}

// valueLimit is how many whole bytes a stored value may take.
func valueLimit(settings *config.Settings) int { return int(settings.Params.State.ValueBytes()) }

// maxAssignedTasks bounds how many tasks of a job are assigned at a time, so that its record fits a value.
func (c *State) maxAssignedTasks(job *workload.Job) int {
	return job.MaxAssignedTasks(c.settings.Params.State.ValueBytes())
}
