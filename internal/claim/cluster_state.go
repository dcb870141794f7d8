// Package claim owns the claim on the machine pool and what the leader does with it: claiming
// jobs, marking batches before their starts, and settling outcomes from reports.
package claim

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// ClusterState is everything the leader knows: jobs, places and machines, under
// one lock that is never held over a call.
type ClusterState struct {
	mu     sync.Mutex
	set    *config.Settings
	writer string
	gen    ids.Generation
	jobs   map[ids.Job]*Job
	gone   map[ids.Job]bool // jobs whose end this term has stored
	goneQ  []ids.Job
	roster *worker.Registry
	// What follows is kept up to date change by change, so that planning,
	// sending and storing never walk the whole fleet or all jobs.
	line             []*Job // by submission
	hosts            map[ids.Machine]*host
	shelves          map[kind]*shelf
	shelfOrder       []*shelf
	byImage          map[string]map[*host]bool
	leaving          map[ids.Machine]bool // drained, taken back or to be returned
	due              map[*host]bool       // have starts or stops to send
	dirty            map[*Job]bool        // changed since they were last stored
	machinesExamined int                  // machines that planning looked at so far
	// examinedAtHold is how many it had looked at when it last took the lock, and
	// mostExaminedAtHold the most while it held it once.
	examinedAtHold, mostExaminedAtHold int
	lapsed                             time.Time      // when lapses were last looked for
	probedAt                           time.Time      // when overdue machines were last looked for
	probing                            int            // questions under way
	early                              float64        // questions before a report is overdue that may be asked now
	hintSeq                            uint64         // counts what the others should know
	first                              ids.Generation // the term's first generation

	disruption *disruption // what rollouts want; nil where drains are off
	began      time.Time   // the term

	quota *quota.Book // what each team uses and may still have
	// lackSince is since when the cloud refuses what waiting jobs need, othersLack whether
	// another shard tells the same, and gaveUp when a machine was last given up for that.
	lackSince, gaveUp time.Time
	othersLack        bool
	listBegan         time.Time // when the last whole reading of the cloud's list began

	shard ids.Shard
	keys  record.ShardKeys
	// elsewhere is how a live job of another shard stands, by this node's copy of the
	// records; live is false if there is none.
	elsewhere func(id ids.Job) (how record.Status, live bool)
	types     map[string]*placement.Type
	rng       *rand.Rand
	// trustSilence is the earliest that an unheard machine's lapse counts: a
	// predecessor may have gone on answering its worker until its own grace
	// ended.
	trustSilence time.Time
	bump         bool // the generation should rise to turn late starts away
	reserved     map[ids.Machine]reservation
	warm         map[string]*warmth
	lost         bool
	loaded       bool // all records were read after the takeover
	sampled      time.Time
	costs        costs
	moved        time.Time
	emptying     ids.Machine // its services are being moved elsewhere
	emptyingAt   time.Time
	returned     map[ids.Machine]bool // deletions the cloud confirmed
	size         atomic.Int64         // machines, as last counted
	dark         map[string]bool      // zones of which nothing was heard at the last look
	boots        map[string]*boots    // by type
	limitHolds   map[string]limitHold // by team
	pipes        pipelines
	// cancellations are the revisions of those stored apart from their jobs' records.
	cancellations map[ids.Job]ids.Revision

	// Storing tells whether the state service has answered just now. While it
	// does not, nothing that is stopped could be started again, so nothing is
	// stopped that could go on.
	Storing func() bool
	// Starting tells whether starts may go out, and of when what was read of the
	// records is: another node may have confirmed since, unknown to this one, that a
	// job is cancelled. It is asked outside the cluster state's lock.
	Starting func() (ok bool, read time.Time)

	wakeCommit, wakePlan chan struct{}
}

// NewClusterState makes the cluster state of one term of leading the first shard.
func NewClusterState(set *config.Settings, writer string, gen ids.Generation, trustSilence time.Time) *ClusterState {
	return newShardState(set, writer, gen, trustSilence, 0)
}

