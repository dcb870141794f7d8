package peer

import (
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// heardWithin is how long ago a controller's last health report was at most if it counts as up.
const heardWithin = 3 * time.Second

// peerHealth keeps the last health report of each of the other controllers.
type peerHealth struct {
	// mu guards last. It is a leaf lock: nothing else is locked or called under it.
	mu   sync.Mutex
	last map[ids.Node]healthReport
}

// healthReport is what a controller told last of itself.
type healthReport struct {
	at     time.Time
	served bool // by the state service
}

// recent reports that a controller counts as up.
func (r healthReport) recent() bool { return time.Since(r.at) < heardWithin }

// record keeps a health report that came now.
func (h *peerHealth) record(node ids.Node, served bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last == nil {
		h.last = map[ids.Node]healthReport{}
	}
	h.last[node] = healthReport{at: time.Now(), served: served}
}

// of returns a controller's last report; the zero value, which is not recent, if there is none.
func (h *peerHealth) of(node ids.Node) healthReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.last[node]
}

// any reports that the last report of some controller is such.
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

// OthersServed reports that some other controller has lately been served by the state service.
func (l *Link) OthersServed() bool {
	return l.health.any(func(report healthReport) bool { return report.served && report.recent() })
}

// Alone reports that there are other controllers, and none of them counts as up.
func (l *Link) Alone() bool {
	return !l.health.any(healthReport.recent) && len(l.settings.Peers) > 0
}

// Served reports that another controller counts as up and is served by the state service.
func (l *Link) Served(node ids.Node) bool {
	report := l.health.of(node)
	return report.served && report.recent()
}
