package claim

import "time"

// ResetLiveness gives every machine the time to be heard again.
func (c *ClusterState) ResetLiveness(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, machine := range c.machines.Machines {
		if machine.Heard {
			machine.Probes, machine.Unreached, machine.Failures = 0, time.Time{}, 0
			machine.Doubted, machine.Asked = now, time.Time{}
		}
	}
}
