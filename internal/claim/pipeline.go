package claim

import (
	"context"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// waiting is a job that awaits others, in the owner's memory.
type waiting struct {
	rec   *Record
	stamp ids.Stamp
	open  map[ids.Job]bool // awaited and not known to be done
	by    ids.Job          // the cancelled job that ends it
	urged urge
}

func (w *waiting) id() ids.Job { return w.rec.Spec.ID }

// urge is what the jobs that need another one ask of it: their priority, and by when
// it must be done to leave the estimates of what follows before the deadline.
type urge struct {
	priority Priority
	by       time.Time // zero: no deadline
}

func (u urge) with(o urge) urge {
	u.priority = max(u.priority, o.priority)
	if u.by.IsZero() || !o.by.IsZero() && o.by.Before(u.by) {
		u.by = o.by
	}
	return u
}

// pipelines is what the owner knows of jobs that await others. It is indexed from a
// needed job to those that need it, so that an end costs what it changes.
type pipelines struct {
	waits   map[ids.Job]*waiting
	needers map[ids.Job]map[*waiting]bool
	ready   map[*waiting]bool     // all that they await is done
	doomed  map[*waiting]bool     // something that they await is cancelled
	finals  map[ids.Job]Status    // how jobs ended; that never changes
	lookUp  map[ids.Job]time.Time // ended jobs of which it is not known how, and when to ask
}

func newPipelines() pipelines {
	return pipelines{waits: map[ids.Job]*waiting{}, needers: map[ids.Job]map[*waiting]bool{}, ready: map[*waiting]bool{},
		doomed: map[*waiting]bool{}, finals: map[ids.Job]Status{}, lookUp: map[ids.Job]time.Time{}}
}

// LearnWaiting takes in a job that awaits others, or that it no longer does; rec is
// nil then.
func (b *Book) LearnWaiting(id ids.Job, stamp ids.Stamp, rec *Record, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.pipes.waits[id]
	switch {
	case rec == nil && w != nil && stamp > w.stamp:
		// Its user cancelled it, or it is this owner's own move, whose answer is
		// on its way or lost: then the next try of it finds out.
		if !b.pipes.ready[w] && !b.pipes.doomed[w] {
			b.unwait(w)
			b.ask(id, now)
		}
	case rec != nil && w == nil && b.jobs[id] == nil && !b.gone[id]:
		b.addWaiting(rec, stamp, now)
	}
}

// LoadWaiting adds, at a takeover, the jobs that wait; those they await are loaded.
func (b *Book) LoadWaiting(recs map[ids.Job]*Record, stamps map[ids.Job]ids.Stamp, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, r := range recs {
		if b.pipes.waits[id] == nil && b.jobs[id] == nil && !b.gone[id] {
			b.addWaiting(r, stamps[id], now)
		}
	}
}

func (b *Book) addWaiting(rec *Record, stamp ids.Stamp, now time.Time) {
	w := &waiting{rec: rec, stamp: stamp, open: map[ids.Job]bool{}}
	id := w.id()
	b.pipes.waits[id] = w
	delete(b.pipes.lookUp, id)
	for _, need := range rec.Spec.Awaits {
		j, o := b.jobs[need], b.pipes.waits[need]
		switch final, known := b.pipes.finals[need]; {
		case known && final == Done:
			continue
		case known || j != nil && j.cancelled():
			b.doom(w, need)
		case o != nil && o.by != "":
			b.doom(w, o.by)
		case j == nil && o == nil || j != nil && j.ended:
			b.ask(need, now)
		}
		w.open[need] = true
		if b.pipes.needers[need] == nil {
			b.pipes.needers[need] = map[*waiting]bool{}
		}
		b.pipes.needers[need][w] = true
	}
	if w.by != "" {
		b.doomNeeders(id, w.by) // they may have been learned of before
	}
	b.urgeUp(id)
	for need := range w.open {
		b.urgeUp(need)
	}
	b.readyIf(w)
}

func (b *Book) readyIf(w *waiting) {
	if len(w.open) == 0 && w.by == "" {
		b.pipes.ready[w] = true
		poke(b.wakeCommit)
	}
}

// unwait takes a job out of those that wait; those that need it stay indexed.
func (b *Book) unwait(w *waiting) {
	delete(b.pipes.waits, w.id())
	delete(b.pipes.ready, w)
	delete(b.pipes.doomed, w)
	for _, need := range w.rec.Spec.Awaits {
		if ws := b.pipes.needers[need]; ws[w] {
			if delete(ws, w); len(ws) == 0 {
				delete(b.pipes.needers, need)
			}
			b.urgeUp(need)
		}
	}
}

// ask has it looked up how a job ended.
func (b *Book) ask(id ids.Job, now time.Time) {
	if _, asked := b.pipes.lookUp[id]; !asked {
		b.pipes.lookUp[id] = now
	}
}

// doom ends a job that waits, and all that need it: one that they need is cancelled.
func (b *Book) doom(w *waiting, by ids.Job) {
	if w.by != "" {
		return
	}
	w.by = by
	delete(b.pipes.ready, w)
	b.pipes.doomed[w] = true
	poke(b.wakeCommit)
	b.doomNeeders(w.id(), by)
}

func (b *Book) doomNeeders(id, by ids.Job) {
	for w := range b.pipes.needers[id] {
		b.doom(w, by)
	}
}

// finally takes in how a job ended, once that is stored.
func (b *Book) finally(id ids.Job, how Status) {
	delete(b.pipes.lookUp, id)
	if len(b.pipes.finals) > keptFinals {
		clear(b.pipes.finals) // what is still of interest is looked up again
	}
	b.pipes.finals[id] = how
	if how != Done {
		b.doomNeeders(id, id)
		return
	}
	for w := range b.pipes.needers[id] {
		delete(w.open, id)
		b.readyIf(w)
	}
	delete(b.pipes.needers, id)
}

// keptFinals bounds how many ends are remembered.
const keptFinals = 50000

// urgeUp works out anew what is asked of a job by those that need it, and passes it
// on to what that one needs.
func (b *Book) urgeUp(id ids.Job) {
	var u urge
	for w := range b.pipes.needers[id] {
		if w.by == "" {
			u = u.with(b.asks(w))
		}
	}
	if j := b.jobs[id]; j != nil && j.urged != u {
		j.urged = u
		poke(b.wakePlan)
	}
	if w := b.pipes.waits[id]; w != nil && w.urged != u {
		w.urged = u
		for need := range w.open {
			b.urgeUp(need)
		}
	}
}

// asks is what a job that waits asks of those that it needs.
func (b *Book) asks(w *waiting) urge {
	s := &w.rec.Spec
	u := w.urged.with(urge{priority: s.Priority, by: deadline(w.rec)})
	if !u.by.IsZero() {
		u.by = u.by.Add(-ids.Seconds(float64(s.Estimate) + b.fetch(s)).Duration())
	}
	return u
}

// deadline is when a job should be complete; it counts from its submission.
func deadline(r *Record) time.Time {
	if r.Spec.Due <= 0 {
		return time.Time{}
	}
	return r.Submitted.Time().Add(r.Spec.Due.Duration())
}

// priority is a job's own, or that of a job that needs it.
func (j *Job) priority() Priority { return max(j.Rec.Spec.Priority, j.urged.priority) }

// moves collects what may be stored of jobs that wait: those that become claimable,
// or, if over, those that end.
func (c *Committer) waitingOnes(over bool, add func(pending) bool) {
	b := c.Book
	limit := int(b.set.Params.State.ValueKB * 1024)
	from := b.pipes.ready
	if over {
		from = b.pipes.doomed
	}
	now := ids.WallOf(time.Now())
	for w := range from {
		id := w.id()
		rec := *w.rec
		rec.Gen, rec.Writer, rec.Seq = b.gen, b.writer, w.rec.Seq+1
		p := pending{wait: w, over: over}
		p.conds = []state.Cond{{Key: WaitKey(id), Stamp: w.stamp}}
		key := JobKey(id)
		if over {
			key = EndKey(id)
			rec.EndedBy(w.by)
		} else {
			rec.Ready = now
			rec.leaveRoom(limit)
			rec.Trail = append(append([]Event(nil), rec.Trail...), Event{now, "all jobs that it awaited are done"})
		}
		raw, ok := rec.Encode(limit)
		if !ok {
			slog.Error("a waiting job's record does not fit", "job", id)
			continue
		}
		p.moved = &rec
		p.conds = append(p.conds, state.Cond{Key: key})
		p.ops = []state.Op{{Remove: WaitKey(id)}, {Put: key, Value: raw}}
		p.size = len(raw) + 200
		if !add(p) {
			return
		}
	}
}

func doomText(by ids.Job) string {
	return "cancelled: it needs " + string(by) + ", which was cancelled"
}

// movedOn takes in that a waiting job's move is stored.
func (b *Book) movedOn(p pending, stamp ids.Stamp, now time.Time) {
	id := p.wait.id()
	if b.pipes.waits[id] == p.wait {
		b.unwait(p.wait)
	}
	if p.over {
		b.finally(id, Cancelled)
		return
	}
	if b.jobs[id] == nil {
		b.addJob(p.moved, stamp, now)
		poke(b.wakePlan)
	}
}

// repairMove reads back what became of a waiting job whose move met a conflict: an
// answer was lost, or its user cancelled it.
func (c *Committer) repairMove(ctx context.Context, p pending) bool {
	b, id := c.Book, p.wait.id()
	live, found, err := c.State.Get(ctx, JobKey(id), state.Urgent)
	if err != nil {
		return false
	}
	now := time.Now()
	if found {
		rec, err := Decode(live.Value)
		if err != nil {
			slog.Error("unreadable record", "job", id, "err", err)
			return false
		}
		b.mu.Lock()
		p.moved = rec
		b.movedOn(p, live.Stamp, now)
		b.mu.Unlock()
		return true
	}
	b.mu.Lock()
	if b.pipes.waits[id] == p.wait {
		b.unwait(p.wait)
	}
	b.ask(id, now)
	b.mu.Unlock()
	return true
}

// lookUps finds out how jobs ended that others await.
func (c *Committer) lookUps(ctx context.Context) {
	for ctx.Err() == nil {
		c.lookUpOnce(ctx)
		wait(ctx, 200*time.Millisecond)
	}
}

// manyLookUps is from how many on all final records are read, a page for hundreds,
// instead of one by one: after a takeover, with thousands that wait.
const manyLookUps = 40

func (c *Committer) lookUpOnce(ctx context.Context) {
	b, now := c.Book, time.Now()
	b.mu.Lock()
	var due []ids.Job
	for id, at := range b.pipes.lookUp {
		if j := b.jobs[id]; b.pipes.waits[id] != nil || j != nil && !j.ended {
			delete(b.pipes.lookUp, id) // here after all: it was learned of later
		} else if !at.After(now) {
			due = append(due, id)
			b.pipes.lookUp[id] = now.Add(time.Second)
		}
	}
	b.mu.Unlock()
	if len(due) >= manyLookUps {
		es, _, err := c.State.ListAll(ctx, EndPrefix, state.Normal)
		if err != nil {
			return
		}
		b.mu.Lock()
		for _, e := range es {
			if id, _ := endOf(e.Key); b.wanted(id) {
				b.ended(id, e)
			}
		}
		b.mu.Unlock()
		return
	}
	for _, id := range due {
		e, found, err := c.State.Get(ctx, EndKey(id), state.Normal)
		if err == nil && !found {
			// It may be live after all, by a write of this owner's without an answer.
			c.findLive(ctx, id, now)
		}
		if err != nil || !found {
			continue
		}
		b.mu.Lock()
		b.ended(id, e)
		b.mu.Unlock()
	}
}

// findLive takes in a live record that this owner wrote but does not know of.
func (c *Committer) findLive(ctx context.Context, id ids.Job, now time.Time) {
	e, found, err := c.State.Get(ctx, JobKey(id), state.Normal)
	if err != nil || !found {
		return
	}
	rec, err := Decode(e.Value)
	if err != nil {
		return
	}
	b := c.Book
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.jobs[id] == nil && !b.gone[id] && !rec.Status.Over() {
		b.addJob(rec, e.Stamp, now)
		poke(b.wakePlan)
	}
}

func (b *Book) wanted(id ids.Job) bool {
	_, asked := b.pipes.lookUp[id]
	return asked
}

func endOf(key string) (ids.Job, bool) {
	if len(key) <= len(EndPrefix) {
		return "", false
	}
	return ids.Job(key[len(EndPrefix):]), true
}

func (b *Book) ended(id ids.Job, e state.Entry) {
	rec, err := Decode(e.Value)
	if err != nil || !rec.Status.Over() {
		slog.Error("unreadable record", "key", e.Key, "err", err)
		return
	}
	b.finally(id, rec.Status)
}
