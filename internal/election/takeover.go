package election

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/claim"
	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/dispatch"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// lastLeader is whose generation this node has seen, and since when.
type lastLeader struct {
	writer string
	since  time.Time
}

// leaderless tells whether the pool looks free, or held by a dead predecessor of
// this very node.
func (e *Elector) leaderless() bool {
	e.mu.Lock()
	resting := time.Now().Before(e.noCampaignBefore)
	e.mu.Unlock()
	entry, found, ready := e.poolMirror.Get(e.keys.Leader())
	if !ready || resting {
		return false
	}
	if !found {
		return true
	}
	var leader leaderRecord
	return json.Unmarshal(entry.Value, &leader) == nil && leader.Node == e.Settings.HostName
}

// campaign tries to take the pool over.
func (e *Elector) campaign(ctx context.Context, life time.Duration) error {
	cur, found, err := e.State.Get(ctx, e.keys.Leader(), state.Urgent)
	if err != nil {
		return err
	}
	if found {
		var leader leaderRecord
		if err := json.Unmarshal(cur.Value, &leader); err != nil {
			return err
		}
		if leader.Node != e.Settings.HostName {
			wait.For(ctx, 100*time.Millisecond) // the mirror is behind
			return errors.New("owned by " + string(leader.Node))
		}
		// Only one process runs on a node: this hold's leader is dead, or an
		// earlier term of ours whose answer got lost.
		slog.Info("ending the hold of this node's earlier life", "writer", leader.Writer)
		if err := e.State.RevokeLease(ctx, leader.Lease); err != nil && !errors.Is(err, state.ErrNoLease) {
			return err
		}
	}
	var previous commit.GenerationRecord
	ge, found, err := e.State.Get(ctx, e.keys.Generation(), state.Urgent)
	if err != nil {
		return err
	}
	if found {
		if err := json.Unmarshal(ge.Value, &previous); err != nil {
			return err
		}
	}
	sent := time.Now()
	hold, err := e.State.GrantLease(ctx, life)
	if err != nil {
		return err
	}
	generation := previous.Generation + 1
	writer := fmt.Sprintf("%s/%d", e.incarnation, generation)
	oraw, _ := json.Marshal(leaderRecord{e.Settings.HostName, writer, hold, generation})
	graw, _ := json.Marshal(commit.GenerationRecord{Generation: generation, Node: e.Settings.HostName, Writer: writer})
	epoch, err := e.State.Commit(ctx, state.Txn{
		Conditions: []state.Condition{{Key: e.keys.Leader()}, {Key: e.keys.Generation(), Revision: ge.Revision}},
		Ops:        []state.Op{{Put: e.keys.Leader(), Value: oraw, Lease: hold}, {Put: e.keys.Generation(), Value: graw}},
	}, state.Urgent)
	if errors.Is(err, state.ErrOutcomeUnknown) {
		// Read back what became of it.
		entry, found, rerr := e.State.Get(ctx, e.keys.Generation(), state.Urgent)
		var stored commit.GenerationRecord
		if rerr == nil && found && json.Unmarshal(entry.Value, &stored) == nil && stored.Writer == writer {
			epoch, err = ids.StoreRevision(entry.Revision), nil
		}
	}
	if err != nil {
		return err
	}
	e.beginTerm(ctx, previous, generation, writer, hold, ids.Revision(epoch), sent)
	return nil
}

// beginTerm starts a term.
func (e *Elector) beginTerm(ctx context.Context, previous commit.GenerationRecord, generation ids.Generation, writer string, hold ids.Lease, revision ids.Revision, sent time.Time) {
	now := time.Now()
	w := &e.Settings.Params.Workers
	trust := now.Add(e.Settings.LeaderGracePeriod().WithClockDrift() + w.LeaseS.WithClockDrift())
	cluster := claim.NewShardState(e.Settings, writer, generation, trust, e.shard)
	cluster.StatusInOtherShard = e.statusInOtherShard
	fresh := time.Duration(e.Settings.Operator.PoolHoldMs) * time.Millisecond / 2
	cluster.StoreAvailable = func() bool {
		age, ok := e.State.SinceSuccess()
		return ok && age < fresh
	}
	tctx, cancel := context.WithCancel(ctx)
	term := &Term{Generation: generation, Cluster: cluster, lease: hold, began: now, renewedAt: sent, loaded: make(chan struct{}), cancel: cancel}
	mayCommand := func() bool { return e.renewedSincePause(term) }
	term.Dispatcher = dispatch.New(cluster, e.Commander, e.Settings.Sockets().ToMachines/4, mayCommand)
	cluster.StartsAllowed = func() (bool, time.Time) { return e.mayStartTasks(term), e.recordsReadAt() }
	term.Committer = commit.New(cluster, e.State, e.Settings.HostName, e.keys, revision, commit.Events{
		Superseded: func(why string) { go e.stepDown(term, why) },
		Stored:     term.Dispatcher.Wake,
	})
	e.State.Budget().LeadershipChanged(true)
	e.mu.Lock()
	cluster.ApplyHints(&e.hints, now)
	e.term = term
	e.mu.Unlock()
	slog.Info("took the machine pool over", "generation", generation)
	term.done.Add(1)
	go func() {
		defer term.done.Done()
		if e.loadRecords(tctx, term) {
			e.runTerm(tctx, term)
		}
	}()
	go e.confirmStopped(tctx, term, e.possibleLeaders(previous, now)...)
}

