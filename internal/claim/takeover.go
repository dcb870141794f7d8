package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// lastLeader is whose generation this node has seen, and since when.
type lastLeader struct {
	writer string
	since  time.Time
}

// vacant tells whether the pool looks free, or held by a dead predecessor of
// this very node.
func (p *Pool) vacant() bool {
	p.mu.Lock()
	resting := time.Now().Before(p.resting)
	p.mu.Unlock()
	e, found, ready := p.mirror.Get(p.keys.Leader())
	if !ready || resting {
		return false
	}
	if !found {
		return true
	}
	var o leaderRecord
	return json.Unmarshal(e.Value, &o) == nil && o.Node == p.Set.HostName
}

// campaign tries to take the pool over.
func (p *Pool) campaign(ctx context.Context, life time.Duration) error {
	cur, found, err := p.State.Get(ctx, p.keys.Leader(), state.Urgent)
	if err != nil {
		return err
	}
	if found {
		var o leaderRecord
		if err := json.Unmarshal(cur.Value, &o); err != nil {
			return err
		}
		if o.Node != p.Set.HostName {
			wait(ctx, 100*time.Millisecond) // the mirror is behind
			return errors.New("owned by " + string(o.Node))
		}
		// Only one process runs on a node: this hold's leader is dead, or an
		// earlier term of ours whose answer got lost.
		slog.Info("ending the hold of this node's earlier life", "writer", o.Writer)
		if err := p.State.EndLease(ctx, o.Hold); err != nil && !errors.Is(err, state.ErrNoLease) {
			return err
		}
	}
	var prev generationRec
	ge, found, err := p.State.Get(ctx, p.keys.Generation(), state.Urgent)
	if err != nil {
		return err
	}
	if found {
		if err := json.Unmarshal(ge.Value, &prev); err != nil {
			return err
		}
	}
	sent := time.Now()
	hold, err := p.State.NewLease(ctx, life)
	if err != nil {
		return err
	}
	gen := prev.Generation + 1
	writer := fmt.Sprintf("%s/%d", p.incarnation, gen)
	oraw, _ := json.Marshal(leaderRecord{p.Set.HostName, writer, hold, gen})
	graw, _ := json.Marshal(generationRec{gen, p.Set.HostName, writer})
	epoch, err := p.State.Commit(ctx, state.Txn{
		When: []state.Condition{{Key: p.keys.Leader()}, {Key: p.keys.Generation(), Revision: ge.Revision}},
		Then: []state.Op{{Put: p.keys.Leader(), Value: oraw, Lease: hold}, {Put: p.keys.Generation(), Value: graw}},
	}, state.Urgent)
	if errors.Is(err, state.ErrUnknown) {
		// Read back what became of it.
		e, found, rerr := p.State.Get(ctx, p.keys.Generation(), state.Urgent)
		var g generationRec
		if rerr == nil && found && json.Unmarshal(e.Value, &g) == nil && g.Writer == writer {
			epoch, err = ids.Epoch(e.Revision), nil
		}
	}
	if err != nil {
		return err
	}
	p.begin(ctx, prev, gen, writer, hold, ids.Revision(epoch), sent)
	return nil
}

// begin starts a term.
func (p *Pool) begin(ctx context.Context, prev generationRec, gen ids.Generation, writer string, hold ids.Lease, stamp ids.Revision, sent time.Time) {
	now := time.Now()
	w := &p.Set.Params.Workers
	trust := now.Add(p.Set.Grace().Drifted() + w.LeaseS.Drifted())
	b := newShardState(p.Set, writer, gen, trust, p.shard)
	b.elsewhere = p.statusElsewhere
	fresh := time.Duration(p.Set.Own.PoolHoldMs) * time.Millisecond / 2
	b.Storing = func() bool {
		age, ok := p.State.SinceSuccess()
		return ok && age < fresh
	}
	tctx, cancel := context.WithCancel(ctx)
	t := &Term{Gen: gen, Cluster: b, hold: hold, began: now, renewed: sent, loaded: make(chan struct{}), cancel: cancel}
	t.Committer = NewCommitter(b, p.State, p.Set.HostName, stamp)
	t.Dispatcher = NewDispatcher(b, p.Commander, p.Set.Sockets().Direct/4)
	t.Dispatcher.May = func() bool { return p.proven(t) }
	b.Starting = func() (bool, time.Time) { return p.mayStart(t), p.readAt() }
	t.Committer.OnLost = func(why string) { go p.stepDown(t, why) }
	t.Committer.OnStored = t.Dispatcher.Wake
	p.State.Budget().SetLeader(true)
	p.mu.Lock()
	b.Seed(p.hints, now)
	p.term = t
	p.mu.Unlock()
	slog.Info("took the machine pool over", "generation", gen)
	t.done.Add(1)
	go func() {
		defer t.done.Done()
		if p.load(tctx, t) {
			p.runTerm(tctx, t)
		}
	}()
	go p.confirmStopped(tctx, t, p.possibleLeaders(prev, now)...)
}

