package claim

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// Load fills the cluster state with the records found at a takeover. Their claims lapsed
// with their leader; their places stay until a report, a lapse or the cloud says
// what became of them.
func (b *ClusterState) Load(recs map[ids.Job]*record.Record, stamps map[ids.Job]ids.Revision, at ids.Revision, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	// News may have come before the list: what is not in it is kept only if it
	// is newer than the list.
	for id, j := range b.jobs {
		if s, listed := stamps[id]; j.stamp <= at && !listed || listed && s > j.stamp {
			b.unlearn(j)
		}
	}
	b.loaded = true
	for id, r := range recs {
		if b.jobs[id] == nil {
			b.addJob(r, stamps[id], now)
		}
	}
	poke(b.wakePlan)
	poke(b.wakeCommit)
}

// unlearn takes back what news told of a job before the records were loaded.
func (b *ClusterState) unlearn(j *Job) {
	for _, i := range sortedTasks(j.places) {
		b.dropPlace(j.places[i])
	}
	b.unlist(j)
}

func (b *ClusterState) addJob(r *record.Record, stamp ids.Revision, now time.Time) *Job {
	j := &Job{Rec: *r, stamp: stamp, places: map[int]*Place{}, tries: map[int]*retry{},
		settled: map[taskAttempt]uint64{}, version: r.Seq, saved: r.Seq, known: now}
	j.lasted = r.Attempt > 0 // an earlier leader knew more
	if j.version == 0 {
		j.version, j.saved = 1, 1
	}
	if b.cancellations[r.Spec.ID] > 0 && j.Rec.Status.May(record.Cancelling) {
		j.Rec.Status = record.Cancelling
	}
	b.jobs[r.Spec.ID] = j
	b.queue(j)
	r.EachPlace(func(i int, at record.Location) {
		b.roster.Ensure(at.Machine, now, b.trustSilence)
		b.putPlace(&Place{Job: j, Index: i, Machine: at.Machine, Session: at.Session, Attempt: at.Attempt,
			Token: at.Token, sent: true, since: now, stopping: j.cancelled(), why: "cancelled"})
	})
	j.Rec.Places = nil
	b.loadEvictions(j)
	b.joinPipelines(j)
	b.finishIfOver(j)
	return j
}

// wrote tells whether a record is this leader's own writing, without reading
// all of it: most news is, and the cluster state knows it already.
func (b *ClusterState) wrote(raw json.RawMessage) bool {
	return bytes.Contains(raw, []byte(`"writer":"`+b.writer+`"`))
}

// Learn takes in what another controller wrote: a new job or a cancellation.
// rec is nil when the live record went away.
func (b *ClusterState) Learn(id ids.Job, stamp ids.Revision, rec *record.Record, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j := b.jobs[id]
	if j == nil {
		if rec != nil && !b.gone[id] && !rec.Status.Over() {
			b.addJob(rec, stamp, now)
			poke(b.wakePlan)
		}
		return
	}
	if stamp <= j.stamp || rec != nil && rec.Writer == b.writer {
		return // our own write; its answer or a read after it settles that
	}
	if !b.loaded {
		// Nothing is this leader's yet: it may be the last leader's writing, whose places
		// count like those in the records. To take it for a user's, who changes only the
		// status, would lose them.
		b.unlearn(j)
		if rec != nil && !rec.Status.Over() {
			b.addJob(rec, stamp, now)
		}
		return
	}
	if rec == nil {
		// Our own ending shows here too, as news that may outrun its answer.
		// Another's ending is only written while no task is placed, and our
		// next write on the job finds out.
		if !j.Rec.Status.Over() && len(j.places) == 0 {
			b.forget(j)
		}
		return
	}
	b.adopt(j, stamp, rec)
}

// adopt takes over another controller's write on a known job.
func (b *ClusterState) adopt(j *Job, stamp ids.Revision, rec *record.Record) {
	j.stamp = stamp
	if rec.Status == record.Cancelling {
		b.cancelTold(j)
	}
	b.touch(j)
}

// forget drops a job whose end is stored. What may still be on machines stays
// in the books until proven gone.
func (b *ClusterState) forget(j *Job) {
	id := j.Rec.Spec.ID
	j.ended = true
	delete(b.dirty, j)
	if len(j.places) == 0 {
		b.unlist(j)
	}
	b.askIfAwaited(id)
	if !b.gone[id] {
		b.gone[id] = true
		b.goneQ = append(b.goneQ, id)
		if len(b.goneQ) > 20000 {
			delete(b.gone, b.goneQ[0])
			b.goneQ = b.goneQ[1:]
		}
	}
}
