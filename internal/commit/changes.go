package commit

import (
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Change is what a transaction stores of one job. Either Job or Waiting is set.
type Change struct {
	// Job is the job whose record changed; nil if the change moves a waiting job.
	Job *workload.Job
	// Version is the version of Job's record that is stored.
	Version uint64
	// Waiting is a job that waited for others and moves on; nil if the change stores a changed record.
	Waiting *workload.WaitingJob
	// Becomes is the record of Waiting after its move.
	Becomes *record.Record
	// Terminal tells that the final record is written.
	Terminal bool

	Ops        []state.Op
	Conditions []state.Condition
	// Size is the size of the operations in bytes.
	Size int
}

// Limits bound one group of changes.
type Limits struct {
	// Ops is how many operations a group may have.
	Ops int
	// Scarce tells that the store takes few more changes now: what can wait is left out.
	Scarce bool
}

// LimitsOf returns the limits that follow from what is left of a budget for the store.
func LimitsOf(budget *state.Budget) Limits {
	return Limits{Ops: max(2, budget.WriteBurst()), Scarce: budget.NearlyExhausted()}
}
