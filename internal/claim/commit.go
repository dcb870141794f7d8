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
	"github.com/pebbletrail/pebbletrail/internal/wait"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// GenerationRecord is the value of pool/generation. It persists, so that the
// number never falls.
type GenerationRecord struct {
	Generation ids.Generation `json:"generation"`
	Node       ids.Node       `json:"node"`
	Writer     string         `json:"writer"`
}

// Committer writes the cluster state's changes in groups, each conditional on the
// generation's stamp and on every job's own, so that a superseded leader can
// change nothing.
type Committer struct {
	Cluster            *ClusterState
	State              *state.Client
	Node               ids.Node
	Keys               record.ShardKeys
	GenerationRevision ids.Revision
	// OnSuperseded is called once another leader is known to have taken over.
	OnSuperseded func(why string)
	// OnGeneration is called when this leader raised its own generation.
	OnGeneration func(ids.Generation)
	// OnStored is called after each stored group: starts may go out.
	OnStored func()
	// writeSlot lets one leader write go out at a time: each needs the generation's
	// stamp, and raising it changes that.
	writeSlot chan struct{}
	// movedWaitingLast tells that the last group moved jobs that waited for others.
	movedWaitingLast bool
}

// NewCommitter makes the committer of one term.
func NewCommitter(cluster *ClusterState, s *state.Client, node ids.Node, revision ids.Revision) *Committer {
	return &Committer{Cluster: cluster, State: s, Node: node, Keys: cluster.keys, GenerationRevision: revision, writeSlot: make(chan struct{}, 1),
		OnSuperseded: func(string) {}}
}

type groupEntry struct {
	job        *workload.Job
	waiting    *waitingJob    // instead of a job: one that waits moves on
	becomes    *record.Record // what it becomes
	version    uint64
	terminal   bool
	ops        []state.Op
	conditions []state.Condition
	size       int
}

// Run commits until the context ends.
func (c *Committer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Cluster.commitSignal:
		case <-time.After(250 * time.Millisecond):
		}
		for ctx.Err() == nil && c.CommitGroup(ctx) {
		}
	}
}

// CommitGroup writes one group; more tells that there may be another.
func (c *Committer) CommitGroup(ctx context.Context) (more bool) {
	c.writeSlot <- struct{}{}
	defer func() { <-c.writeSlot }()
	cluster := c.Cluster
	cluster.mu.Lock()
	bump := cluster.raiseWanted
	group := c.collectGroup()
	cluster.mu.Unlock()
	if bump {
		return c.raiseGeneration(ctx)
	}
	if len(group) == 0 {
		return false
	}
	txn := state.Txn{Conditions: []state.Condition{{Key: c.Keys.Generation(), Revision: c.GenerationRevision}}}
	for _, entry := range group {
		txn.Conditions = append(txn.Conditions, entry.conditions...)
		txn.Ops = append(txn.Ops, entry.ops...)
	}
	began := time.Now()
	epoch, err := c.State.Commit(ctx, txn, state.Urgent)
	measure.Process.Took("commit", began)
	measure.Process.Count("changes committed", len(txn.Ops))
	var conflict *state.ConflictError
	switch {
	case err == nil:
		answered := time.Now()
		cluster.mu.Lock()
		for _, entry := range group {
			if answered.Sub(began) > slowCommit && entry.job != nil {
				entry.job.ReadRequiredAfter = answered
			}
			cluster.entryStored(entry, ids.Revision(epoch))
		}
		cluster.mu.Unlock()
		if c.OnStored != nil {
			c.OnStored()
		}
		return true
	case errors.As(err, &conflict):
		c.repair(ctx, conflict, group)
		return true
	case errors.Is(err, state.ErrMalformed):
		slog.Error("the state service calls a commit malformed", "err", err, "ops", len(txn.Ops))
	default:
		slog.Debug("commit not confirmed", "err", err)
	}
	// Refused or unknown: the same stamps are demanded again, so a late copy
	// of this transaction and the next one exclude each other.
	wait.For(ctx, 100*time.Millisecond)
	return true
}

// slowCommit is the time of a commit after which its answer alone does not let starts
// go out: it tells of when the commit was carried out, and users may have cancelled
// the job through another node since. The next read of the records tells.
const slowCommit = 150 * time.Millisecond

// outcomeDelay is how long outcomes of unfinished jobs may wait for one another
// before they are stored. Nothing is lost by that: until stored they are not
// cleared, so the next leader would learn them from the workers again; and what
// others wait for, markers and ends, is never kept waiting.
const outcomeDelay = 4 * time.Second

// entryStored takes in that a version is in the store.
func (c *ClusterState) entryStored(entry groupEntry, revision ids.Revision) {
	if entry.waiting != nil {
		c.waitingJobMoved(entry, revision, time.Now())
		return
	}
	job := entry.job
	job.Revision = max(job.Revision, revision) // a cancel may be known that was stored after it
	job.StoredVersion = max(job.StoredVersion, entry.version)
	c.versionStored(job)
	if entry.terminal {
		delete(c.cancellations, job.Record.Spec.ID)
		c.jobEnded(job.Record.Spec.ID, job.Record.Status)
		c.retireJob(job)
	}
}

// versionStored notes what newly stored versions allow: starts whose marker is in
// the store go out, and later changes may wait for one another again.
func (c *ClusterState) versionStored(job *workload.Job) {
	if job.StoredVersion >= job.Version {
		c.changes.Remove(job)
		job.Urgent = false
	} else {
		job.ChangedAt = time.Now()
	}
	for _, assignment := range job.Assignments {
		if !assignment.StartSent && assignment.MarkerVersion <= job.StoredVersion {
			c.commands.AddFor(assignment)
		} else if !assignment.StartSent {
			job.Urgent = true
		}
	}
}

// raiseGeneration lifts the generation while keeping the pool, so that workers turn away
// whatever direct start is still under way.
func (c *Committer) raiseGeneration(ctx context.Context) bool {
	cluster := c.Cluster
	cluster.mu.Lock()
	next := cluster.generation + 1
	cluster.mu.Unlock()
	raw, _ := json.Marshal(GenerationRecord{next, c.Node, cluster.writer})
	epoch, err := c.State.Commit(ctx, state.Txn{
		Conditions: []state.Condition{{Key: c.Keys.Generation(), Revision: c.GenerationRevision}},
		Ops:        []state.Op{{Put: c.Keys.Generation(), Value: raw}},
	}, state.Urgent)
	var conflict *state.ConflictError
	switch {
	case err == nil:
		c.generationRaised(next, ids.Revision(epoch))
	case errors.As(err, &conflict):
		c.repair(ctx, conflict, nil)
	default:
		wait.For(ctx, 100*time.Millisecond)
	}
	return true
}

func (c *Committer) generationRaised(g ids.Generation, revision ids.Revision) {
	cluster := c.Cluster
	cluster.mu.Lock()
	cluster.generation, cluster.raiseWanted = g, false
	for _, node := range cluster.capacity.Nodes() {
		if len(node.Assignments) > 0 {
			cluster.commands.Add(node) // markers not sent yet must carry the new token
		}
	}
	cluster.mu.Unlock()
	c.GenerationRevision = revision
	slog.Info("generation raised to turn late starts away", "generation", g)
	if c.OnGeneration != nil {
		c.OnGeneration(g)
	}
}
