package intake

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

const (
	// maxForecastJobs limits how many jobs of a pipeline one explanation visits.
	maxForecastJobs = 500
	// maxListedDependencies limits how many dependencies an explanation lists.
	maxListedDependencies = 100
	// maxListedDeadlines limits the number of dependents for which an explanation estimates whether they
	// meet their deadlines.
	maxListedDeadlines = 5
)

// criticalPath is the longest chain of unfinished jobs that ends with a given job, by the users' estimates.
type criticalPath struct {
	remaining time.Duration
	first     ids.Job // the first job of the chain
}

// forecast estimates when the jobs of a pipeline end. It serves one explanation.
type forecast struct {
	records      *recordReader
	dependencies *dependencyReader
	paths        map[ids.Job]criticalPath
	truncated    bool // the pipeline has more jobs than maxForecastJobs
}

func newForecast(records *recordReader) *forecast {
	return &forecast{
		records:      records,
		dependencies: newDependencyReader(records, state.Sheddable),
		paths:        map[ids.Job]criticalPath{},
	}
}

// explain describes what a job waits for, whether the deadlines of its pipeline are at risk, and which job
// has to finish first. If it returns an error, it also returns the lines produced before the error.
func (f *forecast) explain(ctx context.Context, rec *record.Record) ([]string, error) {
	switch {
	case rec.Status == record.Cancelled && rec.CancelledBy != "":
		return f.explainCancellation(ctx, rec)
	case rec.Status.IsTerminal() || rec.Status == record.Cancelling:
		return nil, nil
	}
	lines, err := f.describeDependencies(ctx, rec)
	if err != nil {
		return lines, err
	}
	ownRisk, err := f.describeDeadlineRisk(ctx, rec)
	if err != nil {
		return lines, err
	}
	lines = append(lines, ownRisk...)
	dependentRisks, err := f.describeDependentRisks(ctx, rec.Spec.ID)
	lines = append(lines, dependentRisks...)
	if err != nil {
		return lines, err
	}
	if f.truncated {
		lines = append(lines, fmt.Sprintf("the estimates are too low: more than %d jobs come before it", maxForecastJobs))
	}
	return lines, nil
}

// explainCancellation names the dependency whose cancellation by its user led to that of the given job.
// The record may name an intermediate dependency that was cancelled for the same reason.
func (f *forecast) explainCancellation(ctx context.Context, rec *record.Record) ([]string, error) {
	cause, intermediates := rec.CancelledBy, []string{}
	for range maxForecastJobs {
		storedRecord, err := f.records.storedRecord(ctx, cause, state.Sheddable)
		if err != nil {
			return nil, err
		}
		if !storedRecord.exists() || storedRecord.record.CancelledBy == "" {
			break
		}
		intermediates = append(intermediates, string(cause))
		cause = storedRecord.record.CancelledBy
	}
	line := fmt.Sprintf("cancelled with %s, whose user cancelled it", cause)
	if len(intermediates) > 0 {
		line += ", through " + strings.Join(intermediates, ", ")
	}
	return []string{line}, nil
}

// describeDependencies describes a job's dependencies, unfinished ones first.
func (f *forecast) describeDependencies(ctx context.Context, rec *record.Record) ([]string, error) {
	if err := f.dependencies.prefetch(ctx, rec.Spec.DependsOn); err != nil {
		return nil, err
	}
	var unfinished, done []string
	for _, id := range rec.Spec.DependsOn {
		dependency, err := f.dependencies.read(ctx, id)
		if err != nil {
			return nil, err
		}
		summary := &dependency.summary
		line := fmt.Sprintf("awaits %s: %s, %d of %d tasks done", id, summary.status, summary.done, summary.tasks)
		if summary.status == statusDone {
			done = append(done, line)
		} else {
			unfinished = append(unfinished, line)
		}
	}
	lines := append(unfinished, done...)
	if omitted := len(lines) - maxListedDependencies; omitted > 0 {
		lines = append(lines[:maxListedDependencies], fmt.Sprintf("awaits %d more", omitted))
	}
	return lines, nil
}

