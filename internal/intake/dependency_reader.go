package intake

import (
	"context"
	"fmt"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// dependency is the state of a job that others depend on.
type dependency struct {
	accepted bool
	// summary is as users are told it: a job that a cancellation is about to reach is cancelled.
	summary jobSummary
	// cause is the cancelled job that ends this one, perhaps itself; none if it goes on.
	cause ids.Job
	// record is nil for a job that is over and of which only the summary is remembered.
	record *record.Record
}

// endedDependency is the state of a job that is over.
func endedDependency(summary jobSummary, rec *record.Record) *dependency {
	ended := &dependency{accepted: true, summary: summary, record: rec}
	if summary.status != statusCancelled {
		return ended
	}
	ended.cause = summary.cancelledBy
	if ended.cause == "" {
		ended.cause = summary.id
	}
	return ended
}

// dependencyReader reads, for one request, the states of the jobs of a pipeline; each is read once.
// Unfinished jobs come from the controller's copy, which must be as recent as the request needs it.
// It is not safe for use by several goroutines.
type dependencyReader struct {
	records *recordReader
	urgency state.Priority
	states  map[ids.Job]*dependency
	// finals are final records read in pages; nil for a job that has none.
	finals map[ids.Job]*record.Record
}

func newDependencyReader(records *recordReader, urgency state.Priority) *dependencyReader {
	return &dependencyReader{
		records: records,
		urgency: urgency,
		states:  map[ids.Job]*dependency{},
		finals:  map[ids.Job]*record.Record{},
	}
}

// read returns the state of a job.
func (r *dependencyReader) read(ctx context.Context, id ids.Job) (*dependency, error) {
	if known := r.states[id]; known != nil {
		return known, nil
	}
	dependency, err := r.readAnew(ctx, id)
	if err == nil {
		r.states[id] = dependency
	}
	return dependency, err
}

// readAnew determines the state of a job that this reader has not read yet.
func (r *dependencyReader) readAnew(ctx context.Context, id ids.Job) (*dependency, error) {
	if summary, known := r.records.ended.get(id); known {
		return endedDependency(summary, nil), nil
	}
	stored, err := r.readRecord(ctx, id)
	if err != nil {
		return nil, err
	}
	rec := stored.record
	switch {
	case rec == nil:
		return &dependency{}, nil
	case rec.Status.IsTerminal():
		r.records.ended.add(rec)
		return endedDependency(summarize(rec), rec), nil
	}
	unfinished := &dependency{accepted: true, summary: summarize(rec), record: rec}
	if rec.Status == record.Cancelling {
		unfinished.cause = id
	}
	if stored.blocked() {
		if unfinished.cause, err = r.cancelledDependency(ctx, rec); err != nil {
			return nil, err
		}
	}
	if unfinished.cause != "" {
		unfinished.summary.status = statusCancelled
	}
	return unfinished, nil
}

// readRecord reads a job's record, from the prefetched ones if it is among them.
func (r *dependencyReader) readRecord(ctx context.Context, id ids.Job) (storedRecord, error) {
	if final, prefetched := r.finals[id]; prefetched {
		return storedRecord{record: final}, nil
	}
	return r.records.stored(ctx, id, r.urgency)
}

// cancelledDependency finds a cancelled job among the direct and indirect dependencies of a job;
// none if all go on or are done.
func (r *dependencyReader) cancelledDependency(ctx context.Context, rec *record.Record) (ids.Job, error) {
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
		case dependency.cause != "":
			return dependency.cause, nil
		}
	}
	return "", nil
}

// A job may have hundreds of dependencies, and a call for each would take longer than its user
// waits. So from prefetchFrom final records on, they are read in pages of at most prefetchPage.
const (
	prefetchFrom = 4
	prefetchPage = 500
)

// prefetch reads the final records of those jobs that are neither unfinished nor remembered.
func (r *dependencyReader) prefetch(ctx context.Context, jobs []ids.Job) error {
	var missing []ids.Job
	for _, id := range jobs {
		if !r.readsWithoutCall(id) {
			missing = append(missing, id)
		}
	}
	if len(missing) < prefetchFrom {
		return nil // one by one
	}
	slices.Sort(missing)
	for len(missing) > 0 {
		after := keyBefore(record.EndKey(missing[0]))
		page, more, _, err := r.records.store.List(ctx, record.EndPrefix, after, prefetchPage, r.urgency)
		if err != nil {
			return unavailable(err)
		}
		if missing, err = r.addPage(missing, page, more); err != nil {
			return err
		}
	}
	return nil
}

// readsWithoutCall reports that a job can be read without a call of its own to the store.
func (r *dependencyReader) readsWithoutCall(id ids.Job) bool {
	if _, prefetched := r.finals[id]; prefetched || r.states[id] != nil {
		return true
	}
	if _, known := r.records.ended.get(id); known {
		return true
	}
	_, live, _ := r.records.mirror.GetFirst(record.JobKey(id), record.WaitKey(id))
	return live
}

// addPage takes the final records of the missing jobs, which are in order, from a page. It returns
// the jobs beyond the page's end.
func (r *dependencyReader) addPage(missing []ids.Job, page []state.Entry, more bool) (beyond []ids.Job, err error) {
	wanted := map[string]ids.Job{}
	for _, id := range missing {
		wanted[record.EndKey(id)] = id
		r.finals[id] = nil
	}
	for _, entry := range page {
		id, isWanted := wanted[entry.Key]
		if !isWanted {
			continue
		}
		rec, err := record.Decode(entry.Value)
		if err != nil {
			return nil, fmt.Errorf("%w: unreadable record %s", errUnavailable, entry.Key)
		}
		r.finals[id] = rec
	}
	if !more || len(page) == 0 {
		return nil, nil
	}
	last := page[len(page)-1].Key
	for i, id := range missing {
		if record.EndKey(id) > last {
			beyond = missing[i:]
			break
		}
	}
	for _, id := range beyond {
		delete(r.finals, id)
	}
	return beyond, nil
}

// keyBefore is a text that sorts before a job's key but after the key of every job before it: the
// last character is one less, and another that sorts after all digits follows.
func keyBefore(key string) string {
	last := len(key) - 1
	return key[:last] + string(key[last]-1) + "~"
}
