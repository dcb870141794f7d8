// Package commit writes a leader's changes to the store in groups, each conditional on the generation and
// on every job's own revision, so that a superseded leader can change nothing. Where a condition fails it
// reads back what happened. It holds no lock while it calls the store: what changed, and what became of
// it, the cluster state tells and learns under its own.
package commit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/wait"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// GenerationRecord is the value at the generation's key. It persists, so that the number never falls.
type GenerationRecord struct {
	Generation ids.Generation `json:"generation"`
	Node       ids.Node       `json:"node"`
	Writer     string         `json:"writer"`
}

// Change is what a transaction stores of one job.
type Change struct {
	// Job is the job whose record changed, up to Version; nil of a move.
	Job     *workload.Job
	Version uint64
	// Waiting is a job that waited for others and moves on, and Becomes its record after that; nil of a
	// changed record.
	Waiting *workload.WaitingJob
	Becomes *record.Record
	// Terminal tells that the final record is written.
	Terminal bool

	Ops        []state.Op
	Conditions []state.Condition
	Size       int // of the operations, in bytes
}

// Limits bound one group of changes.
type Limits struct {
	Ops int
	// Scarce tells that the store takes few more changes now: what can wait is left out.
	Scarce bool
}

// LimitsOf are the limits that follow from what is left of a budget for the store.
func LimitsOf(budget *state.Budget) Limits {
	return Limits{Ops: max(2, budget.WriteBurst()), Scarce: budget.NearlyExhausted()}
}

// Cluster is the cluster state, which locks itself.
type Cluster interface {
	// Writer names this leader in what it writes.
	Writer() string
	// Generation is this leader's present one.
	Generation() ids.Generation
	// CommitWanted is ready to be read once a change has to be stored at once.
	CommitWanted() <-chan struct{}
	// CollectChanges picks the changes to store now, most urgent first; raise tells that the generation
	// is to be raised before.
	CollectChanges(limits Limits) (changes []Change, raise bool)
	// ChangesStored takes in that changes are in the store. Starts of their jobs wait for a read of the
	// records begun after a time, if there is one.
	ChangesStored(changes []Change, revision ids.Revision, readAfter time.Time)
	// GenerationRaised takes in this leader's new generation.
	GenerationRaised(generation ids.Generation)
	// ValueLimit is how many bytes a value may take.
	ValueLimit() int

	Conflicts
	Lookups
}

// Conflicts is what the cluster state learns where conditions failed.
type Conflicts interface {
	// CancellationFound takes in that a job's cancellation is stored apart from its record, or with a
	// revision of 0 that none is.
	CancellationFound(id ids.Job, revision ids.Revision)
	// RecordFound takes in a job's live record: this leader's own, whose answer was lost, or a user's.
	RecordFound(job *workload.Job, stored *record.Record, revision ids.Revision)
	// RecordEnded takes in that a job's final record is stored.
	RecordEnded(job *workload.Job)
	// MoveFound takes in that a waiting job's move was stored, MoveNotFound that the job is gone.
	MoveFound(waiting *workload.WaitingJob, stored *record.Record, revision ids.Revision)
	MoveNotFound(waiting *workload.WaitingJob)
}

// Committer writes the changes of one term.
type Committer struct {
	cluster Cluster
	store   *state.Client
	node    ids.Node
	keys    record.ShardKeys
	// superseded is called once another leader is known to have taken over, and stored after each
	// stored group: starts may go out.
	superseded func(why string)
	stored     func()

	// writeSlot lets one write of the leader go out at a time: each is conditional on the generation's
	// revision, and raising it changes that. It guards generationRevision.
	writeSlot          chan struct{}
	generationRevision ids.Revision
}

// Events are called by a committer; each may be nil.
type Events struct {
	// Superseded is called once another leader is known to have taken over.
	Superseded func(why string)
	// Stored is called after each stored group: starts may go out.
	Stored func()
}

// New makes the committer of a term that began with a revision of the generation.
func New(cluster Cluster, store *state.Client, node ids.Node, keys record.ShardKeys, revision ids.Revision, events Events) *Committer {
	c := &Committer{cluster: cluster, store: store, node: node, keys: keys, generationRevision: revision, writeSlot: make(chan struct{}, 1),
		superseded: events.Superseded, stored: events.Stored}
	if c.superseded == nil {
		c.superseded = func(string) {}
	}
	if c.stored == nil {
		c.stored = func() {}
	}
	return c
}

const (
	// commitInterval is how often changes are looked for when none is urgent.
	commitInterval = 250 * time.Millisecond
	// retryDelay is the wait after a commit whose outcome is not known, or that was refused.
	retryDelay = 100 * time.Millisecond
	// slowCommit is the time of a commit after which its answer alone does not let starts go out: it
	// tells of when the commit was carried out, and users may have cancelled the job through another
	// controller since. The next read of the records tells.
	slowCommit = 150 * time.Millisecond
)

