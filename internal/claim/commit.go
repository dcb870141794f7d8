package claim

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// generationRec is the value of pool/generation. It persists, so that the
// number never falls.
type generationRec struct {
	Generation ids.Generation `json:"generation"`
	Node       ids.Node       `json:"node"`
	Writer     string         `json:"writer"`
}

// Committer writes the cluster state's changes in groups, each conditional on the
// generation's stamp and on every job's own, so that a superseded leader can
// change nothing.
type Committer struct {
	Cluster  *ClusterState
	State    *state.Client
	Node     ids.Node
	Keys     record.ShardKeys
	GenStamp ids.Revision
	// OnLost is called once another leader is known to have taken over.
	OnLost func(why string)
	// OnGeneration is called when this leader raised its own generation.
	OnGeneration func(ids.Generation)
	// OnStored is called after each stored group: starts may go out.
	OnStored func()
	// turn lets one leader write go out at a time: each needs the generation's
	// stamp, and raising it changes that.
	turn chan struct{}
	// movesWent tells that the last group moved jobs that waited for others.
	movesWent bool
}

// NewCommitter makes the committer of one term.
func NewCommitter(b *ClusterState, s *state.Client, node ids.Node, stamp ids.Revision) *Committer {
	return &Committer{Cluster: b, State: s, Node: node, Keys: b.keys, GenStamp: stamp, turn: make(chan struct{}, 1),
		OnLost: func(string) {}}
}

type pending struct {
	job     *Job
	wait    *waiting       // instead of a job: one that waits moves on
	moved   *record.Record // what it becomes
	version uint64
	over    bool
	ops     []state.Op
	conds   []state.Condition
	size    int
}

// Run commits until the context ends.
func (c *Committer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Cluster.wakeCommit:
		case <-time.After(250 * time.Millisecond):
		}
		for ctx.Err() == nil && c.Step(ctx) {
		}
	}
}

// Step writes one group; more tells that there may be another.
func (c *Committer) Step(ctx context.Context) (more bool) {
	c.turn <- struct{}{}
	defer func() { <-c.turn }()
	b := c.Cluster
	b.mu.Lock()
	bump := b.bump
	group := c.collect()
	b.mu.Unlock()
	if bump {
		return c.raise(ctx)
	}
	if len(group) == 0 {
		return false
	}
	txn := state.Txn{When: []state.Condition{{Key: c.Keys.Generation(), Revision: c.GenStamp}}}
	for _, p := range group {
		txn.When = append(txn.When, p.conds...)
		txn.Then = append(txn.Then, p.ops...)
	}
	began := time.Now()
	epoch, err := c.State.Commit(ctx, txn, state.Urgent)
	measure.Process.Took("commit", began)
	measure.Process.Count("changes committed", len(txn.Then))
	var conflict *state.Conflict
	switch {
	case err == nil:
		answered := time.Now()
		b.mu.Lock()
		for _, p := range group {
			if answered.Sub(began) > slowAnswer && p.job != nil {
				p.job.reread = answered
			}
			b.stored(p, ids.Revision(epoch))
		}
		b.mu.Unlock()
		if c.OnStored != nil {
			c.OnStored()
		}
		return true
	case errors.As(err, &conflict):
		c.repair(ctx, conflict, group)
		return true
	case errors.Is(err, state.ErrMalformed):
		slog.Error("the state service calls a commit malformed", "err", err, "ops", len(txn.Then))
	default:
		slog.Debug("commit not confirmed", "err", err)
	}
	// Refused or unknown: the same stamps are demanded again, so a late copy
	// of this transaction and the next one exclude each other.
	wait(ctx, 100*time.Millisecond)
	return true
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// slowAnswer is the time of a commit after which its answer alone does not let starts
// go out: it tells of when the commit was carried out, and users may have cancelled
// the job through another node since. The next read of the records tells.
const slowAnswer = 150 * time.Millisecond

// settleEvery is how long outcomes of unfinished jobs may wait for one another
// before they are stored. Nothing is lost by that: until stored they are not
// cleared, so the next leader would learn them from the workers again; and what
// others wait for, markers and ends, is never kept waiting.
const settleEvery = 4 * time.Second

// stored takes in that a version is in the store.
func (b *ClusterState) stored(p pending, stamp ids.Revision) {
	if p.wait != nil {
		b.movedOn(p, stamp, time.Now())
		return
	}
	j := p.job
	j.stamp = max(j.stamp, stamp) // a cancel may be known that was stored after it
	j.saved = max(j.saved, p.version)
	b.settledUpTo(j)
	if p.over {
		delete(b.cancellations, j.Rec.Spec.ID)
		b.finally(j.Rec.Spec.ID, j.Rec.Status)
		b.forget(j)
	}
}

// settledUpTo notes what newly stored versions allow: starts whose marker is in
// the store go out, and later changes may wait for one another again.
func (b *ClusterState) settledUpTo(j *Job) {
	if j.saved >= j.version {
		delete(b.dirty, j)
		j.urgent = false
	} else {
		j.dirtySince = time.Now()
	}
	for _, p := range j.places {
		if !p.sent && p.version <= j.saved {
			b.owe(p)
		} else if !p.sent {
			j.urgent = true
		}
	}
}

// raise lifts the generation while keeping the pool, so that workers turn away
// whatever direct start is still under way.
func (c *Committer) raise(ctx context.Context) bool {
	b := c.Cluster
	b.mu.Lock()
	next := b.gen + 1
	b.mu.Unlock()
	raw, _ := json.Marshal(generationRec{next, c.Node, b.writer})
	epoch, err := c.State.Commit(ctx, state.Txn{
		When: []state.Condition{{Key: c.Keys.Generation(), Revision: c.GenStamp}},
		Then: []state.Op{{Put: c.Keys.Generation(), Value: raw}},
	}, state.Urgent)
	var conflict *state.Conflict
	switch {
	case err == nil:
		c.raised(next, ids.Revision(epoch))
	case errors.As(err, &conflict):
		c.repair(ctx, conflict, nil)
	default:
		wait(ctx, 100*time.Millisecond)
	}
	return true
}

func (c *Committer) raised(g ids.Generation, stamp ids.Revision) {
	b := c.Cluster
	b.mu.Lock()
	b.gen, b.bump = g, false
	for _, h := range b.hosts {
		if len(h.places) > 0 {
			b.due[h] = true // markers not sent yet must carry the new token
		}
	}
	b.mu.Unlock()
	c.GenStamp = stamp
	slog.Info("generation raised to turn late starts away", "generation", g)
	if c.OnGeneration != nil {
		c.OnGeneration(g)
	}
}