// load reads every live record; the takeover's commit keeps older leaders from
// changing any of them.
func (p *Pool) load(ctx context.Context, t *Term) bool {
	for ctx.Err() == nil {
		// The copy is warm; what it lacks is read after the takeover's commit.
		err := p.jobs.Sync(ctx)
		jobs, epoch := p.jobs.All()
		if err == nil {
			t.Intents, _, err = p.State.ListAll(ctx, p.keys.Hires(), state.Urgent)
		}
		if err == nil && p.Set.Shards() > 1 {
			err = p.loadAllowances(ctx, t)
		}
		if err != nil {
			wait(ctx, 100*time.Millisecond)
			continue
		}
		recs, waits, stamps := map[ids.Job]*record.Record{}, map[ids.Job]*record.Record{}, map[ids.Job]ids.Revision{}
		for _, e := range jobs {
			into, decode := recs, record.Decode
			id, kind := record.ParseKey(e.Key)
			switch {
			case kind == record.WaitingRecord:
				into, decode = waits, record.DecodeWaiting
			case ids.ShardOf(id, p.Set.Shards()) != p.shard:
				continue
			case kind == record.StoredCancellation:
				t.Cluster.LearnCancellation(id, e.Revision, false)
				continue
			}
			rec, err := decode(e.Value)
			if err != nil {
				slog.Error("unreadable record", "key", e.Key, "err", err)
				continue
			}
			into[rec.Spec.ID], stamps[rec.Spec.ID] = rec, e.Revision
		}
		t.Cluster.Load(recs, stamps, ids.Revision(epoch), time.Now())
		t.Cluster.LoadWaiting(waits, stamps, time.Now())
		close(t.loaded)
		slog.Info("records loaded", "jobs", len(recs), "waiting", len(waits), "hires", len(t.Intents))
		return true
	}
	return false
}

// Superseded is told by a peer of a higher generation; the answer confirms
// that this node answers no beats under an older one.
func (p *Pool) Superseded(gen ids.Generation) bool {
	if t := p.Term(); t != nil {
		if t.Cluster.Generation() >= gen {
			return false
		}
		p.stepDown(t, "a peer owns a higher generation")
	}
	return true
}

// watchLeader notes whose generation it is and since when.
func (p *Pool) watchLeader() {
	e, found, ready := p.mirror.Get(p.keys.Generation())
	var g generationRec
	if !ready || !found || json.Unmarshal(e.Value, &g) != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if g.Writer != p.last.writer {
		p.last = lastLeader{g.Writer, time.Now()}
	}
}

// possibleLeaders names the controllers that may still be answering beats under an
// older generation: only the last leader, if this node has seen it own the pool
// for longer than the grace of whoever was before it; otherwise none is named, and
// all must be asked. In a zone that is cut off there may be controllers, which
// cannot confirm anything, and need not.
func (p *Pool) possibleLeaders(prev generationRec, now time.Time) []ids.Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	if prev.Writer == "" || prev.Node == p.Set.HostName || prev.Writer != p.last.writer || now.Sub(p.last.since) < p.Set.Grace().Drifted()+time.Second {
		return nil
	}
	return []ids.Node{prev.Node}
}

// confirmStopped shortens the wait for silent workers' lapses once those who may
// still be answering them say that they have stopped.
func (p *Pool) confirmStopped(ctx context.Context, t *Term, of ...ids.Node) {
	for ctx.Err() == nil {
		if p.Peers == nil {
			return
		}
		if p.Peers.AllStopped(ctx, t.Gen, of...) {
			now := time.Now()
			t.Cluster.Trust(now.Add(p.Set.Params.Workers.LeaseS.Drifted()))
			return
		}
		wait(ctx, 500*time.Millisecond)
	}
}
