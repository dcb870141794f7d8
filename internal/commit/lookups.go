package commit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// Final records are never deleted, so the cost of lookups must depend on the number of wanted records and
// not on the number of stored ones.
const (
	// LookupInterval is the pause between two passes of lookups.
	LookupInterval = 200 * time.Millisecond
	// pagedLookupThreshold is the number of wanted records from which whole pages of final records are
	// read, as after a failover with thousands of waiting jobs.
	pagedLookupThreshold = 40
	// LookupPageSize is the number of final records in a page.
	LookupPageSize = 500
	// lookupPagesPerPass is the maximum number of pages read in one pass.
	lookupPagesPerPass = 5
	// minLookupsPerPage is the number of wanted records that a page must cover to be worth reading.
	minLookupsPerPage = 8
	// LookupReadsPerPass is the maximum number of records read one by one in one pass.
	LookupReadsPerPass = 20
)

// errNotFinal means that the status in a final record is not final.
var errNotFinal = errors.New("status is not final")

// Lookups provides the operations on the cluster state that lookups of ended jobs need. Its methods lock
// that state.
type Lookups interface {
	// DueLookups returns the ended jobs to look up now, in the order of their keys.
	DueLookups(now time.Time) []ids.Job
	// RetryLookup postpones the lookup of a job whose record could not be read.
	RetryLookup(id ids.Job, now time.Time)
	// LookupFound records the final status of a job.
	LookupFound(id ids.Job, status record.Status)
	// LookupNotFound records that a job has no final record. readLive reports whether the job may be live,
	// written by this leader in a commit whose response was lost.
	LookupNotFound(id ids.Job, now time.Time) (readLive bool)
	// LiveRecordFound records the stored live record of a job.
	LiveRecordFound(stored *record.Record, revision ids.Revision, now time.Time)
}

// finalRecordReader looks up the final records of jobs that other jobs depend on.
type finalRecordReader struct {
	cluster Lookups
	store   *state.Client
}

// run runs lookup passes until the context ends.
func (r *finalRecordReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		r.lookUp(ctx)
		wait.For(ctx, LookupInterval)
	}
}

// lookUp runs one pass: it reads pages while they cover enough wanted records, then single records. The
// next pass reads the remaining ones.
func (r *finalRecordReader) lookUp(ctx context.Context) {
	now := time.Now()
	wanted := r.cluster.DueLookups(now)
	for page := 0; len(wanted) >= pagedLookupThreshold; page++ {
		if page == lookupPagesPerPass {
			return
		}
		covered, ok := r.lookUpPage(ctx, wanted, now)
		if !ok {
			break
		}
		wanted = wanted[covered:]
		if covered < minLookupsPerPage {
			break
		}
	}
	for _, id := range wanted[:min(len(wanted), LookupReadsPerPass)] {
		entry, found, err := r.store.Get(ctx, record.FinalRecordKey(id), state.Normal)
		if err != nil {
			r.cluster.RetryLookup(id, now) // a record that can't be read must not delay the others
			return
		}
		r.applyLookup(ctx, id, entry, found, now)
	}
}

// lookUpPage reads the page of final records that begins at the first wanted one, and returns how many of
// the wanted records lie within the page.
func (r *finalRecordReader) lookUpPage(ctx context.Context, wanted []ids.Job, now time.Time) (covered int, ok bool) {
	entries, more, _, err := r.store.List(ctx, record.FinalRecordPrefix, record.BeforeFinalRecord(wanted[0]), LookupPageSize, state.Normal)
	if err != nil {
		return 0, false
	}
	byKey := make(map[string]state.Entry, len(entries))
	for _, entry := range entries {
		byKey[entry.Key] = entry
	}
	for _, id := range wanted {
		key := record.FinalRecordKey(id)
		if more && (len(entries) == 0 || key > entries[len(entries)-1].Key) {
			break
		}
		entry, found := byKey[key]
		r.applyLookup(ctx, id, entry, found, now)
		covered++
	}
	return covered, true
}

// applyLookup records the result of looking up an ended job.
func (r *finalRecordReader) applyLookup(ctx context.Context, id ids.Job, entry state.Entry, found bool, now time.Time) {
	if !found {
		if r.cluster.LookupNotFound(id, now) {
			r.findLive(ctx, id, now)
		}
		return
	}
	status, err := decodeFinalStatus(entry.Value)
	if err != nil {
		slog.Error("final record of a job is unreadable or its status is not final, retrying later", "key", entry.Key, "err", err)
		r.cluster.RetryLookup(id, now)
		return
	}
	r.cluster.LookupFound(id, status)
}

// decodeFinalStatus returns the status in a final record, or an error if the record is unreadable or its
// status is not final.
func decodeFinalStatus(value json.RawMessage) (record.Status, error) {
	stored, err := record.Decode(value)
	if err != nil {
		return "", err
	}
	if !stored.Status.IsTerminal() {
		return "", fmt.Errorf("%w: %q", errNotFinal, stored.Status)
	}
	return stored.Status, nil
}

// findLive looks for a live record that this leader wrote but does not know of.
func (r *finalRecordReader) findLive(ctx context.Context, id ids.Job, now time.Time) {
	entry, found, err := r.store.Get(ctx, record.JobKey(id), state.Normal)
	if err != nil || !found {
		return
	}
	if stored, err := record.Decode(entry.Value); err == nil {
		r.cluster.LiveRecordFound(stored, entry.Revision, now)
	}
}
