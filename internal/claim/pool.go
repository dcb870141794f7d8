package claim

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// leaderRecord is the value of pool/owner; the key is attached to the hold, so it
// goes away when its leader stops renewing.
type leaderRecord struct {
	Node       ids.Node       `json:"node"`
	Writer     string         `json:"writer"`
	Hold       ids.Lease      `json:"hold"`
	Generation ids.Generation `json:"generation"`
}

// Peers is what the pool asks of the other controllers.
type Peers interface {
	// AllStopped asks the named controllers, or every other if none is named, to
	// confirm that they answer no beats under an older generation; it is true
	// once all have.
	AllStopped(ctx context.Context, gen ids.Generation, of ...ids.Node) bool
	// Alone tells that none of the other controllers has been heard lately.
	Alone() bool
	// Served tells that another controller is up and served by the state service.
	Served(node ids.Node) bool
}

// Term is one spell of owning the pool.
type Term struct {
	Gen        ids.Generation
	Cluster    *ClusterState
	Committer  *Committer
	Dispatcher *Dispatcher
	Intents    []state.Entry
	hold       ids.Lease
	began      time.Time
	renewed    time.Time // when the last good renewal was sent
	loaded     chan struct{}
	cancel     context.CancelFunc
	done       sync.WaitGroup
}

// Pool is this controller's part in owning the machine pool.
type Pool struct {
	Set       *config.Settings
	State     *state.Client
	Commander *worker.Commander
	Peers     Peers
	// OnTerm starts what else runs during a term, such as the fleet's keeper.
	OnTerm func(ctx context.Context, t *Term)

	shard       ids.Shard
	keys        record.ShardKeys
	incarnation string
	mirror      *state.Mirror
	jobs        *state.Mirror
	still       processPause
	known       func() (ids.Node, bool) // who owns the pool
	readAt      func() time.Time        // of when the copy of the records is

	mu      sync.Mutex
	term    *Term
	resting time.Time  // no campaign before
	last    lastLeader // who owned the pool before this node
	// vacancy is since when the shard has been seen without a leader, and vacancySeen when
	// it last was.
	vacancy, vacancySeen time.Time
	hints                map[ids.Machine]Hint   // of the last leader heard
	heardTo              HintMark               // what of its hints is here
	sent                 map[ids.Machine]sentOn // workers sent on to the leader
}

// NewPool makes the client of a pool that is one shard; incarnation tells this process from
// its node's earlier ones.
func NewPool(set *config.Settings, c *state.Client, cmd *worker.Commander, incarnation string) *Pool {
	p := newPool(set, c, cmd, incarnation, 0, newMirrors(c))
	p.jobs.NotifyChanges(p.followJobs)
	return p
}

// mirrors are this node's copies of what is stored, which all its shards share.
type mirrors struct{ pool, jobs *state.Mirror }

func newMirrors(c *state.Client) mirrors {
	return mirrors{pool: state.NewMirror(c, record.PoolPrefix, 100*time.Millisecond), jobs: state.NewMirror(c, record.JobPrefix, 400*time.Millisecond)}
}

// newPool makes the client of one shard.
func newPool(set *config.Settings, c *state.Client, cmd *worker.Commander, incarnation string, shard ids.Shard, copies mirrors) *Pool {
	p := &Pool{Set: set, State: c, Commander: cmd, incarnation: incarnation, sent: map[ids.Machine]sentOn{},
		shard: shard, keys: record.KeysOf(shard, set.Shards()), mirror: copies.pool, jobs: copies.jobs}
	p.known = p.Leader
	p.readAt = p.jobs.AsOf
	return p
}

// followJobs takes in news of a job's records.
func (p *Pool) followJobs(ch state.Change) {
	id, kind := record.ParseKey(ch.Key())
	switch {
	case kind == record.WaitingRecord:
		p.learnWaiting(id, ch)
		return
	case ids.ShardOf(id, p.Set.Shards()) != p.shard:
		p.learnOfOtherShard(id, ch)
		return
	case kind == record.StoredCancellation:
		if b := p.Cluster(); b != nil {
			b.LearnCancellation(id, ch.Revision, ch.Put == "")
		}
		return
	}
	if ch.Put == "" {
		p.Learn(id, ch.Revision, nil)
		return
	}
	b := p.Cluster()
	if b == nil || b.wrote(ch.Value) {
		return
	}
	if rec, err := record.Decode(ch.Value); err == nil {
		p.Learn(id, ch.Revision, rec)
	}
}

// Jobs is this node's copy of the live records.
func (p *Pool) Jobs() *state.Mirror { return p.jobs }

// Run takes part until the context ends.
func (p *Pool) Run(ctx context.Context) {
	go p.mirror.Run(ctx)
	go p.jobs.Run(ctx)
	p.lead(ctx)
}

// lead takes part in leading the shard until the context ends.
func (p *Pool) lead(ctx context.Context) {
	p.still.onWake = p.woke
	go p.still.run(ctx)
	life := time.Duration(p.Set.Own.PoolHoldMs) * time.Millisecond
	for ctx.Err() == nil {
		if t := p.Term(); t != nil {
			// A renewal that hangs must not delay the next.
			go p.keep(ctx, t)
			go p.jobs.Sync(ctx)
			wait(ctx, life/5)
			continue
		}
		p.watchLeader()
		if p.vacant() && p.mayCampaign(time.Now()) {
			if err := p.campaign(ctx, life); err != nil {
				slog.Debug("campaign failed", "err", err)
				wait(ctx, 200*time.Millisecond)
			}
			continue
		}
		wait(ctx, 50*time.Millisecond)
	}
}

