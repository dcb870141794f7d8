package workload

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// LossHistory records, for the job's events, the tasks of a job that were lost and have no new assignment
// yet. When a zone becomes unreachable, operators first need to know which tasks have moved, which have not,
// and what the latter wait for. The list of events is bounded and many tasks may be lost at once, so similar
// losses share a line.
type LossHistory struct {
	zones map[int]string // zone in which each task was lost, by task index
	last  lossEvent
}

// lossEvent is a line of the job's events about one or more losses.
type lossEvent struct {
	reason, zone string
	count        int
	text         string
}

// Add adds a lost task and returns the line for the job's events. replaces reports whether the line replaces
// the job's last event, lastEvent, because that event is about losses in the same zone for the same reason.
func (l *LossHistory) Add(task int, machine ids.Machine, zone, reason, lastEvent string) (line string, replaces bool) {
	if l.zones == nil {
		l.zones = map[int]string{}
	}
	l.zones[task] = zone
	replaces = l.last.count > 0 && lastEvent == l.last.text && l.last.reason == reason && l.last.zone == zone
	if replaces {
		l.last.count++
		l.last.text = fmt.Sprintf("%d tasks gone in %s, task %d on %s the last: %s", l.last.count, zone, task, machine, reason)
	} else {
		text := fmt.Sprintf("task %d gone on %s in %s: %s", task, machine, zone, reason)
		l.last = lossEvent{reason: reason, zone: zone, count: 1, text: text}
	}
	return l.last.text, replaces
}

// Restarted removes a task that has a new assignment, and returns the zone in which the task was lost. lost
// is false if the task had not been lost.
func (l *LossHistory) Restarted(task int) (zone string, lost bool) {
	zone, lost = l.zones[task]
	delete(l.zones, task)
	return zone, lost
}

// CountByZone returns, by zone, the number of lost tasks for which accepts returns true.
func (l *LossHistory) CountByZone(accepts func(task int) bool) map[string]int {
	count := map[string]int{}
	for task, zone := range l.zones {
		if accepts(task) {
			count[zone]++
		}
	}
	return count
}

// FormatByZone formats counts by zone, sorted by zone.
func FormatByZone(count map[string]int) string {
	var parts []string
	for zone, n := range count {
		parts = append(parts, fmt.Sprintf("%s (%d)", zone, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
