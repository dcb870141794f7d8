package claim

import "time"

// ResetLiveness gives every machine the time to be heard again.
func (c *ClusterState) ResetLiveness(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, machine := range c.machines.Machines {
		if machine.HasReported {
			machine.UnansweredProbes, machine.UnreachableSince, machine.FailedCalls = 0, time.Time{}, 0
			machine.SuspectSince, machine.LastProbeAt = now, time.Time{}
		}
	}
}
