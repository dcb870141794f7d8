package intake

import (
	"context"
	"fmt"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// dependencyState is the state of a job that other jobs depend on.
type dependencyState struct {
	accepted bool
	// summary is the state reported to users: a job is cancelled as soon as one of its dependencies is.
	summary jobSummary
	// cancelledJob is the job whose cancellation ends this job, which may be this job itself; empty if none.
	cancelledJob ids.Job
	// record is nil for an ended job of which only the summary is cached.
	record *record.Record
}

// endedState returns the state of a job that has ended.
func endedState(summary jobSummary, rec *record.Record) *dependencyState {
	ended := &dependencyState{accepted: true, summary: summary, record: rec}
	if summary.status != statusCancelled {
		return ended
	}
	ended.cancelledJob = summary.cancelledBy
	if ended.cancelledJob == "" {
		ended.cancelledJob = summary.id
	}
	return ended
}

// dependencyReader reads the states of the jobs of a pipeline for one request, each job once. It reads
// unfinished jobs from the controller's watch cache, which must be as recent as the request requires. It is
// not safe for concurrent use.
type dependencyReader struct {
	records  *recordReader
	priority state.Priority
	states   map[ids.Job]*dependencyState
	// finalRecords contains the prefetched final records; the value is nil for a job that has none.
	finalRecords map[ids.Job]*record.Record
}

func newDependencyReader(records *recordReader, priority state.Priority) *dependencyReader {
	return &dependencyReader{
		records:      records,
		priority:     priority,
		states:       map[ids.Job]*dependencyState{},
		finalRecords: map[ids.Job]*record.Record{},
	}
}

// read returns the state of a job, from an earlier read if there was one.
func (r *dependencyReader) read(ctx context.Context, id ids.Job) (*dependencyState, error) {
	if cached := r.states[id]; cached != nil {
		return cached, nil
	}
	dependencyState, err := r.readUncached(ctx, id)
	if err == nil {
		r.states[id] = dependencyState
	}
	return dependencyState, err
}

// readUncached determines the state of a job that this reader has not read before.
func (r *dependencyReader) readUncached(ctx context.Context, id ids.Job) (*dependencyState, error) {
	if summary, known := r.records.endedJobs.get(id); known {
		return endedState(summary, nil), nil
	}
	stored, err := r.readRecord(ctx, id)
	if err != nil {
		return nil, err
	}
	rec := stored.record
	switch {
	case rec == nil:
		return &dependencyState{}, nil
	case rec.Status.IsTerminal():
		r.records.endedJobs.add(rec)
		return endedState(summarize(rec), rec), nil
	}
	unfinished := &dependencyState{accepted: true, summary: summarize(rec), record: rec}
	if rec.Status == record.Cancelling {
		unfinished.cancelledJob = id
	}
	if stored.isBlocked() {
		if unfinished.cancelledJob, err = r.findCancelledDependency(ctx, rec); err != nil {
			return nil, err
		}
	}
	if unfinished.cancelledJob != "" {
		unfinished.summary.status = statusCancelled
	}
	return unfinished, nil
}

// readRecord returns a job's record from the prefetched records, or else reads it.
func (r *dependencyReader) readRecord(ctx context.Context, id ids.Job) (recordEntry, error) {
	if final, prefetched := r.finalRecords[id]; prefetched {
		return recordEntry{record: final}, nil
	}
	return r.records.storedRecord(ctx, id, r.priority)
}

// findCancelledDependency returns a cancelled job among the direct and indirect dependencies of a job, or an
// empty identifier if none is cancelled.
func (r *dependencyReader) findCancelledDependency(ctx context.Context, rec *record.Record) (ids.Job, error) {
	if err := r.prefetch(ctx, rec.Spec.DependsOn); err != nil {
		return "", err
	}
	for _, id := range rec.Spec.DependsOn {
		dependency, err := r.read(ctx, id)
		switch {
		case err != nil:
			return "", err
		case !dependency.accepted:
			return "", fmt.Errorf("%w: %s awaits %s, of which there is no record", errUnavailable, rec.Spec.ID, id)
		case dependency.cancelledJob != "":
			return dependency.cancelledJob, nil
		}
	}
	return "", nil
}

// A job may have hundreds of dependencies, and one call to the store for each would take longer than its
// user waits. So final records are read in pages of at most prefetchPageSize if at least
// prefetchThreshold of them are needed.
const (
	prefetchThreshold = 4
	prefetchPageSize  = 500
)

// prefetch reads the final records of those jobs whose state is not available without a call to the store.
func (r *dependencyReader) prefetch(ctx context.Context, jobs []ids.Job) error {
	var missing []ids.Job
	for _, id := range jobs {
		if !r.isReadableWithoutCall(id) {
			missing = append(missing, id)
		}
	}
	if len(missing) < prefetchThreshold {
		return nil // each is read by its own call
	}
	slices.Sort(missing)
	for len(missing) > 0 {
		after := record.BeforeFinalRecord(missing[0])
		page, more, _, err := r.records.store.List(ctx, record.FinalRecordPrefix, after, prefetchPageSize, r.priority)
		if err != nil {
			return wrapUnavailable(err)
		}
		if missing, err = r.addPage(missing, page, more); err != nil {
			return err
		}
	}
	return nil
}

// isReadableWithoutCall reports whether a job can be read without a call to the store.
func (r *dependencyReader) isReadableWithoutCall(id ids.Job) bool {
	if _, prefetched := r.finalRecords[id]; prefetched || r.states[id] != nil {
		return true
	}
	if _, known := r.records.endedJobs.get(id); known {
		return true
	}
	_, live, _ := r.records.cache.GetFirst(record.JobKey(id), record.WaitKey(id))
	return live
}

// addPage stores the final records of the missing jobs that a page contains. missing is sorted. It returns
// the jobs whose keys sort after the end of the page.
func (r *dependencyReader) addPage(missing []ids.Job, page []state.Entry, more bool) (remaining []ids.Job, err error) {
	jobByKey := map[string]ids.Job{}
	for _, id := range missing {
		jobByKey[record.FinalRecordKey(id)] = id
		r.finalRecords[id] = nil
	}
	for _, entry := range page {
		id, isWanted := jobByKey[entry.Key]
		if !isWanted {
			continue
		}
		rec, err := record.Decode(entry.Value)
		if err != nil {
			return nil, fmt.Errorf("%w: unreadable record %s", errUnavailable, entry.Key)
		}
		r.finalRecords[id] = rec
	}
	if !more || len(page) == 0 {
		return nil, nil
	}
	last := page[len(page)-1].Key
	for i, id := range missing {
		if record.FinalRecordKey(id) > last {
			remaining = missing[i:]
			break
		}
	}
	for _, id := range remaining {
		delete(r.finalRecords, id)
	}
	return remaining, nil
}