// Run commits until the context ends.
func (c *Committer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.cluster.CommitWanted():
		case <-time.After(commitInterval):
		}
		for more := true; more && ctx.Err() == nil; {
			more = c.CommitGroup(ctx)
		}
	}
}

// lock takes the right to write; it gives the function that returns it.
func (c *Committer) lock() (unlock func()) {
	c.writeSlot <- struct{}{}
	return func() { <-c.writeSlot }
}

// generationCondition is what every write of this leader is conditional on.
func (c *Committer) generationCondition() state.Condition {
	return state.Condition{Key: c.keys.Generation(), Revision: c.generationRevision}
}

// CommitGroup writes one group; more tells that there may be another.
func (c *Committer) CommitGroup(ctx context.Context) (more bool) {
	defer c.lock()()
	changes, raise := c.cluster.CollectChanges(LimitsOf(c.store.Budget()))
	if raise {
		c.raiseGeneration(ctx)
		return true
	}
	if len(changes) == 0 {
		return false
	}
	txn := state.Txn{Conditions: []state.Condition{c.generationCondition()}}
	for _, change := range changes {
		txn.Conditions = append(txn.Conditions, change.Conditions...)
		txn.Ops = append(txn.Ops, change.Ops...)
	}
	began := time.Now()
	revision, err := c.store.Commit(ctx, txn, state.Urgent)
	measure.Process.Took("commit", began)
	measure.Process.Count("changes committed", len(txn.Ops))
	c.takeIn(ctx, changes, ids.Revision(revision), began, err)
	return true
}

// takeIn deals with the outcome of a group's commit.
func (c *Committer) takeIn(ctx context.Context, changes []Change, revision ids.Revision, began time.Time, err error) {
	var conflict *state.ConflictError
	switch {
	case err == nil:
		var readAfter time.Time
		if answered := time.Now(); answered.Sub(began) > slowCommit {
			readAfter = answered
		}
		c.cluster.ChangesStored(changes, revision, readAfter)
		c.stored()
		return
	case errors.As(err, &conflict):
		c.resolveConflict(ctx, conflict, changes)
		return
	case errors.Is(err, state.ErrMalformed):
		slog.Error("commit malformed", "err", err, "changes", len(changes))
	default:
		slog.Debug("commit not confirmed", "err", err)
	}
	// Refused or unknown: the same revisions are demanded again, so a late copy of this transaction and
	// the next one exclude each other.
	wait.For(ctx, retryDelay)
}

// raiseGeneration raises the generation while this leader goes on, so that workers turn away whatever
// direct start is still under way.
func (c *Committer) raiseGeneration(ctx context.Context) {
	next := c.cluster.Generation() + 1
	value, err := json.Marshal(GenerationRecord{next, c.node, c.cluster.Writer()})
	if err != nil {
		slog.Error("generation not encoded", "err", err)
		wait.For(ctx, retryDelay)
		return
	}
	revision, err := c.store.Commit(ctx, state.Txn{
		Conditions: []state.Condition{c.generationCondition()},
		Ops:        []state.Op{{Put: c.keys.Generation(), Value: value}},
	}, state.Urgent)
	var conflict *state.ConflictError
	switch {
	case err == nil:
		c.generationRaised(next, ids.Revision(revision))
	case errors.As(err, &conflict):
		c.resolveConflict(ctx, conflict, nil)
	default:
		wait.For(ctx, retryDelay)
	}
}

// generationRaised takes in that the generation was raised.
func (c *Committer) generationRaised(generation ids.Generation, revision ids.Revision) {
	c.cluster.GenerationRaised(generation)
	c.generationRevision = revision
	slog.Info("generation raised to turn late starts away", "generation", generation)
}

// LastGenerationRevision is the revision of the generation that this leader's writes are conditional on.
func (c *Committer) LastGenerationRevision() ids.Revision {
	defer c.lock()()
	return c.generationRevision
}

// Apply writes other keys of the leader's, such as provisioning requests, under the same condition as
// every write of a leader: that the generation still stands. It returns what Commit of the store does,
// and state.ErrMalformed for a value that is too large.
func (c *Committer) Apply(ctx context.Context, ops []state.Op) error {
	return c.ApplyIf(ctx, nil, ops)
}

// ApplyIf is Apply under further conditions.
func (c *Committer) ApplyIf(ctx context.Context, conditions []state.Condition, ops []state.Op) error {
	defer c.lock()()
	limit := c.cluster.ValueLimit()
	for _, op := range ops {
		if len(op.Value) > limit {
			return fmt.Errorf("%w: %d bytes at %s, of at most %d", state.ErrMalformed, len(op.Value), op.Put, limit)
		}
	}
	conditions = append([]state.Condition{c.generationCondition()}, conditions...)
	_, err := c.store.Commit(ctx, state.Txn{Conditions: conditions, Ops: ops}, state.Normal)
	return err
}
