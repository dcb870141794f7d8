package intake

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// LeaderNotifier notifies the leader of writes to job records.
type LeaderNotifier interface {
	// NotifyLeader notifies the leader that a job's record was written at a revision. rec and raw are nil
	// if the job's live record was removed. The returned channel is closed once the leader has been
	// notified or the notification has failed.
	NotifyLeader(id ids.Job, revision ids.Revision, rec *record.Record, raw json.RawMessage) <-chan struct{}
}

// JobService executes the users' requests for jobs. It reads and writes job records in the store directly,
// whether or not this controller is the leader. Its methods are safe for concurrent use.
type JobService struct {
	Settings *config.Settings
	Store    *state.Client
	// RecordCache is the watch cache of the records of unfinished jobs.
	RecordCache    *state.WatchCache
	LeaderNotifier LeaderNotifier
	// Writer is the incarnation of this controller process, stored with each record that it writes.
	Writer string
	// MachineTypes returns the machine types that the cloud offers; empty while they are unknown.
	MachineTypes func() []placement.InstanceType

	// valueLimitLowered is set once the store has refused a value of a size that it accepted before.
	valueLimitLowered atomic.Bool
	endedJobs         summaryCache
}

// records returns a reader of job records for one request.
func (s *JobService) records() *recordReader {
	return &recordReader{store: s.Store, cache: s.RecordCache, endedJobs: &s.endedJobs}
}

// status returns the current summary of a job. found is false for a job that was never accepted.
func (s *JobService) status(ctx context.Context, id ids.Job) (summary jobSummary, found bool, err error) {
	if summary, known := s.endedJobs.get(id); known {
		return summary, true, nil
	}
	stored, err := s.records().currentRecord(ctx, id, state.Sheddable)
	if err != nil || !stored.exists() {
		return jobSummary{}, false, err
	}
	return summarize(stored.record), true, nil
}

// valueLimit returns the maximum size of a value in the store, in bytes.
func (s *JobService) valueLimit() int { return int(s.Settings.Params.State.ValueBytes()) }
