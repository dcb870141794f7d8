package claim

import "github.com/pebbletrail/pebbletrail/internal/workload"

// valueBytes is how large a stored value may be.
func (c *ClusterState) valueBytes() float64 { return c.settings.Params.State.ValueKB * 1024 }

// maxAssignedTasks bounds how many tasks of a job are assigned at a time, so that its record fits a
// value.
func (c *ClusterState) maxAssignedTasks(job *workload.Job) int {
	return job.MaxAssignedTasks(c.valueBytes())
}
