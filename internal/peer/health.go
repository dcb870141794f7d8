package peer

import (
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// maxHealthReportAge is the maximum age of a controller's last health report for the controller to count
// as up.
const maxHealthReportAge = 3 * time.Second

// peerHealth stores the last health report of each of the other controllers.
type peerHealth struct {
	// mu guards last. No other lock is taken under it.
	mu   sync.Mutex
	last map[ids.Node]healthReport
}

// healthReport is the last health report of a controller.
type healthReport struct {
	at             time.Time
	storeReachable bool // whether the controller's calls to the state service succeed
}

// isUp reports whether the controller counts as up.
func (r healthReport) isUp() bool { return time.Since(r.at) < maxHealthReportAge }

// record stores a health report that has just been received.
func (h *peerHealth) record(node ids.Node, storeReachable bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last == nil {
		h.last = map[ids.Node]healthReport{}
	}
	h.last[node] = healthReport{at: time.Now(), storeReachable: storeReachable}
}

// lastReport returns a controller's last report. If there is none, it returns the zero value, which does
// not count as up.
func (h *peerHealth) lastReport(node ids.Node) healthReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.last[node]
}

// any reports whether the last report of at least one controller satisfies the predicate.
func (h *peerHealth) any(matches func(healthReport) bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, report := range h.last {
		if matches(report) {
			return true
		}
	}
	return false
}

// AnyPeerReachesStore reports whether at least one other controller is up and can reach the state service.
func (l *Link) AnyPeerReachesStore() bool {
	return l.health.any(func(report healthReport) bool { return report.storeReachable && report.isUp() })
}

// NoPeerUp reports whether the settings list other controllers and none of them counts as up.
func (l *Link) NoPeerUp() bool {
	return !l.health.any(healthReport.isUp) && len(l.settings.Peers) > 0
}

// PeerReachesStore reports whether another controller is up and can reach the state service.
func (l *Link) PeerReachesStore(node ids.Node) bool {
	report := l.health.lastReport(node)
	return report.storeReachable && report.isUp()
}
