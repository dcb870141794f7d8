package claim

import (
	"encoding/json"
)

// maxAssignedTasks bounds how many tasks of one job are claimed at a time, so that
// its record always fits a value: a large array goes in batches. At first a place
// counts for as many bytes as its machine's name and 20 more; then by what the
// places took when they were last stored, since many small tasks share a machine.
// What is finished in between breaks the ranges up: once a machine's tasks are no
// longer next to one another, each takes the bytes of its number.
func (c *ClusterState) maxAssignedTasks(job *Job) int {
	value := c.settings.Params.State.ValueKB * 1024
	n := int((value*0.92 - min(1500, float64(job.DescriptionSize()))) / 40)
	if w := job.EncodedSize; w.PerAssignment > 0 {
		n = max(n, int((value*0.9-float64(w.Rest))/(1.25*max(w.PerAssignment, scatteredTaskBytes)+1)))
	}
	if job.MaxAssigned > 0 {
		n = min(n, job.MaxAssigned)
	}
	return max(4, n)
}

// DescriptionSize is about how many bytes of a record a job takes before any of it is
// placed: small values must not go to waste on a guess.
func (job *Job) DescriptionSize() int {
	if job.EncodedSize.Description == 0 {
		raw, _ := json.Marshal(&job.Record.Spec)
		job.EncodedSize.Description = len(raw) + 400
	}
	return job.EncodedSize.Description
}

// scatteredTaskBytes is about how many bytes a place takes at the least by then.
const scatteredTaskBytes = 5
