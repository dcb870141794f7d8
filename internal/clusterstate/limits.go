package clusterstate

import (
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/quota"
)

// teamLimits returns the limits in the settings by team.
func teamLimits(settings *config.Settings) map[string]quota.Limit {
	limits := map[string]quota.Limit{}
	for _, team := range settings.Params.Teams {
		limits[team.Name] = quota.LimitOf(team.CPUsMax, team.GPUsMax)
	}
	return limits
}

// valueLimit returns the size limit of a stored value, in whole bytes.
func valueLimit(settings *config.Settings) int { return int(settings.Params.State.ValueBytes()) }
