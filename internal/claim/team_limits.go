package claim

import (
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/quota"
)

// teamLimits are the limits of the settings by team.
func teamLimits(settings *config.Settings) map[string]quota.Limit {
	limits := map[string]quota.Limit{}
	for _, team := range settings.Params.Teams {
		limits[team.Name] = quota.LimitOf(team.CPUsMax, team.GPUsMax)
	}
	return limits
}
