package claim

import "time"

// IsolatedFromWorkers tells whether this node has lost most machines while others reach
// them.
func (c *ClusterState) IsolatedFromWorkers(stranded []RedirectedWorker, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Reports may be far apart, and after a takeover all come at once: only one that
	// is overdue tells anything. To go by less made leaders give way wrongly.
	overdue := c.settings.Params.Workers.ReportS.Duration() * 5 / 4
	silent, heard := 0, 0
	for _, machine := range c.machines.Machines {
		if machine.HasReported && machine.SilentFor(now) < overdue {
			heard++
		}
	}
	for _, s := range stranded {
		if machine := c.machines.Machines[s.Machine]; machine != nil && machine.SilentFor(now) >= overdue && machine.SilentFor(now) > s.Ago+peerReportDelay {
			silent++
		}
	}
	return silent >= 2 && silent > heard
}

// peerReportDelay bounds how late a peer's word arrives: a worker sent on is often here
// within a millisecond, and must not count as missing because the word took longer.
const peerReportDelay = time.Second

// HearsNoWorker tells whether next to no machine is heard or answers.
func (c *ClusterState) HearsNoWorker(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	liveness := c.measureLiveness()
	return liveness.storeAvailable && liveness.silent >= 2 && 4*liveness.silent >= 3*liveness.all && liveness.lastHeard.after(now.Add(-2*time.Second)) == 0
}
