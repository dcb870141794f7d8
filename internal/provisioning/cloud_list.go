package provisioning

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// listLagFactor is the assumed lag of the cloud's list of machines, as a multiple of the configured lag. The
// list may lag by twice the configured lag; one more is a margin.
const listLagFactor = 3

// cloudList tracks how current the leader's last read of the cloud's list of machines is.
type cloudList struct {
	*State
	readBegan time.Time // start of the last complete read of the list
}

// lag returns the longest time by which the list may lag behind the actual machines.
func (l *cloudList) lag() time.Duration {
	return listLagFactor * l.Settings.Params.Cloud.ListLagS.Duration()
}

// since returns the time from a moment to the start of the last complete read of the list.
func (l *cloudList) since(moment time.Time) time.Duration { return l.readBegan.Sub(moment) }

// confirmsGone reports whether a machine that has not reported is absent from the list for so long that it
// certainly no longer exists. The cloud lists every machine until it is gone.
func (l *cloudList) confirmsGone(machine *worker.Machine) bool {
	lag := l.lag()
	return !machine.HasReported && l.since(machine.DiscoveredAt) > lag &&
		machine.ListedAt.Before(l.readBegan) && l.since(machine.ListedAt) > lag
}
