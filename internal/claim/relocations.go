package claim

import (
	"fmt"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// describeZones tells where a job's tasks are, by zone, and what those in a dark one
// wait for.
func (c *ClusterState) describeZones(job *workload.Job, now time.Time) (out []string) {
	at, dark := map[string]int{}, map[string]int{}
	var latest time.Time
	for _, assignment := range job.Assignments {
		machine := c.machines.Machines[assignment.Machine]
		switch {
		case machine != nil && c.zones.Unreachable(machine.Zone) && (!machine.HasReported || machine.Suspect()):
			dark[machine.Zone]++
			latest = worker.Later(latest, machine.LeaseExpiresAt)
		default:
			at[c.reconciler.ZoneOf(assignment.Machine)]++
		}
	}
	if len(at) > 0 {
		out = append(out, "on machines in "+workload.FormatByZone(at))
	}
	if len(dark) > 0 {
		out = append(out, fmt.Sprintf("nothing is heard of %s: its tasks there may go on, and start elsewhere once their workers' leases have surely lapsed, in %.0fs at the latest, or the cloud has taken the machines back",
			workload.FormatByZone(dark), max(0, latest.Sub(now).Seconds())))
	}
	from := job.Losses.CountByZone(func(task int) bool { return !job.Record.Finished.Contains(task) })
	if len(from) > 0 {
		out = append(out, fmt.Sprintf("lost in %s and not started again yet", workload.FormatByZone(from)))
	}
	return out
}
