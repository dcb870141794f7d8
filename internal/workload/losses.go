package workload

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// What operators ask first when a zone goes dark is what moved, what did not, and what the rest waits
// for. The trail is bounded and many tasks are lost at once, so like events share a line.

// LossHistory remembers, for the trail, tasks of a job that were lost and wait for a new assignment.
type LossHistory struct {
	zones map[int]string // task -> zone it was lost in
	last  lossEvent
}

// lossEvent is the last line of the trail about losses.
type lossEvent struct {
	reason, zone string
	count        int
	text         string
}

// Add notes a lost task and gives the line for the trail, which replaces the last one if it tells of
// the same and is still the last of the trail.
func (l *LossHistory) Add(task int, machine ids.Machine, zone, reason, lastOfTrail string) (line string, replaces bool) {
	if l.zones == nil {
		l.zones = map[int]string{}
	}
	l.zones[task] = zone
	replaces = l.last.count > 0 && lastOfTrail == l.last.text && l.last.reason == reason && l.last.zone == zone
	if replaces {
		l.last.count++
		l.last.text = fmt.Sprintf("%d tasks gone in %s, task %d on %s the last: %s", l.last.count, zone, task, machine, reason)
	} else {
		text := fmt.Sprintf("task %d gone on %s in %s: %s", task, machine, zone, reason)
		l.last = lossEvent{reason: reason, zone: zone, count: 1, text: text}
	}
	return l.last.text, replaces
}

// Restarted takes a task that was assigned anew out of the history, and tells where it was lost.
func (l *LossHistory) Restarted(task int) (zone string, lost bool) {
	zone, lost = l.zones[task]
	delete(l.zones, task)
	return zone, lost
}

// CountByZone counts, by zone, the lost tasks that a filter accepts.
func (l *LossHistory) CountByZone(accepts func(task int) bool) map[string]int {
	count := map[string]int{}
	for task, zone := range l.zones {
		if accepts(task) {
			count[zone]++
		}
	}
	return count
}

// FormatByZone writes counts by zone in the order of the zones' names.
func FormatByZone(count map[string]int) string {
	var parts []string
	for zone, n := range count {
		parts = append(parts, fmt.Sprintf("%s (%d)", zone, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
