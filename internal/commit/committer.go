// Package commit writes a leader's changes to the store in groups. Each write is conditional on the
// generation and on the revision of every job in the group, so that a superseded leader can change nothing.
// If a condition fails, the package reads back what is stored.
//
// Committer is the entry point. conflictResolver reads back the jobs whose conditions failed, and
// finalRecordReader looks up the final status of jobs that other jobs depend on.
//
// The lock of the cluster state is not held during calls to the store: the methods of Cluster lock that
// state themselves. The write slot of a Committer limits the leader to one write in flight.
package commit

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// Cluster provides the operations on the cluster state that a Committer needs. Its methods lock that state.
type Cluster interface {
	// Writer returns the name under which this leader writes records.
	Writer() string
	// Generation returns this leader's current generation.
	Generation() ids.Generation
	// CommitRequested returns a channel that becomes readable when a change has to be stored at once.
	CommitRequested() <-chan struct{}
	// CollectChanges returns the changes to store now, most urgent first. raise reports whether the
	// generation has to be raised first.
	CollectChanges(limits Limits) (changes []Change, raise bool)
	// ChangesStored records that changes are stored. Unless readAfter is zero, starts of their jobs wait
	// for a read of the records that began after readAfter.
	ChangesStored(changes []Change, revision ids.Revision, readAfter time.Time)
	// GenerationRaised records this leader's new generation.
	GenerationRaised(generation ids.Generation)
	// ValueLimit returns the maximum size of a value in bytes.
	ValueLimit() int

	Conflicts
	Lookups
}

// Committer writes the changes of a leader in one term. It is safe for concurrent use.
type Committer struct {
	cluster Cluster
	store   *state.Client
	node    ids.Node
	keys    record.ShardKeys
	// superseded is called once another leader is known to have taken over.
	superseded func(why string)
	// stored is called after each stored group, because starts may be sent then.
	stored func()

	conflicts    *conflictResolver
	finalRecords *finalRecordReader

	// writeSlot limits the leader to one write in flight: each write is conditional on the generation's
	// revision, and raising the generation changes that revision. It guards generationRevision. It is held
	// during calls to the store and the cluster state, so it must not be acquired with the cluster state's
	// lock held.
	writeSlot          chan struct{}
	generationRevision ids.Revision
}

// Events contains the callbacks of a Committer. Each may be nil.
type Events struct {
	// Superseded is called once another leader is known to have taken over.
	Superseded func(why string)
	// Stored is called after each stored group, because starts may be sent then.
	Stored func()
}

// New returns the Committer of a term. revision is the revision of the generation at the beginning of the
// term.
func New(cluster Cluster, store *state.Client, node ids.Node, keys record.ShardKeys, revision ids.Revision, events Events) *Committer {
	if events.Superseded == nil {
		events.Superseded = func(string) {}
	}
	if events.Stored == nil {
		events.Stored = func() {}
	}
	return &Committer{
		cluster:            cluster,
		store:              store,
		node:               node,
		keys:               keys,
		superseded:         events.Superseded,
		stored:             events.Stored,
		conflicts:          &conflictResolver{cluster: cluster, store: store, stored: events.Stored},
		finalRecords:       &finalRecordReader{cluster: cluster, store: store},
		writeSlot:          make(chan struct{}, 1),
		generationRevision: revision,
	}
}

const (
	// commitInterval is the interval at which changes are collected when none is urgent.
	commitInterval = 250 * time.Millisecond
	// retryDelay is the delay after a commit that was refused or whose outcome is unknown.
	retryDelay = 100 * time.Millisecond
	// slowCommit is the duration of a commit above which its response alone does not permit starts. The
	// response shows the state at the time of the commit, and users may have cancelled the job through
	// another controller since then. The next read of the records shows such a cancellation.
	slowCommit = 150 * time.Millisecond
)

// Run commits changes until the context ends.
func (c *Committer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.cluster.CommitRequested():
		case <-time.After(commitInterval):
		}
		for more := true; more && ctx.Err() == nil; {
			more = c.CommitGroup(ctx)
		}
	}
}

// lock acquires the write slot and returns the function that releases it.
func (c *Committer) lock() (unlock func()) {
	c.writeSlot <- struct{}{}
	return func() { <-c.writeSlot }
}

// CommitGroup writes one group of changes and reports whether there may be another group.
func (c *Committer) CommitGroup(ctx context.Context) (more bool) {
	defer c.lock()()
	changes, raise := c.cluster.CollectChanges(NewLimits(c.store.Budget()))
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
	measure.Default.Took("commit", began)
	measure.Default.Count("changes committed", len(txn.Ops))
	c.recordCommit(ctx, changes, ids.Revision(revision), began, err)
	return true
}

// recordCommit records the outcome of a group's commit. The caller holds the write slot.
func (c *Committer) recordCommit(ctx context.Context, changes []Change, revision ids.Revision, began time.Time, err error) {
	var conflict *state.ConflictError
	switch {
	case err == nil:
		var readAfter time.Time
		if answeredAt := time.Now(); answeredAt.Sub(began) > slowCommit {
			readAfter = answeredAt
		}
		c.cluster.ChangesStored(changes, revision, readAfter)
		c.stored()
		return
	case errors.As(err, &conflict):
		c.resolveConflict(ctx, conflict, changes)
		return
	case errors.Is(err, state.ErrMalformed):
		slog.Error("commit refused as malformed, retrying", "err", err, "changes", len(changes))
	default:
		slog.Debug("commit failed or its outcome is unknown, retrying", "err", err)
	}
	// The commit was refused or its outcome is unknown. The next transaction requires the same revisions,
	// so that it and a late copy of this one exclude each other.
	wait.For(ctx, retryDelay)
}

// resolveConflict reads back the keys whose conditions failed. Either a response was lost and the change is
// this leader's own, or another controller wrote the key. The caller holds the write slot.
func (c *Committer) resolveConflict(ctx context.Context, conflict *state.ConflictError, changes []Change) {
	if conflict.Has(c.keys.Generation()) {
		c.readGeneration(ctx)
		return
	}
	c.conflicts.resolve(ctx, conflict, changes)
}

// Apply writes other keys of the leader, such as provisioning requests, under the condition of every write
// of a leader: that the generation has not changed. It returns the error of the store's Commit, or
// state.ErrMalformed for a value that is too large.
func (c *Committer) Apply(ctx context.Context, ops []state.Op) error {
	return c.ApplyIf(ctx, nil, ops)
}

// ApplyIf is like Apply, with additional conditions.
func (c *Committer) ApplyIf(ctx context.Context, conditions []state.Condition, ops []state.Op) error {
	defer c.lock()()
	limit := c.cluster.ValueLimit()
	for _, op := range ops {
		if len(op.Value) > limit {
			return fmt.Errorf("%w: value of %d bytes at key %s exceeds the limit of %d bytes", state.ErrMalformed, len(op.Value), op.Put, limit)
		}
	}
	conditions = append([]state.Condition{c.generationCondition()}, conditions...)
	_, err := c.store.Commit(ctx, state.Txn{Conditions: conditions, Ops: ops}, state.Normal)
	return err
}

// RunLookups looks up the final status of jobs that other jobs depend on, until the context ends.
func (c *Committer) RunLookups(ctx context.Context) { c.finalRecords.run(ctx) }

// LookUpOnce runs one pass of RunLookups.
func (c *Committer) LookUpOnce(ctx context.Context) { c.finalRecords.lookUp(ctx) }
