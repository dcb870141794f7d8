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

// LeaderNotifier passes the write of a job's record on to the leader.
type LeaderNotifier interface {
	// NotifyLeader tells the leader that a job's record was written at a revision; rec and raw
	// are nil if the job's live record was removed. The channel closes once the leader knows, or
	// can't be told.
	NotifyLeader(id ids.Job, stamp ids.Revision, rec *record.Record, raw json.RawMessage) <-chan struct{}
}

// JobService carries out the users' requests on jobs. It reads and writes the records itself,
// whichever controller leads. Its methods may be called from any goroutine.
type JobService struct {
	Settings *config.Settings
	Store    *state.Client
	// Records is this controller's copy of the records of unfinished jobs.
	Records        *state.WatchCache
	LeaderNotifier LeaderNotifier
	// Writer is this controller's incarnation, stored with each record that it writes.
	Writer string
	// MachineTypes is the cloud's offer of machine types; empty while it is not known.
	MachineTypes func() []placement.InstanceType

	// valueLimitFell is set once the store has refused a value of a size that it took before.
	valueLimitFell atomic.Bool
	ended          summaryCache
}

// records reads the job records for one request.
func (s *JobService) records() *recordReader {
	return &recordReader{store: s.Store, mirror: s.Records, ended: &s.ended}
}

// status answers a user's poll; found is false for a job that was never accepted.
func (s *JobService) status(ctx context.Context, id ids.Job) (summary jobSummary, found bool, err error) {
	if summary, known := s.ended.get(id); known {
		return summary, true, nil
	}
	stored, err := s.records().current(ctx, id, state.Sheddable)
	if err != nil || !stored.exists() {
		return jobSummary{}, false, err
	}
	return summarize(stored.record), true, nil
}

// valueLimit is how many bytes a value in the store may have.
func (s *JobService) valueLimit() int { return int(s.Settings.Params.State.ValueBytes()) }
