package claim

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sort"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
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
	return &Committer{Cluster: b, State: s, Node: node, GenStamp: stamp, turn: make(chan struct{}, 1),
		OnLost: func(string) {}}
}

type pending struct {
	job     *Job
	wait    *waiting // instead of a job: one that waits moves on
	moved   *Record  // what it becomes
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
	txn := state.Txn{When: []state.Condition{{Key: GenerationKey, Revision: c.GenStamp}}}
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

// settleAtLast is the same while changes are scarce: then new work and ends need
// them more.
const settleAtLast = 12 * time.Second

// collect picks changed jobs, most urgent first, within the limits of one
// transaction.
func (c *Committer) collect() []pending {
	b := c.Cluster
	var dirty []*Job
	now, settle := time.Now(), settleEvery
	if c.State.Budget().Tight() {
		settle = settleAtLast
	}
	for j := range b.dirty {
		if j.version <= j.saved || j.ended {
			delete(b.dirty, j)
			continue
		}
		if j.version == j.unfit {
			continue // it would not fit now either
		}
		if j.urgent || now.Sub(j.dirtySince) >= settle {
			dirty = append(dirty, j)
		}
	}
	sort.Slice(dirty, func(x, y int) bool {
		a, z := dirty[x], dirty[y]
		if a.urgent != z.urgent {
			return a.urgent
		}
		if pa, pz := a.priority(), z.priority(); pa != pz {
			return pa > pz
		}
		return earlier(a, z) < 0
	})
	maxOps := min(b.set.Params.State.TxnOps, max(2, c.State.Budget().WriteBurst()))
	limit := int(b.set.Params.State.ValueKB * 1024)
	var group []pending
	ops, size := 0, 256
	add := func(p pending) bool {
		if ops+len(p.ops) > maxOps || size+p.size > 60*1024 {
			return false
		}
		ops, size = ops+len(p.ops), size+p.size
		group = append(group, p)
		return true
	}
	c.waitingOnes(false, add)
	for _, j := range dirty {
		p := pending{job: j, version: j.version, over: j.Rec.Status.Over()}
		rec := j.Rec
		rec.Gen, rec.Writer, rec.Seq = b.gen, b.writer, j.version
		if !p.over {
			rec.Places = packPlaces(j.places)
		}
		encode := rec.Encode
		if p.over {
			encode = rec.EncodeFinal
		}
		raw, ok := encode(limit)
		if !ok {
			b.tooLarge(j, limit)
			continue
		}
		j.oversize = false
		if !p.over {
			j.measured(rec.Places, len(raw)-yielding(rec.Trail))
		}
		id := j.Rec.Spec.ID
		// A cancellation stored apart from the record must not be passed over either.
		cancellation := state.Condition{Key: CancelKey(id), Revision: b.cancellations[id]}
		p.conds = append(p.conds, state.Condition{Key: JobKey(id), Revision: j.stamp}, cancellation)
		if p.over {
			p.conds = append(p.conds, state.Condition{Key: EndKey(id)})
			p.ops = append(p.ops, state.Op{Remove: JobKey(id)}, state.Op{Put: EndKey(id), Value: raw})
			if cancellation.Revision > 0 {
				p.ops = append(p.ops, state.Op{Remove: CancelKey(id)})
			}
		} else {
			p.ops = append(p.ops, state.Op{Put: JobKey(id), Value: raw})
		}
		p.size = len(raw) + 200
		if !add(p) {
			break
		}
	}
	if !c.State.Budget().Tight() {
		c.waitingOnes(true, add) // told as cancelled already: these can wait
	}
	return group
}

// measured notes what a record's places took of it, and what the rest that can't give way did.
func (j *Job) measured(places []placeRec, size int) {
	if n := len(j.places); n > 0 {
		took := placesSize(places)
		j.width.places, j.width.rest = float64(took)/float64(n), size-took
	}
}

// yielding is about how many bytes the trail would give up for places: all but the
// last lines.
func yielding(trail []Event) (n int) {
	for i := range trail[:max(0, len(trail)-2)] {
		n += len(trail[i].What) + 35
	}
	return n
}

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
		When: []state.Condition{{Key: GenerationKey, Revision: c.GenStamp}},
		Then: []state.Op{{Put: GenerationKey, Value: raw}},
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

// repair reads back the keys whose conditions failed: either an answer was
// lost and the change is ours, or another controller wrote.
func (c *Committer) repair(ctx context.Context, conflict *state.Conflict, group []pending) {
	b := c.Cluster
	if conflict.Has(GenerationKey) {
		e, found, err := c.State.Get(ctx, GenerationKey, state.Urgent)
		if err != nil {
			wait(ctx, 100*time.Millisecond)
			return
		}
		var g generationRec
		if found && json.Unmarshal(e.Value, &g) == nil && g.Writer == b.writer {
			c.raised(g.Generation, e.Revision)
			return
		}
		c.OnLost("another owner raised the generation")
		return
	}
	for _, p := range group {
		if p.wait != nil {
			if conflict.Has(WaitKey(p.wait.id())) && !c.repairMove(ctx, p) {
				return
			}
			continue
		}
		id := p.job.Rec.Spec.ID
		if conflict.Has(CancelKey(id)) && !c.readCancellation(ctx, id) {
			return
		}
		if !conflict.Has(JobKey(id)) && !conflict.Has(EndKey(id)) {
			continue
		}
		live, found, err := c.State.Get(ctx, JobKey(id), state.Urgent)
		if err != nil {
			return
		}
		if found {
			rec, err := Decode(live.Value)
			if err != nil {
				slog.Error("unreadable record", "job", id, "err", err)
				return
			}
			b.mu.Lock()
			if rec.Writer == b.writer {
				p.job.reread = time.Now()
				p.job.stamp = live.Revision
				p.job.saved = max(p.job.saved, min(rec.Seq, p.job.version))
				b.settledUpTo(p.job)
			} else {
				b.adopt(p.job, live.Revision, rec)
			}
			b.mu.Unlock()
			if c.OnStored != nil {
				c.OnStored()
			}
			continue
		}
		_, found, err = c.State.Get(ctx, EndKey(id), state.Urgent)
		if err != nil {
			return
		}
		if !found {
			slog.Error("a job's record is nowhere", "job", id)
		}
		b.mu.Lock()
		b.endedElsewhere(p.job)
		b.mu.Unlock()
	}
}

// endedElsewhere drops a job whose end is stored already, by our own lost
// answer or by a cancellation while nothing was placed.
func (b *ClusterState) endedElsewhere(j *Job) {
	for _, i := range sortedTasks(j.places) {
		p := j.places[i]
		if !p.sent {
			b.dropPlace(p)
		} else if !p.stopping {
			b.stop(p, 0, "job over")
		}
	}
	b.forget(j)
}
