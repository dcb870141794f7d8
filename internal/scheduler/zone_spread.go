package scheduler

import (
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// ZoneSpread counts a job's tasks by zone and applies the job's zone rules: either all tasks run in one
// zone, or at most half of them, rounded up, in each. A nil ZoneSpread represents a job without zone rules.
type ZoneSpread struct {
	spec    *record.Spec
	byZone  map[string]int
	unknown int // number of tasks on machines whose zone is not known
}

// ZoneSpreadOf returns the ZoneSpread of a job's assigned tasks, or nil if the job has no zone rules.
func ZoneSpreadOf(job *workload.Job, machines *worker.Registry) *ZoneSpread {
	spec := &job.Record.Spec
	if !spec.SingleZone && !spec.Spread {
		return nil
	}
	spread := &ZoneSpread{spec: spec, byZone: map[string]int{}}
	for _, assignment := range job.Assignments {
		if machine := machines.Machines[assignment.Machine]; machine != nil && machine.Zone != "" {
			spread.byZone[machine.Zone]++
		} else {
			spread.unknown++
		}
	}
	return spread
}

// Allowed returns how many more tasks, at most n, may be assigned in a zone.
func (s *ZoneSpread) Allowed(zone string, n int) int {
	if s == nil {
		return n
	}
	if s.spec.SingleZone && (s.unknown > 0 || len(s.byZone) > 1 || len(s.byZone) == 1 && s.byZone[zone] == 0) {
		return 0
	}
	if s.spec.Spread {
		n = min(n, (s.spec.Tasks+1)/2-s.unknown-s.byZone[zone])
	}
	return max(n, 0)
}

// Add counts one more task in a zone.
func (s *ZoneSpread) Add(zone string) {
	if s != nil {
		s.byZone[zone]++
	}
}

// Remove counts one task fewer in a zone.
func (s *ZoneSpread) Remove(zone string) {
	if s == nil || zone == "" {
		return
	}
	s.byZone[zone]--
	if s.byZone[zone] == 0 {
		delete(s.byZone, zone)
	}
}
