package election

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// changeFeed forwards changes of stored records to the cluster state while this node leads the shard. It
// is stateless and needs no lock.
type changeFeed struct {
	settings *config.Settings
	shard    ids.Shard
	jobs     *state.WatchCache
	cluster  func() *clusterstate.State // returns the cluster state of the current term, nil if there is none
}

// handleJobChange handles a change of a key with the prefix of jobs.
func (f *changeFeed) handleJobChange(change state.Change) {
	id, kind := record.ParseKey(change.Key())
	switch {
	case kind == record.WaitingRecord:
		f.handleWaitingChange(id, change)
	case !f.inShard(id):
		f.handleOtherShardChange(id)
	case kind == record.StoredCancellation:
		f.handleCancellationChange(id, change)
	default:
		f.handleRecordChange(id, change)
	}
}

func (f *changeFeed) inShard(id ids.Job) bool {
	return ids.ShardOf(id, f.settings.ShardCount()) == f.shard
}

// handleWaitingChange forwards a change of a job that waits for the jobs that it depends on.
func (f *changeFeed) handleWaitingChange(id ids.Job, change state.Change) {
	cluster := f.cluster()
	if cluster == nil {
		return
	}
	if change.Put == "" {
		cluster.HandleWaitingJob(id, change.Revision, nil, time.Now())
	} else if rec, err := record.DecodeWaiting(change.Value); err == nil {
		cluster.HandleWaitingJob(id, change.Revision, rec, time.Now())
	}
}

// handleOtherShardChange forwards the information that a job of another shard has changed.
func (f *changeFeed) handleOtherShardChange(id ids.Job) {
	if cluster := f.cluster(); cluster != nil {
		cluster.HandleOtherShardChange(id, time.Now())
	}
}

// handleCancellationChange forwards a change of a cancellation that is stored under a key of its own, apart
// from its job's record.
func (f *changeFeed) handleCancellationChange(id ids.Job, change state.Change) {
	if cluster := f.cluster(); cluster != nil {
		cluster.HandleCancellation(id, change.Revision, change.Put == "")
	}
}

// handleRecordChange forwards a change of a job's record, unless this leader made the change.
func (f *changeFeed) handleRecordChange(id ids.Job, change state.Change) {
	if change.Put == "" {
		f.handleRecord(id, change.Revision, nil)
		return
	}
	cluster := f.cluster()
	if cluster == nil || cluster.IsOwnWrite(change.Value) {
		return
	}
	if rec, err := record.Decode(change.Value); err == nil {
		f.handleRecord(id, change.Revision, rec)
	}
}

// handleRecord forwards a stored record; rec is nil if the record was deleted.
func (f *changeFeed) handleRecord(id ids.Job, revision ids.Revision, rec *record.Record) {
	if cluster := f.cluster(); cluster != nil {
		cluster.HandleRecord(id, revision, rec, time.Now())
	}
}

// handleAllowanceChange forwards a change of an allowance ledger.
func (f *changeFeed) handleAllowanceChange(change state.Change) {
	if cluster := f.cluster(); cluster != nil {
		cluster.HandleAllowanceChange(change)
	}
}

// statusInOtherShard returns the status of a job of another shard from this node's cache; live is false if
// the cache has no such job. The cluster state calls it while holding its lock.
func (f *changeFeed) statusInOtherShard(id ids.Job) (status record.Status, live bool) {
	if f.inShard(id) {
		return "", false
	}
	entries, ready := f.jobs.GetMany(record.JobKey(id), record.CancelKey(id), record.WaitKey(id))
	stored, cancellation, waiting := entries[0], entries[1], entries[2]
	switch {
	case !ready || stored.Key == "":
		return record.Queued, waiting.Key != ""
	case cancellation.Key != "":
		return record.Cancelling, true
	}
	rec, err := record.Decode(stored.Value)
	if err != nil {
		return record.Queued, true
	}
	return rec.Status, true
}
