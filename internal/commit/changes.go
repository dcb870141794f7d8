package commit

import (
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Change contains the operations of one job in a transaction. Either Job or Waiting is set.
type Change struct {
	// Job is the job whose record changed; nil if the change takes a job out of the waiting state.
	Job *workload.Job
	// Version is the version of Job's record that is stored.
	Version uint64
	// Waiting is a job that waited for other jobs and leaves the waiting state; nil if the change stores a
	// changed record.
	Waiting *workload.WaitingJob
	// MovedRecord is the record of Waiting after it has left the waiting state.
	MovedRecord *record.Record
	// Terminal is true if the change writes the job's final record.
	Terminal bool

	Ops        []state.Op
	Conditions []state.Condition
	// Size is the size of the operations in bytes.
	Size int
}

// Limits are the limits on one group of changes.
type Limits struct {
	// Ops is the maximum number of operations in a group.
	Ops int
	// BudgetNearlyExhausted is true if the store accepts few more changes now. Changes that can wait are then
	// left out.
	BudgetNearlyExhausted bool
}

// NewLimits returns the limits that follow from the remaining budget for the store.
func NewLimits(budget *state.Budget) Limits {
	return Limits{Ops: max(2, budget.WriteBurst()), BudgetNearlyExhausted: budget.NearlyExhausted()}
}
