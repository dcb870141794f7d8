package peer

import (
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// heardWithin is the maximum age of a controller's last health report for the controller to count as up.
const heardWithin = 3 * time.Second

// peerHealth stores the last health report of each of the other controllers.
type peerHealth struct {
	// mu guards last. No other lock is taken under it.
	mu   sync.Mutex
	last map[ids.Node]healthReport
}

// healthReport is the last health report of a controller.
type healthReport struct {
	at     time.Time
	served bool // whether the controller's calls to the state service succeed
}

// recent reports whether the controller counts as up.
func (r healthReport) recent() bool { return time.Since(r.at) < heardWithin }

// record stores a health report that has just been received.
func (h *peerHealth) record(node ids.Node, served bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last == nil {
		h.last = map[ids.Node]healthReport{}
	}
	h.last[node] = healthReport{at: time.Now(), served: served}
}

// of returns a controller's last report, or the zero value, which is not recent, if there is none.
func (h *peerHealth) of(node ids.Node) healthReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.last[node]
}

// any reports whether the last report of at least one controller satisfies the predicate.
func (h *peerHealth) any(such func(healthReport) bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, report := range h.last {
		if such(report) {
			return true
		}
	}
	return false
}

// OthersServed reports whether at least one other controller is up and can reach the state service.
func (l *Link) OthersServed() bool {
	return l.health.any(func(report healthReport) bool { return report.served && report.recent() })
}

// Alone reports whether the settings list other controllers and none of them counts as up.
func (l *Link) Alone() bool {
	return !l.health.any(healthReport.recent) && len(l.settings.Peers) > 0
}

// Served reports whether another controller is up and can reach the state service.
func (l *Link) Served(node ids.Node) bool {
	report := l.health.of(node)
	return report.served && report.recent()
}
