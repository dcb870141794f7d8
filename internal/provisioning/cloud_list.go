package provisioning

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// listLags is the assumed lag of the cloud's list in multiples of its nominal lag: the list may lag twice
// as long as that, and one more is the margin.
const listLags = 3

// cloudList is what is known of the cloud's list of machines.
type cloudList struct {
	*State
	readBegan time.Time // when the last complete read of it began
}

// lag returns how far the list may lag behind.
func (l *cloudList) lag() time.Duration {
	return listLags * l.Settings.Params.Cloud.ListLagS.Duration()
}

// since returns how long after a moment the last complete read of the list began.
func (l *cloudList) since(moment time.Time) time.Duration { return l.readBegan.Sub(moment) }

// misses reports whether the cloud certainly has no such machine any more: a machine stays listed until
// it is gone.
func (l *cloudList) misses(machine *worker.Machine) bool {
	lag := l.lag()
	return !machine.HasReported && l.since(machine.DiscoveredAt) > lag &&
		machine.ListedAt.Before(l.readBegan) && l.since(machine.ListedAt) > lag
}
