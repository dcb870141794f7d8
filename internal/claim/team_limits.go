package claim

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// quotaLeft is how many more tasks of a job its team's limits allow.
func (c *ClusterState) quotaLeft(spec *record.Spec, want int) int {
	return c.quota.Left(spec.Team).Count(spec.Need, want)
}

// assignableTasks is the same less what is owed to a job that goes first.
func (c *ClusterState) assignableTasks(job *workload.Job, want int, now time.Time) int {
	spec := &job.Record.Spec
	return c.quota.Left(spec.Team).Minus(c.reservedQuota(job, now)).Minus(c.quotaForRelocated(job)).Count(spec.Need, want)
}

// teamLimits are the limits of the settings by team.
func teamLimits(settings *config.Settings) map[string]quota.Limit {
	limits := map[string]quota.Limit{}
	for _, team := range settings.Params.Teams {
		limits[team.Name] = quota.LimitOf(team.CPUsMax, team.GPUsMax)
	}
	return limits
}