// Term is the present term, if this node owns the pool.
func (p *Pool) Term() *Term {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.term
}

// Cluster is the cluster state of the present term, if this node owns the pool.
func (p *Pool) Cluster() *ClusterState {
	if t := p.Term(); t != nil {
		return t.Cluster
	}
	return nil
}

// Leader is who owns the pool as far as this node knows.
func (p *Pool) Leader() (ids.Node, bool) {
	if p.Term() != nil {
		return p.Set.HostName, true
	}
	e, found, ready := p.mirror.Get(p.keys.Leader())
	if !ready || !found {
		return "", false
	}
	var o leaderRecord
	if json.Unmarshal(e.Value, &o) != nil || o.Node == p.Set.HostName {
		return "", false
	}
	return o.Node, true
}

// Types reads the machine types that a leader has stored.
func (p *Pool) Types() []placement.Type {
	e, found, _ := p.mirror.Get(record.TypesKey)
	if !found {
		return nil
	}
	var ts []placement.Type
	if json.Unmarshal(e.Value, &ts) != nil {
		return nil
	}
	return ts
}

func (p *Pool) runTerm(ctx context.Context, t *Term) {
	run := func(f func(context.Context)) {
		t.done.Add(1)
		go func() { defer t.done.Done(); f(ctx) }()
	}
	run(t.Committer.Run)
	run(t.Committer.lookUps)
	run(t.Dispatcher.Run)
	run(t.plan)
	if p.Set.Shards() > 1 {
		run(func(ctx context.Context) { p.exchangeAllowances(ctx, t) })
	}
	if p.OnTerm != nil {
		run(func(ctx context.Context) { p.OnTerm(ctx, t) })
	}
}

// plan claims whenever something changed, at a bounded pace.
func (t *Term) plan(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-t.Cluster.wakePlan:
		case <-time.After(500 * time.Millisecond):
		}
		now := time.Now()
		t.Cluster.Lapses(now)
		t.Cluster.Plan(now)
		t.Dispatcher.Wake()
		wait(ctx, 25*time.Millisecond)
	}
}

// keep renews the hold and ends the term when it is surely lost.
func (p *Pool) keep(ctx context.Context, t *Term) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.Set.Own.PoolHoldMs)*time.Millisecond/2)
	defer cancel()
	err := p.State.RenewLease(ctx, t.hold)
	switch {
	case err == nil:
		p.mu.Lock()
		if sent.After(t.renewed) {
			t.renewed = sent
		}
		p.mu.Unlock()
	case errors.Is(err, state.ErrNoLease):
		p.stepDown(t, "its hold ended")
	default:
		slog.Debug("renewal failed", "err", err)
	}
	p.checkDeaf(t)
	if e, found, ready := p.mirror.Get(p.keys.Generation()); ready && found {
		var g generationRec
		if json.Unmarshal(e.Value, &g) == nil && g.Generation > t.Cluster.Generation() && !strings.HasPrefix(g.Writer, p.incarnation+"/") {
			p.stepDown(t, "another leader raised the generation")
		}
	}
}

func (p *Pool) stepDown(t *Term, why string) {
	p.mu.Lock()
	if p.term != t {
		p.mu.Unlock()
		return
	}
	p.term = nil
	p.mu.Unlock()
	slog.Info("gave the machine pool up", "generation", t.Gen, "why", why)
	t.Cluster.Close()
	t.cancel()
	p.State.Budget().SetLeader(false)
}

// learnWaiting passes on news of a job that awaits others, if this node owns the pool.
func (p *Pool) learnWaiting(id ids.Job, ch state.Change) {
	b := p.Cluster()
	if b == nil {
		return
	}
	if ch.Put == "" {
		b.LearnWaiting(id, ch.Revision, nil, time.Now())
	} else if rec, err := record.DecodeWaiting(ch.Value); err == nil {
		b.LearnWaiting(id, ch.Revision, rec, time.Now())
	}
}

// Learn passes on what another controller wrote, if this node owns the pool.
func (p *Pool) Learn(id ids.Job, stamp ids.Revision, rec *record.Record) {
	if b := p.Cluster(); b != nil {
		b.Learn(id, stamp, rec, time.Now())
	}
}

// Explain tells why a job's tasks wait, if this node surely owns the pool: a leader
// that stood still, or can't renew its hold, might tell what is no longer so.
func (p *Pool) Explain(id ids.Job) ([]string, error) {
	t := p.Term()
	if t == nil {
		return nil, ErrNotLeader
	}
	if !p.Sure(t) {
		return []string{"the state service has not answered the pool's leader for a moment: nothing is started or stopped until it does"}, nil
	}
	select {
	case <-t.loaded:
	default:
		return []string{"the pool was taken over a moment ago: its new leader is still reading the records"}, nil
	}
	lines := t.Cluster.Explain(id)
	if lines == nil {
		lines = []string{"the pool's leader has not read of this job yet"}
	}
	return lines, nil
}

// ErrNotLeader tells that this node does not own the pool.
var ErrNotLeader = errors.New("not the pool's leader")
