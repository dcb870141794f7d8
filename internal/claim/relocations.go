package claim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// What operators ask first when a zone goes dark is what moved, what did not,
// and what the rest waits for. The trail is bounded and many tasks are lost at
// once, so that like events share a line.

// LossHistory remembers, for the trail, tasks of a job that were lost and wait for a
// new place.
type LossHistory struct {
	LostIn map[int]string // task -> zone it was lost in
	Reason string         // of the last line about it
	Zone   string
	Count  int
	Text   string
}

// recordLoss tells in the trail that a task is proven not to be on its machine.
func (c *ClusterState) recordLoss(assignment *Assignment, why string) {
	job, zone := assignment.Job, "an unknown zone"
	if machine := c.machines.Machines[assignment.Machine]; machine != nil && machine.Zone != "" {
		zone = machine.Zone
	}
	l := &job.Losses
	if l.LostIn == nil {
		l.LostIn = map[int]string{}
	}
	l.LostIn[assignment.TaskIndex] = zone
	if n := len(job.Record.Trail); n > 0 && l.Count > 0 && job.Record.Trail[n-1].What == l.Text && l.Reason == why && l.Zone == zone {
		l.Count++
		l.Text = fmt.Sprintf("%d tasks gone in %s, task %d on %s the last: %s", l.Count, zone, assignment.TaskIndex, assignment.Machine, why)
		job.Record.Trail = job.Record.Trail[:n-1]
	} else {
		l.Reason, l.Zone, l.Count = why, zone, 1
		l.Text = fmt.Sprintf("task %d gone on %s in %s: %s", assignment.TaskIndex, assignment.Machine, zone, why)
	}
	c.recordEvent(job, "%s", l.Text)
}

// recordRestarts tells in the trail where tasks lost before were placed anew.
func (c *ClusterState) recordRestarts(job *Job, placed []*Assignment) {
	to, from := map[string]int{}, map[string]int{}
	for _, assignment := range placed {
		if z, ok := job.Losses.LostIn[assignment.TaskIndex]; ok {
			delete(job.Losses.LostIn, assignment.TaskIndex)
			from[z]++
			if machine := c.machines.Machines[assignment.Machine]; machine != nil {
				to[machine.Zone]++
			}
		}
	}
	if len(from) > 0 {
		c.recordEvent(job, "tasks lost in %s start again: %s", formatByZone(from), formatByZone(to))
	}
}

func formatByZone(n map[string]int) string {
	var out []string
	for z, k := range n {
		out = append(out, fmt.Sprintf("%s (%d)", z, k))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

// describeZones tells where a job's tasks are, by zone, and what those in a dark one
// wait for.
func (c *ClusterState) describeZones(job *Job, now time.Time) (out []string) {
	at, dark := map[string]int{}, map[string]int{}
	var latest time.Time
	for _, assignment := range job.Assignments {
		machine := c.machines.Machines[assignment.Machine]
		switch {
		case machine == nil || machine.Zone == "":
			at["an unknown zone"]++
		case c.unreachableZones[machine.Zone] && (!machine.Heard || machine.Doubtful()):
			dark[machine.Zone]++
			latest = worker.Later(latest, machine.LapseAt)
		default:
			at[machine.Zone]++
		}
	}
	if len(at) > 0 {
		out = append(out, "on machines in "+formatByZone(at))
	}
	if len(dark) > 0 {
		out = append(out, fmt.Sprintf("nothing is heard of %s: its tasks there may go on, and start elsewhere once their workers' leases have surely lapsed, in %.0fs at the latest, or the cloud has taken the machines back",
			formatByZone(dark), max(0, latest.Sub(now).Seconds())))
	}
	from := map[string]int{}
	for i, z := range job.Losses.LostIn {
		if !job.Record.Finished.Has(i) {
			from[z]++
		}
	}
	if len(from) > 0 {
		out = append(out, fmt.Sprintf("lost in %s and not started again yet", formatByZone(from)))
	}
	return out
}
