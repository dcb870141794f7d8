package clusterstate

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// maxExplainLines bounds the lines of an explanation.
const maxExplainLines = 200

// Explain returns lines for the user: why a job's pending tasks wait, and where its other tasks are, as far
// as this leader knows.
func (c *State) Explain(id ids.Job) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs.Get(id)
	if job == nil {
		return nil
	}
	now := time.Now()
	lines := c.describePending(job, now)
	lines = append(lines, job.DescribeFailures(now)...)
	lines = append(lines, c.describeZones(job, now)...)
	for _, task := range workload.SortedTasks(job.Assignments) {
		lines = append(lines, c.describeAssignment(job.Assignments[task], now))
		if len(lines) > maxExplainLines {
			return append(lines, "…")
		}
	}
	return append(lines, describeRetries(job, now)...)
}

// describePending returns why tasks of a job are pending.
func (c *State) describePending(job *workload.Job, now time.Time) (lines []string) {
	if job.PendingReason == "" {
		return nil
	}
	lines = append(lines, "waits: "+job.PendingReason)
	if job.Unassigned() > 0 && !job.Failing() {
		lines = append(lines, c.planner.DescribeBooting(job, now)...)
	}
	return lines
}

// describeAssignment returns where an assigned task is and its state.
func (c *State) describeAssignment(assignment *workload.Assignment, now time.Time) string {
	zone, reported := "?", "not heard by this leader"
	if machine := c.machines.Machines[assignment.Machine]; machine != nil && machine.HasReported {
		zone, reported = machine.Zone, fmt.Sprintf("heard %.1fs ago", machine.SilentFor(now).Seconds())
	}
	return fmt.Sprintf("task %d attempt %d on %s (%s, %s): %s", assignment.TaskIndex, assignment.Attempt, assignment.Machine, zone, reported, describeStatus(assignment))
}

// describeStatus returns the state of an assigned task.
func describeStatus(assignment *workload.Assignment) string {
	switch {
	case assignment.Stopping && !assignment.Confirmed:
		return "uncertain, to be stopped: " + assignment.StopReason
	case assignment.Stopping:
		return assignment.Status + ", stopping: " + assignment.StopReason
	case assignment.Evicting:
		return assignment.Status + ", to be moved by a rollout"
	case !assignment.StartSent:
		return "marked"
	case !assignment.Confirmed:
		return "start not confirmed"
	}
	return assignment.Status
}

// describeRetries returns when each failed task of a job is tried again.
func describeRetries(job *workload.Job, now time.Time) (lines []string) {
	for _, task := range slices.Sorted(maps.Keys(job.Retries)) {
		if retry := job.Retries[task]; retry.NotBefore.After(now) {
			lines = append(lines, fmt.Sprintf("task %d failed %d times, tried again in %.1fs", task, retry.Failures, retry.NotBefore.Sub(now).Seconds()))
		}
	}
	return lines
}

// describeZones returns how many of a job's tasks are in each zone, and what the tasks in an unreachable
// zone wait for.
func (c *State) describeZones(job *workload.Job, now time.Time) (lines []string) {
	reachable, unreachable := map[string]int{}, map[string]int{}
	var lastExpiry time.Time
	for _, assignment := range job.Assignments {
		machine := c.machines.Machines[assignment.Machine]
		switch {
		case machine != nil && c.zones.Unreachable(machine.Zone) && (!machine.HasReported || machine.IsSuspect()):
			unreachable[machine.Zone]++
			lastExpiry = worker.Later(lastExpiry, machine.LeaseExpiresAt)
		default:
			reachable[c.reconciler.ZoneOf(assignment.Machine)]++
		}
	}
	if len(reachable) > 0 {
		lines = append(lines, "on machines in "+workload.FormatByZone(reachable))
	}
	if len(unreachable) > 0 {
		lines = append(lines, fmt.Sprintf("nothing is heard of %s: its tasks there may go on, and start elsewhere once their workers' leases have surely lapsed, in %.0fs at the latest, or the cloud has taken the machines back",
			workload.FormatByZone(unreachable), max(0, lastExpiry.Sub(now).Seconds())))
	}
	lost := job.Losses.CountByZone(func(task int) bool { return !job.Record.Finished.Contains(task) })
	if len(lost) > 0 {
		lines = append(lines, fmt.Sprintf("lost in %s and not started again yet", workload.FormatByZone(lost)))
	}
	return lines
}

// Summary returns counts of the leader's jobs, assignments and machines and its costs, for operators.
func (c *State) Summary() map[string]any {
	c.mu.Lock()
	defer c.mu.Unlock()
	reporting, draining, cordoned := 0, 0, 0
	for _, machine := range c.machines.Machines {
		if machine.HasReported {
			reporting++
		}
		if machine.Cordoned {
			cordoned++
		}
		if machine.DrainReason != "" || !machine.SpotTerminationAt.IsZero() {
			draining++
		}
	}
	waiting := map[string]int{}
	assigned := 0
	for _, job := range c.jobs.All() {
		assigned += len(job.Assignments)
		if job.PendingReason != "" {
			waiting[job.PendingReason]++
		}
	}
	return map[string]any{"generation": c.generation(), "jobs": c.jobs.Len(), "placed": assigned, "machines": len(c.machines.Machines),
		"heard": reporting, "draining": draining, "cordoned": cordoned, "waiting": waiting,
		"spent": c.costsSummary()}
}

// costsSummary returns the cost of the machines, by what they were doing, and the core-seconds of work that
// had to be repeated.
func (c *State) costsSummary() map[string]any {
	money, repeated := c.costs.Summary()
	return map[string]any{"boot": money.Boot, "idle": money.Idle, "free": money.Free, "fetch": money.Pull,
		"wait": money.Wait, "run": money.Run, "againCoreSeconds": repeated}
}
