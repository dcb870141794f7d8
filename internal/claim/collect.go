package claim

import (
	"sort"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// settleAtLast is the same while changes are scarce: then new work and ends need
// them more.
const settleAtLast = 12 * time.Second

// maxTxnBytes is how much of a transaction's 64 KiB its changes may fill; its conditions and
// the rest of its text take less than txnBytes and changeBytes say.
const (
	maxTxnBytes = 60 * 1024
	txnBytes    = 256
	changeBytes = 200
)

// collect picks changed jobs, most urgent first, within the limits of one
// transaction.
func (c *Committer) collect() []pending {
	b := c.Cluster
	maxOps := min(b.set.Params.State.TxnOps, max(2, c.State.Budget().WriteBurst()))
	limit := int(b.set.Params.State.ValueKB * 1024)
	var group []pending
	ops, size := 0, txnBytes
	add := func(p pending) bool {
		if ops+len(p.ops) > maxOps || size+p.size > maxTxnBytes {
			return false
		}
		ops, size = ops+len(p.ops), size+p.size
		group = append(group, p)
		return true
	}
	c.waitingOnes(false, add)
	for _, j := range c.changed(time.Now()) {
		p, fits := b.encodeChange(j, limit)
		if !fits {
			b.tooLarge(j, limit)
			continue
		}
		if !add(p) {
			break
		}
	}
	if !c.State.Budget().Tight() {
		c.waitingOnes(true, add) // told as cancelled already: these can wait
	}
	return group
}

// changed lists the jobs whose changes are due to be stored, most urgent first.
func (c *Committer) changed(now time.Time) []*Job {
	b := c.Cluster
	settle := settleEvery
	if c.State.Budget().Tight() {
		settle = settleAtLast
	}
	var due []*Job
	for j := range b.dirty {
		if j.version <= j.saved || j.ended {
			delete(b.dirty, j)
			continue
		}
		if j.version == j.unfit {
			continue // it would not fit now either
		}
		if j.urgent || now.Sub(j.dirtySince) >= settle {
			due = append(due, j)
		}
	}
	sort.Slice(due, func(x, y int) bool {
		a, z := due[x], due[y]
		if a.urgent != z.urgent {
			return a.urgent
		}
		if pa, pz := a.priority(), z.priority(); pa != pz {
			return pa > pz
		}
		return earlier(a, z) < 0
	})
	return due
}

// encodeChange makes the transaction's part that stores a job as it is now; fits tells
// whether its record fits the limit of values.
func (b *ClusterState) encodeChange(j *Job, limit int) (p pending, fits bool) {
	p = pending{job: j, version: j.version, over: j.Rec.Status.Over()}
	rec := j.Rec
	rec.Gen, rec.Writer, rec.Seq = b.gen, b.writer, j.version
	encode := rec.EncodeFinal
	if !p.over {
		rec.Places = packPlaces(j.places)
		encode = rec.Encode
	}
	raw, fits := encode(limit)
	if !fits {
		return p, false
	}
	j.oversize = false
	if !p.over {
		j.measured(rec.Places, len(raw)-yielding(rec.Trail))
	}
	id := j.Rec.Spec.ID
	// A cancellation stored apart from the record must not be passed over either.
	cancellation := state.Condition{Key: record.CancelKey(id), Revision: b.cancellations[id]}
	p.conds = []state.Condition{{Key: record.JobKey(id), Revision: j.stamp}, cancellation}
	p.size = len(raw) + changeBytes
	if !p.over {
		p.ops = []state.Op{{Put: record.JobKey(id), Value: raw}}
		return p, true
	}
	p.conds = append(p.conds, state.Condition{Key: record.EndKey(id)})
	p.ops = []state.Op{{Remove: record.JobKey(id)}, {Put: record.EndKey(id), Value: raw}}
	if cancellation.Revision > 0 {
		p.ops = append(p.ops, state.Op{Remove: record.CancelKey(id)})
	}
	return p, true
}

// measured notes what a record's places took of it, and what the rest that can't give way did.
func (j *Job) measured(places []record.PlaceGroup, size int) {
	if n := len(j.places); n > 0 {
		took := record.PlacesSize(places)
		j.width.places, j.width.rest = float64(took)/float64(n), size-took
	}
}

// yielding is about how many bytes the trail would give up for places: all but the
// last lines.
func yielding(trail []record.Event) (n int) {
	for i := range trail[:max(0, len(trail)-2)] {
		n += len(trail[i].What) + 35
	}
	return n
}
