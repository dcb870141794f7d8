package claim

import (
	"fmt"
	"sort"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Explain tells a job's trail and why its tasks wait, as the leader sees it.
func (c *ClusterState) Explain(id ids.Job) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs.Get(id)
	if job == nil {
		return nil
	}
	var out []string
	now := time.Now()
	if job.PendingReason != "" {
		out = append(out, "waits: "+job.PendingReason)
		if job.Unassigned() > 0 && !job.Failing() {
			out = append(out, c.planner.DescribeBooting(job, now)...)
		}
	}
	out = append(out, job.DescribeFailures(now)...)
	out = append(out, c.describeZones(job, now)...)
	for _, i := range workload.SortedTasks(job.Assignments) {
		assignment := job.Assignments[i]
		st := assignment.Status
		switch {
		case assignment.Stopping && !assignment.Confirmed:
			st = "uncertain, to be stopped: " + assignment.StopReason
		case assignment.Stopping:
			st += ", stopping: " + assignment.StopReason
		case assignment.Evicting:
			st += ", to be moved by a rollout"
		case !assignment.StartSent:
			st = "marked"
		case !assignment.Confirmed:
			st = "start not confirmed"
		}
		zone, heard := "?", "not heard by this leader"
		if machine := c.machines.Machines[assignment.Machine]; machine != nil && machine.HasReported {
			zone, heard = machine.Zone, fmt.Sprintf("heard %.1fs ago", machine.SilentFor(now).Seconds())
		}
		out = append(out, fmt.Sprintf("task %d attempt %d on %s (%s, %s): %s", i, assignment.Attempt, assignment.Machine, zone, heard, st))
		if len(out) > 200 {
			return append(out, "…")
		}
	}
	tries := make([]int, 0, len(job.Retries))
	for i := range job.Retries {
		tries = append(tries, i)
	}
	sort.Ints(tries)
	for _, i := range tries {
		if retry := job.Retries[i]; retry.NotBefore.After(now) {
			out = append(out, fmt.Sprintf("task %d failed %d times, tried again in %.1fs", i, retry.Failures, retry.NotBefore.Sub(now).Seconds()))
		}
	}
	return out
}

// Summary counts what the leader has, for operators.
func (c *ClusterState) Summary() map[string]any {
	c.mu.Lock()
	defer c.mu.Unlock()
	heard, draining, cordoned := 0, 0, 0
	for _, machine := range c.machines.Machines {
		if machine.HasReported {
			heard++
		}
		if machine.Cordoned {
			cordoned++
		}
		if machine.DrainReason != "" || !machine.SpotTerminationAt.IsZero() {
			draining++
		}
	}
	waiting := map[string]int{}
	places := 0
	for _, job := range c.jobs.All() {
		places += len(job.Assignments)
		if job.PendingReason != "" {
			waiting[job.PendingReason]++
		}
	}
	return map[string]any{"generation": c.generation, "jobs": c.jobs.Len(), "placed": places, "machines": len(c.machines.Machines),
		"heard": heard, "draining": draining, "cordoned": cordoned, "waiting": waiting,
		"spent": c.costsSummary()}
}

// costsSummary is what the machines cost, by what they were doing, and the work to do again.
func (c *ClusterState) costsSummary() map[string]any {
	money, repeated := c.costs.Summary()
	return map[string]any{"boot": money.Boot, "idle": money.Idle, "free": money.Free, "fetch": money.Pull,
		"wait": money.Wait, "run": money.Run, "againCoreSeconds": repeated}
}
