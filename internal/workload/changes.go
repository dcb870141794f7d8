package workload

import (
	"maps"
	"slices"
	"time"
)

// Changes is the set of jobs with changes that are not stored yet.
type Changes struct{ jobs map[*Job]bool }

// NewChanges returns an empty set.
func NewChanges() *Changes { return &Changes{jobs: map[*Job]bool{}} }

// Add adds a job that has changed. If it is in the set already, the time of its oldest change is kept.
func (c *Changes) Add(job *Job) {
	if !c.jobs[job] {
		c.jobs[job], job.ChangedAt = true, time.Now()
	}
}

// Remove removes a job whose changes are all stored, or will not be stored any more.
func (c *Changes) Remove(job *Job) { delete(c.jobs, job) }

// All returns the changed jobs in unspecified order.
func (c *Changes) All() []*Job { return slices.Collect(maps.Keys(c.jobs)) }

// HasUrgent reports whether any of the jobs is urgent.
func (c *Changes) HasUrgent() bool {
	for job := range c.jobs {
		if job.Urgent {
			return true
		}
	}
	return false
}

// Due returns the jobs whose changes are to be stored now, most urgent first. Changes of urgent jobs are due
// immediately, those of other jobs after a delay. A job whose record was too large to be stored is left out
// until it changes again. Jobs without unstored changes are removed from the set.
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

// compareUrgency orders changed jobs: urgent ones first, then by priority, then by submission.
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
