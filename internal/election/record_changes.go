package election

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// handleJobChange takes in news of a job's records.
func (e *Elector) handleJobChange(change state.Change) {
	id, kind := record.ParseKey(change.Key())
	switch {
	case kind == record.WaitingRecord:
		e.handleWaitingChange(id, change)
		return
	case ids.ShardOf(id, e.Settings.ShardCount()) != e.shard:
		e.handleOtherShardChange(id)
		return
	case kind == record.StoredCancellation:
		if cluster := e.Cluster(); cluster != nil {
			cluster.HandleCancellation(id, change.Revision, change.Put == "")
		}
		return
	}
	if change.Put == "" {
		e.HandleRecord(id, change.Revision, nil)
		return
	}
	cluster := e.Cluster()
	if cluster == nil || cluster.IsOwnWrite(change.Value) {
		return
	}
	if rec, err := record.Decode(change.Value); err == nil {
		e.HandleRecord(id, change.Revision, rec)
	}
}

// handleWaitingChange passes on news of a job that awaits others, if this node owns the pool.
func (e *Elector) handleWaitingChange(id ids.Job, change state.Change) {
	cluster := e.Cluster()
	if cluster == nil {
		return
	}
	if change.Put == "" {
		cluster.HandleWaitingJob(id, change.Revision, nil, time.Now())
	} else if rec, err := record.DecodeWaiting(change.Value); err == nil {
		cluster.HandleWaitingJob(id, change.Revision, rec, time.Now())
	}
}

// HandleRecord passes on what another controller wrote, if this node owns the pool.
func (e *Elector) HandleRecord(id ids.Job, revision ids.Revision, rec *record.Record) {
	if cluster := e.Cluster(); cluster != nil {
		cluster.HandleRecord(id, revision, rec, time.Now())
	}
}

// handleOtherShardChange takes in news of a live job of another shard.
func (e *Elector) handleOtherShardChange(id ids.Job) {
	if cluster := e.Cluster(); cluster != nil {
		cluster.HandleOtherShardChange(id, time.Now())
	}
}

// statusInOtherShard reads from this node's copy how a live job stands.
func (e *Elector) statusInOtherShard(id ids.Job) (how record.Status, live bool) {
	if ids.ShardOf(id, e.Settings.ShardCount()) == e.shard {
		return "", false
	}
	entries, ready := e.jobMirror.GetMany(record.JobKey(id), record.CancelKey(id), record.WaitKey(id))
	stored, cancellation, waits := entries[0], entries[1], entries[2]
	switch {
	case !ready || stored.Key == "":
		return record.Queued, waits.Key != ""
	case cancellation.Key != "":
		return record.Cancelling, true
	}
	rec, err := record.Decode(stored.Value)
	if err != nil {
		return record.Queued, true
	}
	return rec.Status, true
}
