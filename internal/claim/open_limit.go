package claim

import (
	"encoding/json"
)

// openLimit bounds how many tasks of one job are claimed at a time, so that
// its record always fits a value: a large array goes in batches. At first a place
// counts for as many bytes as its machine's name and 20 more; then by what the
// places took when they were last stored, since many small tasks share a machine.
// What is finished in between breaks the ranges up: once a machine's tasks are no
// longer next to one another, each takes the bytes of its number.
func (b *ClusterState) openLimit(j *Job) int {
	value := b.set.Params.State.ValueKB * 1024
	n := int((value*0.92 - min(1500, float64(j.described()))) / 40)
	if w := j.width; w.places > 0 {
		n = max(n, int((value*0.9-float64(w.rest))/(1.25*max(w.places, brokenUp)+1)))
	}
	if j.maxClaimed > 0 {
		n = min(n, j.maxClaimed)
	}
	return max(4, n)
}

// described is about how many bytes of a record a job takes before any of it is
// placed: small values must not go to waste on a guess.
func (j *Job) described() int {
	if j.width.first == 0 {
		raw, _ := json.Marshal(&j.Rec.Spec)
		j.width.first = len(raw) + 400
	}
	return j.width.first
}

// brokenUp is about how many bytes a place takes at the least by then.
const brokenUp = 5