// describeDeadlineRisk describes whether a job's deadline, if it has one, is at risk.
func (f *forecast) describeDeadlineRisk(ctx context.Context, rec *record.Record) ([]string, error) {
	if rec.Spec.Deadline <= 0 {
		return nil, nil
	}
	path, err := f.criticalPathTo(ctx, rec)
	if err != nil {
		return nil, err
	}
	slack := time.Until(deadlineOf(rec)) - path.remaining
	if slack < 0 {
		return []string{fmt.Sprintf("the pipeline is at risk: by the estimates it ends %.0fs after its deadline; it hangs on %s first", -slack.Seconds(), path.first)}, nil
	}
	return []string{fmt.Sprintf("the pipeline is in time: by the estimates it ends %.0fs before its deadline; it hangs on %s first", slack.Seconds(), path.first)}, nil
}

// describeDependentRisks describes whether the deadlines of the jobs that depend on a job are at risk.
func (f *forecast) describeDependentRisks(ctx context.Context, id ids.Job) (lines []string, err error) {
	for _, dependent := range f.dependentsWithDeadline(id) {
		current, err := f.dependencies.read(ctx, dependent.Spec.ID)
		if err != nil {
			return lines, err
		}
		if current.summary.isFinal() {
			continue
		}
		risk, err := f.describeDeadlineRisk(ctx, dependent)
		if err != nil {
			return lines, err
		}
		for _, line := range risk {
			lines = append(lines, fmt.Sprintf("needed by %s: %s", dependent.Spec.ID, line))
		}
	}
	return lines, nil
}

// criticalPathTo returns the critical path that ends with an unfinished job.
func (f *forecast) criticalPathTo(ctx context.Context, rec *record.Record) (criticalPath, error) {
	id := rec.Spec.ID
	if path, known := f.paths[id]; known {
		return path, nil
	}
	if len(f.paths) >= maxForecastJobs {
		f.truncated = true
		return criticalPath{remaining: rec.Spec.EstimatedDuration.Duration(), first: id}, nil
	}
	f.paths[id] = criticalPath{first: id}
	if err := f.dependencies.prefetch(ctx, rec.Spec.DependsOn); err != nil {
		return criticalPath{}, err
	}
	longest := criticalPath{first: id}
	for _, dependencyID := range rec.Spec.DependsOn {
		dependency, err := f.dependencies.read(ctx, dependencyID)
		if err != nil {
			return criticalPath{}, err
		}
		if dependency.summary.isFinal() || dependency.record == nil {
			continue
		}
		path, err := f.criticalPathTo(ctx, dependency.record)
		if err != nil {
			return criticalPath{}, err
		}
		if longest.first == id || path.remaining > longest.remaining {
			longest = path
		}
	}
	longest.remaining += rec.Spec.EstimatedDuration.Duration()
	f.paths[id] = longest
	return longest, nil
}

// dependentsWithDeadline returns the blocked jobs with a deadline that depend on a job directly or
// indirectly, earliest deadline first and at most maxListedDeadlines. It reads them from the controller's
// watch cache.
func (f *forecast) dependentsWithDeadline(id ids.Job) []*record.Record {
	dependentsByJob := f.records.dependentsByJob()
	found := map[ids.Job]bool{id: true}
	var withDeadline []*record.Record
	for queue := []ids.Job{id}; len(queue) > 0; queue = queue[1:] {
		for _, rec := range dependentsByJob[queue[0]] {
			if found[rec.Spec.ID] {
				continue
			}
			found[rec.Spec.ID] = true
			queue = append(queue, rec.Spec.ID)
			if rec.Spec.Deadline > 0 {
				withDeadline = append(withDeadline, rec)
			}
		}
	}
	slices.SortFunc(withDeadline, func(a, b *record.Record) int { return deadlineOf(a).Compare(deadlineOf(b)) })
	return withDeadline[:min(len(withDeadline), maxListedDeadlines)]
}

// deadlineOf returns the time at which a job is due. It counts from the submission, even if the job had to
// wait for its dependencies.
func deadlineOf(rec *record.Record) time.Time {
	return rec.Submitted.Time().Add(rec.Spec.Deadline.Duration())
}

// dependentsByJob returns the blocked jobs in the watch cache, indexed by their dependencies.
func (r *recordReader) dependentsByJob() map[ids.Job][]*record.Record {
	entries, _ := r.cache.Entries()
	index := map[ids.Job][]*record.Record{}
	for _, entry := range entries {
		rec, err := record.DecodeWaiting(entry.Value)
		if err != nil || entry.Key != record.WaitKey(rec.Spec.ID) {
			continue
		}
		for _, dependencyID := range rec.Spec.DependsOn {
			index[dependencyID] = append(index[dependencyID], rec)
		}
	}
	return index
}
