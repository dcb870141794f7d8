package claim

import (
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// zoneSpread counts a job's tasks by zone, for the rules on where one more may go.
type zoneSpread struct {
	spec    *record.Spec
	byZone  map[string]int
	unknown int
}

// zoneSpreadOf is nil when the job sets no rule on zones.
func (c *ClusterState) zoneSpreadOf(job *workload.Job) *zoneSpread {
	spec := &job.Record.Spec
	if !spec.OneZone && !spec.Spread {
		return nil
	}
	spread := &zoneSpread{spec: spec, byZone: map[string]int{}}
	for _, assignment := range job.Assignments {
		if machine := c.machines.Machines[assignment.Machine]; machine != nil && machine.Zone != "" {
			spread.byZone[machine.Zone]++
		} else {
			spread.unknown++
		}
	}
	return spread
}

// allowed is how many more tasks, at most n, may go to a zone.
func (s *zoneSpread) allowed(zone string, n int) int {
	if s == nil {
		return n
	}
	if s.spec.OneZone && (s.unknown > 0 || len(s.byZone) > 1 || len(s.byZone) == 1 && s.byZone[zone] == 0) {
		return 0
	}
	if s.spec.Spread {
		n = min(n, (s.spec.Tasks+1)/2-s.unknown-s.byZone[zone])
	}
	return max(n, 0)
}

func (s *zoneSpread) add(zone string) {
	if s != nil {
		s.byZone[zone]++
	}
}
