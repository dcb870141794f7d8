package claim

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// quotaFor is how many more tasks of a job its team's limits allow.
func (b *ClusterState) quotaFor(s *record.Spec, want int) int {
	return b.quota.Left(s.Team).Count(s.Need, want)
}

// mayHave is the same less what is owed to a job that goes first.
func (b *ClusterState) mayHave(j *Job, want int, now time.Time) int {
	s := &j.Rec.Spec
	return b.quota.Left(s.Team).Minus(b.withheld(j, now)).Minus(b.keptForMoved(j)).Count(s.Need, want)
}

// teamLimits are the limits of the settings by team.
func teamLimits(set *config.Settings) map[string]quota.Limit {
	limits := map[string]quota.Limit{}
	for _, team := range set.Params.Teams {
		limits[team.Name] = quota.LimitOf(team.CPUsMax, team.GPUsMax)
	}
	return limits
}
