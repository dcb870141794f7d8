package workload

import (
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// WaitingJob is a job that waits for others that it depends on: its stored record, and the revision of
// that.
type WaitingJob struct {
	Record   *record.Record
	Revision ids.Revision
}

// ID is the job's name.
func (w *WaitingJob) ID() ids.Job { return w.Record.Spec.ID }
