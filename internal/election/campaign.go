package election

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// cacheCatchUpDelay is the time allowed for the cache of the pool's keys to receive a leader key that is
// already in the store.
const cacheCatchUpDelay = 100 * time.Millisecond

// errOtherLeader is returned if another controller leads the shard.
var errOtherLeader = errors.New("another controller leads the shard")

// acquiredLeadership is the result of a successful campaign.
type acquiredLeadership struct {
	previous  commit.GenerationRecord // zero if the shard had no leader before
	tokens    ids.TokenRange
	writer    string // identifies the writes of this term
	lease     ids.Lease
	grantedAt time.Time    // when the grant of the lease was requested
	revision  ids.Revision // of the stored generation
}

// generation returns the generation of the new term: the last of its tokens.
func (a *acquiredLeadership) generation() ids.Generation { return a.tokens.Last }

// campaign tries to become the shard's leader: one transaction writes the leader key, attached to a new
// lease, and increments the generation. If the transaction fails, the lease is left to expire.
func (c *candidate) campaign(ctx context.Context) (*acquiredLeadership, error) {
	if err := c.ensureVacancy(ctx); err != nil {
		return nil, err
	}
	previous, previousRevision, err := c.readGeneration(ctx)
	if err != nil {
		return nil, err
	}
	grantedAt := time.Now()
	lease, err := c.store.GrantLease(ctx, leaseDuration(c.settings))
	if err != nil {
		return nil, fmt.Errorf("grant leader lease: %w", err)
	}
	tokens := ids.ReserveTokens(previous.Generation)
	acquired := &acquiredLeadership{
		previous:  previous,
		tokens:    tokens,
		writer:    fmt.Sprintf("%s/%d", c.incarnation, tokens.Last),
		lease:     lease,
		grantedAt: grantedAt,
	}
	if acquired.revision, err = c.commit(ctx, acquired, previousRevision); err != nil {
		return nil, err
	}
	return acquired, nil
}

// ensureVacancy reads the leader key from the store and returns an error if another controller leads the
// shard. If the leader is an earlier process or term of this node, its lease is revoked.
func (c *candidate) ensureVacancy(ctx context.Context) error {
	entry, found, err := c.store.Get(ctx, c.keys.Leader(), state.Urgent)
	if err != nil {
		return fmt.Errorf("read leader key: %w", err)
	}
	if !found {
		return nil
	}
	leader, err := decodeLeader(entry.Value)
	if err != nil {
		return err
	}
	if leader.Node != c.settings.HostName {
		wait.For(ctx, cacheCatchUpDelay)
		return fmt.Errorf("%w: %s", errOtherLeader, leader.Node)
	}
	// Only one process runs on a node: the lease belongs to a process that has exited, or to an earlier
	// term of this process whose commit response was lost.
	slog.Info("revoking leader lease of an earlier process of this node", "shard", c.shard, "term", leader.Generation, "writer", leader.Writer)
	if err := c.store.RevokeLease(ctx, leader.Lease); err != nil && !errors.Is(err, state.ErrNoLease) {
		return fmt.Errorf("revoke leader lease %d: %w", leader.Lease, err)
	}
	return nil
}

// readGeneration returns the stored generation and its revision. Both are zero if no generation is stored.
func (c *candidate) readGeneration(ctx context.Context) (commit.GenerationRecord, ids.Revision, error) {
	entry, found, err := c.store.Get(ctx, c.keys.Generation(), state.Urgent)
	if err != nil {
		return commit.GenerationRecord{}, 0, fmt.Errorf("read generation key: %w", err)
	}
	if !found {
		return commit.GenerationRecord{}, entry.Revision, nil
	}
	generation, err := decodeGeneration(entry.Value)
	return generation, entry.Revision, err
}

// commit stores the new leader and generation and returns the generation's revision. It fails if there is
// a leader or if the generation has changed since it was read with revision previous.
func (c *candidate) commit(ctx context.Context, acquired *acquiredLeadership, previous ids.Revision) (ids.Revision, error) {
	leader, err := json.Marshal(leaderRecord{Node: c.settings.HostName, Writer: acquired.writer, Lease: acquired.lease, Generation: acquired.generation()})
	if err != nil {
		return 0, fmt.Errorf("encode leader record: %w", err)
	}
	generation, err := json.Marshal(commit.GenerationRecord{Generation: acquired.generation(), Node: c.settings.HostName, Writer: acquired.writer})
	if err != nil {
		return 0, fmt.Errorf("encode generation record: %w", err)
	}
	storeRevision, err := c.store.Commit(ctx, state.Txn{
		Conditions: []state.Condition{{Key: c.keys.Leader()}, {Key: c.keys.Generation(), Revision: previous}},
		Ops: []state.Op{
			{Put: c.keys.Leader(), Value: leader, Lease: acquired.lease},
			{Put: c.keys.Generation(), Value: generation},
		},
	}, state.Urgent)
	if errors.Is(err, state.ErrOutcomeUnknown) {
		if revision, committed := c.committedRevision(ctx, acquired.writer); committed {
			return revision, nil
		}
	}
	if err != nil {
		return 0, fmt.Errorf("commit leader and generation %d: %w", acquired.generation(), err)
	}
	return ids.Revision(storeRevision), nil
}

// committedRevision reads back the outcome of a commit whose response was lost. If writer wrote the stored
// generation, the commit succeeded and the generation's revision is returned.
func (c *candidate) committedRevision(ctx context.Context, writer string) (revision ids.Revision, committed bool) {
	entry, found, err := c.store.Get(ctx, c.keys.Generation(), state.Urgent)
	if err != nil || !found {
		return 0, false
	}
	stored, err := decodeGeneration(entry.Value)
	if err != nil || stored.Writer != writer {
		return 0, false
	}
	return entry.Revision, true
}
