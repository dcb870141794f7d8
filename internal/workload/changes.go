package workload

import (
	"maps"
	"slices"
	"time"
)

// Changes are the jobs of which something changed that is not stored yet.
type Changes struct{ jobs map[*Job]bool }

// NewChanges makes an empty set.
func NewChanges() *Changes { return &Changes{jobs: map[*Job]bool{}} }

// Add notes that a job changed; the time of the oldest change that is not stored is kept.
func (c *Changes) Add(job *Job) {
	if !c.jobs[job] {
		c.jobs[job], job.ChangedAt = true, time.Now()
	}
}

// Remove takes a job out: all of it is stored, or nothing more will be.
func (c *Changes) Remove(job *Job) { delete(c.jobs, job) }

// All are the changed jobs, in no order.
func (c *Changes) All() []*Job { return slices.Collect(maps.Keys(c.jobs)) }

// HasUrgent tells whether a change has to be stored before something can go on.
func (c *Changes) HasUrgent() bool {
	for job := range c.jobs {
		if job.Urgent {
			return true
		}
	}
	return false
}

// Due lists the jobs whose changes are to be stored now, most urgent first: urgent ones at once, the
// others after a delay. One whose record did not fit is left out until it changes again.
func (c *Changes) Due(now time.Time, delay time.Duration) []*Job {
	var due []*Job
	for job := range c.jobs {
		switch {
		case job.Version <= job.StoredVersion || job.Ended:
			delete(c.jobs, job)
		case job.Version == job.OversizeVersion:
		case job.Urgent || now.Sub(job.ChangedAt) >= delay:
			due = append(due, job)
		}
	}
	slices.SortFunc(due, compareUrgency)
	return due
}

// compareUrgency orders changed jobs: urgent ones first, then by priority and submission.
func compareUrgency(x, y *Job) int {
	if x.Urgent != y.Urgent {
		if x.Urgent {
			return -1
		}
		return 1
	}
	if a, b := x.EffectivePriority(), y.EffectivePriority(); a != b {
		return int(b) - int(a)
	}
	return CompareSubmission(x, y)
}
