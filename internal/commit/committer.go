// Package commit writes a leader's changes to the store in groups, each conditional on the generation and
// on every job's own revision, so that a superseded leader can change nothing. Where a condition fails it
// reads back what happened.
//
// Committer is the entry point. conflictResolver reads back what became of jobs whose conditions failed, and
// finalRecordReader looks up how jobs ended that others depend on.
//
// No lock of the cluster state is held while the store is called: the methods of Cluster lock that state
// themselves. Committer's own write slot lets one write of the leader be in flight at a time.
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

// Cluster is the cluster state, which locks itself.
type Cluster interface {
	// Writer returns the name of this leader in what it writes.
	Writer() string
	// Generation returns this leader's present generation.
	Generation() ids.Generation
	// CommitWanted is ready to be read once a change has to be stored at once.
	CommitWanted() <-chan struct{}
	// CollectChanges picks the changes to store now, most urgent first; raise reports that the generation
	// is to be raised before.
	CollectChanges(limits Limits) (changes []Change, raise bool)
	// ChangesStored records that changes are stored. Starts of their jobs wait for a read of the records
	// begun after readAfter, unless it is zero.
	ChangesStored(changes []Change, revision ids.Revision, readAfter time.Time)
	// GenerationRaised records this leader's new generation.
	GenerationRaised(generation ids.Generation)
	// ValueLimit returns how many bytes a value may take.
	ValueLimit() int

	Conflicts
	Lookups
}

// Committer writes the changes of one term. It is safe for concurrent use.
type Committer struct {
	cluster Cluster
	store   *state.Client
	node    ids.Node
	keys    record.ShardKeys
	// superseded is called once another leader is known to have taken over.
	superseded func(why string)
	// stored is called after each stored group: starts may be sent.
	stored func()

	conflicts    *conflictResolver
	finalRecords *finalRecordReader

	// writeSlot lets one write of the leader be in flight at a time: each is conditional on the generation's
	// revision, and raising it changes that. It guards generationRevision. It is held while the store and
	// the cluster state are called, so nothing that holds the cluster state's lock may take it.
	writeSlot          chan struct{}
	generationRevision ids.Revision
}

// Events are called by a committer; each may be nil.
type Events struct {
	// Superseded is called once another leader is known to have taken over.
	Superseded func(why string)
	// Stored is called after each stored group: starts may be sent.
	Stored func()
}

// New returns the committer of a term that began with a revision of the generation.
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
	// commitInterval is how often changes are looked for when none is urgent.
	commitInterval = 250 * time.Millisecond
	// retryDelay is the wait after a commit whose outcome is not known, or that was refused.
	retryDelay = 100 * time.Millisecond
	// slowCommit is the time of a commit after which its answer alone does not let starts be sent: it
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

// lock takes the write slot and returns the function that releases it.
func (c *Committer) lock() (unlock func()) {
	c.writeSlot <- struct{}{}
	return func() { <-c.writeSlot }
}

// CommitGroup writes one group; it reports whether there may be another.
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
	c.recordCommit(ctx, changes, ids.Revision(revision), began, err)
	return true
}

// recordCommit records the outcome of a group's commit. The caller holds the write slot.
func (c *Committer) recordCommit(ctx context.Context, changes []Change, revision ids.Revision, began time.Time, err error) {
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

// resolveConflict reads back the keys whose conditions failed: either an answer was lost and the change
// is this leader's own, or another controller wrote. The caller holds the write slot.
func (c *Committer) resolveConflict(ctx context.Context, conflict *state.ConflictError, changes []Change) {
	if conflict.Has(c.keys.Generation()) {
		c.readGeneration(ctx)
		return
	}
	c.conflicts.resolve(ctx, conflict, changes)
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

// RunLookups looks up how jobs ended that others depend on, until the context ends.
func (c *Committer) RunLookups(ctx context.Context) { c.finalRecords.run(ctx) }

// LookUpOnce is one pass of RunLookups.
func (c *Committer) LookUpOnce(ctx context.Context) { c.finalRecords.lookUp(ctx) }
