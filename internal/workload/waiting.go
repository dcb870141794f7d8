package workload

import (
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// WaitingJob is the stored record of a job that waits for the jobs it depends on, with the record's revision.
type WaitingJob struct {
	Record   *record.Record
	Revision ids.Revision
	// Oversize is set once the record was found too large to be moved to the schedulable jobs.
	Oversize bool
}

// ID returns the job's ID.
func (w *WaitingJob) ID() ids.Job { return w.Record.Spec.ID }
