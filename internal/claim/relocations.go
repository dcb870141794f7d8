package claim

import (
	"fmt"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// unknownZone stands for the zone of a machine that was never heard or listed.
const unknownZone = "an unknown zone"

// zoneOf is a machine's zone as far as it is known.
func (c *ClusterState) zoneOf(name ids.Machine) string {
	if machine := c.machines.Machines[name]; machine != nil && machine.Zone != "" {
		return machine.Zone
	}
	return unknownZone
}

// recordLoss tells in the trail that a task is proven not to be on its machine.
func (c *ClusterState) recordLoss(assignment *workload.Assignment, why string) {
	job, trail, last := assignment.Job, assignment.Job.Record.Events, ""
	if n := len(trail); n > 0 {
		last = trail[n-1].Message
	}
	line, replaces := job.Losses.Add(assignment.TaskIndex, assignment.Machine, c.zoneOf(assignment.Machine), why, last)
	if replaces {
		job.Record.Events = trail[:len(trail)-1]
	}
	c.recordEvent(job, "%s", line)
}

// recordRestarts tells in the trail where tasks lost before were assigned anew.
func (c *ClusterState) recordRestarts(job *workload.Job, assigned []*workload.Assignment) {
	to, from := map[string]int{}, map[string]int{}
	for _, assignment := range assigned {
		zone, lost := job.Losses.Restarted(assignment.TaskIndex)
		if !lost {
			continue
		}
		from[zone]++
		if machine := c.machines.Machines[assignment.Machine]; machine != nil {
			to[machine.Zone]++
		}
	}
	if len(from) > 0 {
		c.recordEvent(job, "tasks lost in %s start again: %s", workload.FormatByZone(from), workload.FormatByZone(to))
	}
}

// describeZones tells where a job's tasks are, by zone, and what those in a dark one
// wait for.
func (c *ClusterState) describeZones(job *workload.Job, now time.Time) (out []string) {
	at, dark := map[string]int{}, map[string]int{}
	var latest time.Time
	for _, assignment := range job.Assignments {
		machine := c.machines.Machines[assignment.Machine]
		switch {
		case machine == nil || machine.Zone == "":
			at[unknownZone]++
		case c.zones.Unreachable(machine.Zone) && (!machine.HasReported || machine.Suspect()):
			dark[machine.Zone]++
			latest = worker.Later(latest, machine.LeaseExpiresAt)
		default:
			at[machine.Zone]++
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
