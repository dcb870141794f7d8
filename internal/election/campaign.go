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

// cacheCatchUpDelay gives the copy of the pool's keys time to show a leader that the store has.
const cacheCatchUpDelay = 100 * time.Millisecond

// errOtherLeader tells that another controller leads the shard.
var errOtherLeader = errors.New("another controller leads the shard")

// acquiredLeadership is what a campaign that succeeded came to.
type acquiredLeadership struct {
	previous   commit.GenerationRecord // zero if nobody led the shard before
	generation ids.Generation
	writer     string // tells this term's writes from all others
	lease      ids.Lease
	grantedAt  time.Time    // when the grant of the lease was asked for
	revision   ids.Revision // of the generation in the store
}

// campaign tries to become the shard's leader: one transaction binds the leader key to a new lease
// and raises the generation. Unless it succeeds, the lease expires by itself.
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
	generation := previous.Generation + 1
	won := &acquiredLeadership{
		previous:   previous,
		generation: generation,
		writer:     fmt.Sprintf("%s/%d", c.incarnation, generation),
		lease:      lease,
		grantedAt:  grantedAt,
	}
	if won.revision, err = c.commit(ctx, won, previousRevision); err != nil {
		return nil, err
	}
	return won, nil
}

// ensureVacancy makes sure by the store itself that no other controller leads the shard, and
// revokes the lease of an earlier process of this node.
func (c *candidate) ensureVacancy(ctx context.Context) error {
	entry, found, err := c.store.Get(ctx, c.keys.Leader(), state.Urgent)
	if err != nil {
		return fmt.Errorf("read leader: %w", err)
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
	// Only one process runs on a node: this lease's leader is dead, or an earlier term of ours
	// whose answer got lost.
	slog.Info("revoking lease of an earlier process of this node", "shard", c.shard, "term", leader.Generation, "writer", leader.Writer)
	if err := c.store.RevokeLease(ctx, leader.Lease); err != nil && !errors.Is(err, state.ErrNoLease) {
		return fmt.Errorf("revoke leader lease %d: %w", leader.Lease, err)
	}
	return nil
}

// readGeneration reads the last generation from the store; without one both results are zero.
func (c *candidate) readGeneration(ctx context.Context) (commit.GenerationRecord, ids.Revision, error) {
	entry, found, err := c.store.Get(ctx, c.keys.Generation(), state.Urgent)
	if err != nil {
		return commit.GenerationRecord{}, 0, fmt.Errorf("read generation: %w", err)
	}
	if !found {
		return commit.GenerationRecord{}, entry.Revision, nil
	}
	generation, err := decodeGeneration(entry.Value)
	return generation, entry.Revision, err
}

// commit stores the new leader and generation, unless there is a leader or the generation has
// changed since it was read. It returns the generation's revision.
func (c *candidate) commit(ctx context.Context, won *acquiredLeadership, previous ids.Revision) (ids.Revision, error) {
	leader, err := json.Marshal(leaderRecord{Node: c.settings.HostName, Writer: won.writer, Lease: won.lease, Generation: won.generation})
	if err != nil {
		return 0, fmt.Errorf("encode leader record: %w", err)
	}
	generation, err := json.Marshal(commit.GenerationRecord{Generation: won.generation, Node: c.settings.HostName, Writer: won.writer})
	if err != nil {
		return 0, fmt.Errorf("encode generation record: %w", err)
	}
	epoch, err := c.store.Commit(ctx, state.Txn{
		Conditions: []state.Condition{{Key: c.keys.Leader()}, {Key: c.keys.Generation(), Revision: previous}},
		Ops: []state.Op{
			{Put: c.keys.Leader(), Value: leader, Lease: won.lease},
			{Put: c.keys.Generation(), Value: generation},
		},
	}, state.Urgent)
	if errors.Is(err, state.ErrOutcomeUnknown) {
		if revision, committed := c.committedRevision(ctx, won.writer); committed {
			return revision, nil
		}
	}
	if err != nil {
		return 0, fmt.Errorf("commit leader and generation %d: %w", won.generation, err)
	}
	return ids.Revision(epoch), nil
}

// committedRevision reads back what became of a commit without a known outcome: the revision of the
// generation if this writer wrote it.
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