// loadRecords reads every live record; the takeover's commit keeps older leaders from
// changing any of them.
func (e *Elector) loadRecords(ctx context.Context, term *Term) bool {
	for ctx.Err() == nil {
		// The copy is warm; what it lacks is read after the takeover's commit.
		err := e.jobMirror.Sync(ctx)
		jobs, epoch := e.jobMirror.Entries()
		if err == nil {
			term.OpenHires, _, err = e.State.ListAll(ctx, e.keys.Hires(), state.Urgent)
		}
		if err == nil && e.Settings.ShardCount() > 1 {
			err = e.loadAllowances(ctx, term)
		}
		if err != nil {
			wait.For(ctx, 100*time.Millisecond)
			continue
		}
		records, waits, revisions := map[ids.Job]*record.Record{}, map[ids.Job]*record.Record{}, map[ids.Job]ids.Revision{}
		for _, entry := range jobs {
			into, decode := records, record.Decode
			id, kind := record.ParseKey(entry.Key)
			switch {
			case kind == record.WaitingRecord:
				into, decode = waits, record.DecodeWaiting
			case ids.ShardOf(id, e.Settings.ShardCount()) != e.shard:
				continue
			case kind == record.StoredCancellation:
				term.Cluster.HandleCancellation(id, entry.Revision, false)
				continue
			}
			rec, err := decode(entry.Value)
			if err != nil {
				slog.Error("unreadable record", "key", entry.Key, "err", err)
				continue
			}
			into[rec.Spec.ID], revisions[rec.Spec.ID] = rec, entry.Revision
		}
		term.Cluster.Load(records, revisions, ids.Revision(epoch), time.Now())
		term.Cluster.LoadWaitingJobs(waits, revisions, time.Now())
		close(term.loaded)
		slog.Info("records loaded", "jobs", len(records), "waiting", len(waits), "hires", len(term.OpenHires))
		return true
	}
	return false
}

// Superseded is told by a peer of a higher generation; the answer confirms
// that this node answers no beats under an older one.
func (e *Elector) Superseded(generation ids.Generation) bool {
	if term := e.Term(); term != nil {
		if term.Cluster.Generation() >= generation {
			return false
		}
		e.stepDown(term, "a peer owns a higher generation")
	}
	return true
}

// watchLeader notes whose generation it is and since when.
func (e *Elector) watchLeader() {
	entry, found, ready := e.poolMirror.Get(e.keys.Generation())
	var stored commit.GenerationRecord
	if !ready || !found || json.Unmarshal(entry.Value, &stored) != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if stored.Writer != e.last.writer {
		e.last = lastLeader{stored.Writer, time.Now()}
	}
}

// possibleLeaders names the controllers that may still be answering beats under an
// older generation: only the last leader, if this node has seen it own the pool
// for longer than the grace of whoever was before it; otherwise none is named, and
// all must be asked. In a zone that is cut off there may be controllers, which
// cannot confirm anything, and need not.
func (e *Elector) possibleLeaders(previous commit.GenerationRecord, now time.Time) []ids.Node {
	e.mu.Lock()
	defer e.mu.Unlock()
	if previous.Writer == "" || previous.Node == e.Settings.HostName || previous.Writer != e.last.writer || now.Sub(e.last.since) < e.Settings.LeaderGracePeriod().WithClockDrift()+time.Second {
		return nil
	}
	return []ids.Node{previous.Node}
}

// confirmStopped shortens the wait for silent workers' lapses once those who may
// still be answering them say that they have stopped.
func (e *Elector) confirmStopped(ctx context.Context, term *Term, of ...ids.Node) {
	for ctx.Err() == nil {
		if e.Peers == nil {
			return
		}
		if e.Peers.AllStopped(ctx, term.Generation, of...) {
			now := time.Now()
			term.Cluster.TrustSilenceFrom(now.Add(e.Settings.Params.Workers.LeaseS.WithClockDrift()))
			return
		}
		wait.For(ctx, 500*time.Millisecond)
	}
}