// newShardState makes the cluster state of one term of leading a shard.
func newShardState(set *config.Settings, writer string, gen ids.Generation, trustSilence time.Time, shard ids.Shard) *ClusterState {
	return &ClusterState{
		disruption: newDisruption(set), began: time.Now(),
		shard: shard, keys: record.KeysOf(shard, set.Shards()),
		elsewhere: func(ids.Job) (record.Status, bool) { return "", false },
		set:       set, writer: writer, gen: gen, first: gen,
		jobs: map[ids.Job]*Job{}, gone: map[ids.Job]bool{},
		roster:        worker.NewRegistry(set.Params.Workers.LeaseS),
		hosts:         map[ids.Machine]*host{},
		shelves:       map[kind]*shelf{},
		byImage:       map[string]map[*host]bool{},
		leaving:       map[ids.Machine]bool{},
		due:           map[*host]bool{},
		dirty:         map[*Job]bool{},
		quota:         quota.NewBook(shard, set.Shards(), teamLimits(set), processStart),
		types:         map[string]*placement.Type{},
		rng:           rand.New(rand.NewPCG(uint64(gen), uint64(len(writer)))),
		trustSilence:  trustSilence,
		reserved:      map[ids.Machine]reservation{},
		warm:          map[string]*warmth{},
		returned:      map[ids.Machine]bool{},
		dark:          map[string]bool{},
		boots:         map[string]*boots{},
		limitHolds:    map[string]limitHold{},
		pipes:         newPipelines(),
		cancellations: map[ids.Job]ids.Revision{},
		Storing:       func() bool { return true },
		Starting:      func() (bool, time.Time) { return true, time.Now() },
		wakeCommit:    make(chan struct{}, 1), wakePlan: make(chan struct{}, 1),
	}
}

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// note appends to the job's trail, bounded.
func (b *ClusterState) note(j *Job, format string, args ...any) {
	limit := int(b.set.Own.TrailEvents)
	what := fmt.Sprintf(format, args...)
	slog.Debug("job", "id", j.Rec.Spec.ID, "what", what)
	if n := len(j.Rec.Trail); n > 0 && j.Rec.Trail[n-1].What == what {
		j.Rec.Trail[n-1].At = ids.WallOf(time.Now())
		return
	}
	j.Rec.Trail = append(j.Rec.Trail, record.Event{At: ids.WallOf(time.Now()), What: what})
	if len(j.Rec.Trail) > limit {
		j.Rec.Trail = append([]record.Event(nil), j.Rec.Trail[len(j.Rec.Trail)-limit:]...)
	}
}

// touch marks a job as changed.
func (b *ClusterState) touch(j *Job) {
	j.version++
	if b.jobs[j.Rec.Spec.ID] == j && !j.ended {
		if !b.dirty[j] {
			b.dirty[j], j.dirtySince = true, time.Now()
		}
		if j.Rec.Status.Over() {
			j.urgent = true
		}
	}
	if !j.Rec.Status.Over() && j.Rec.Status != record.Cancelling {
		if len(j.places) > 0 {
			j.Rec.Status = record.Claimed
		} else {
			j.Rec.Status = record.Queued
		}
	}
	if j.urgent {
		poke(b.wakeCommit)
	}
}

// hurry marks a job's change as one that others wait for: a marker before
// starts, or an end.
func (b *ClusterState) hurry(j *Job) {
	j.urgent = true
	poke(b.wakeCommit)
}

// unlist takes a job out of the cluster state.
func (b *ClusterState) unlist(j *Job) {
	delete(b.jobs, j.Rec.Spec.ID)
	delete(b.dirty, j)
	b.unqueue(j)
}

// cancel stops everything of a job whose user was, or is about to be, told.
func (b *ClusterState) cancel(j *Job) {
	if j.cancelled() || j.Rec.Status == record.Done {
		return
	}
	j.Rec.Status = record.Cancelling
	b.note(j, "cancelled by its user; %d tasks to stop", len(j.places))
	for _, i := range sortedTasks(j.places) {
		b.stop(j.places[i], 0, "cancelled")
	}
	b.cancelDependents(j.Rec.Spec.ID)
	b.finishIfOver(j)
}

// finishIfOver moves a job to its final status when nothing is left of it.
func (b *ClusterState) finishIfOver(j *Job) {
	switch {
	case j.Rec.Status.Over():
	case j.left() == 0 && j.Rec.Status != record.Cancelling:
		j.Rec.Status = record.Done
		b.note(j, "done")
		for _, i := range sortedTasks(j.places) {
			if p := j.places[i]; p.sent {
				p.stopping, p.why, p.stopAt = true, "job done", time.Now()
				b.owe(p)
			} else {
				b.dropPlace(p)
			}
		}
		b.touch(j)
	case j.Rec.Status == record.Cancelling && len(j.places) == 0:
		j.Rec.Status = record.Cancelled
		b.note(j, "all tasks gone")
		b.touch(j)
	}
}

// SetTypes stores the cloud's offer.
func (b *ClusterState) SetTypes(ts []placement.Type) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range ts {
		b.types[ts[i].Label] = &ts[i]
	}
	for _, s := range b.shelfOrder {
		if t := b.types[s.label]; t != nil {
			s.t = t
		}
	}
	for _, h := range b.hosts {
		b.shelve(h) // machines may have been heard before their type was known
	}
	b.reestimate()
}

// Generation is the token that this leader's commands carry now.
func (b *ClusterState) Generation() ids.Generation {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gen
}

// Close ends the cluster state: nothing more is planned or sent from it.
func (b *ClusterState) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lost = true
}

// Trust moves the time from which silent workers' lapses count forward, once
// no other controller can be answering them any more.
func (b *ClusterState) Trust(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !at.Before(b.trustSilence) {
		return
	}
	for _, m := range b.roster.Machines {
		if !m.Heard && m.LapseAt.Equal(b.trustSilence) {
			m.LapseAt = at
		}
	}
	b.trustSilence = at
}

// Machines is how many machines there are, as far as this leader knows. It takes
// no lock: every user's call asks.
func (b *ClusterState) Machines() int { return int(b.size.Load()) }
