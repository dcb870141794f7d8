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

// valueBytes is how large a stored value may be.
func (c *State) valueBytes() float64 { return c.settings.Params.State.ValueKB * bytesPerKB }

// bytesPerKB is how many bytes the store's limits mean by a kilobyte.
const bytesPerKB = 1024

// valueLimit is the same in whole bytes.
func valueLimit(settings *config.Settings) int {
	return int(settings.Params.State.ValueKB * bytesPerKB)
}

// maxAssignedTasks bounds how many tasks of a job are assigned at a time, so that its record fits a value.
func (c *State) maxAssignedTasks(job *workload.Job) int {
	return job.MaxAssignedTasks(c.valueBytes())
}
