package election

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/claim"
	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/dispatch"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/wait"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// leaderRecord is the value of pool/owner; the key is attached to the hold, so it
// goes away when its leader stops renewing.
type leaderRecord struct {
	Node       ids.Node       `json:"node"`
	Writer     string         `json:"writer"`
	Lease      ids.Lease      `json:"hold"`
	Generation ids.Generation `json:"generation"`
}

// Peers is what the pool asks of the other controllers.
type Peers interface {
	// AllStopped asks the named controllers, or every other if none is named, to
	// confirm that they answer no beats under an older generation; it is true
	// once all have.
	AllStopped(ctx context.Context, generation ids.Generation, of ...ids.Node) bool
	// Alone tells that none of the other controllers has been heard lately.
	Alone() bool
	// Served tells that another controller is up and served by the state service.
	Served(node ids.Node) bool
}

// Term is one spell of owning the pool.
type Term struct {
	Generation ids.Generation
	Cluster    *claim.ClusterState
	Committer  *commit.Committer
	Dispatcher *dispatch.Dispatcher
	OpenHires  []state.Entry
	lease      ids.Lease
	began      time.Time
	renewedAt  time.Time // when the last good renewal was sent
	loaded     chan struct{}
	cancel     context.CancelFunc
	done       sync.WaitGroup
}

// Elector is this controller's part in owning the machine pool.
type Elector struct {
	Settings  *config.Settings
	State     *state.Client
	Commander *worker.Commander
	Peers     Peers
	// OnTerm starts what else runs during a term, such as the fleet's keeper.
	OnTerm func(ctx context.Context, term *Term)

	shard         ids.Shard
	keys          record.ShardKeys
	incarnation   string
	poolMirror    *state.WatchCache
	jobMirror     *state.WatchCache
	pauses        pauseDetector
	knownLeader   func() (ids.Node, bool) // who owns the pool
	recordsReadAt func() time.Time        // of when the copy of the records is

	mu               sync.Mutex
	term             *Term
	noCampaignBefore time.Time  // no campaign before
	last             lastLeader // who owned the pool before this node
	// leaderlessSince is since when the shard has been seen without a leader, and vacancySeen when
	// it last was.
	leaderlessSince, leaderlessSeenAt time.Time
	hints                             claim.HintCache          // of the last leader heard
	redirects                         map[ids.Machine]redirect // workers sent on to the leader
}

// NewElector makes the client of a pool that is one shard; incarnation tells this process from
// its node's earlier ones.
func NewElector(settings *config.Settings, c *state.Client, commander *worker.Commander, incarnation string) *Elector {
	elector := newElector(settings, c, commander, incarnation, 0, newMirrors(c))
	elector.jobMirror.OnChange(elector.handleJobChange)
	return elector
}

// mirrors are this node's copies of what is stored, which all its shards share.
type mirrors struct{ pool, jobs *state.WatchCache }

func newMirrors(c *state.Client) mirrors {
	return mirrors{pool: state.NewWatchCache(c, record.PoolPrefix, 100*time.Millisecond), jobs: state.NewWatchCache(c, record.JobPrefix, 400*time.Millisecond)}
}

// newElector makes the client of one shard.
func newElector(settings *config.Settings, c *state.Client, commander *worker.Commander, incarnation string, shard ids.Shard, copies mirrors) *Elector {
	elector := &Elector{Settings: settings, State: c, Commander: commander, incarnation: incarnation, redirects: map[ids.Machine]redirect{},
		shard: shard, keys: record.KeysOf(shard, settings.ShardCount()), poolMirror: copies.pool, jobMirror: copies.jobs}
	elector.knownLeader = elector.Leader
	elector.recordsReadAt = elector.jobMirror.AsOf
	return elector
}

// Jobs is this node's copy of the live records.
func (e *Elector) Jobs() *state.WatchCache { return e.jobMirror }

// Run takes part until the context ends.
func (e *Elector) Run(ctx context.Context) {
	go e.poolMirror.Run(ctx)
	go e.jobMirror.Run(ctx)
	e.participate(ctx)
}

// participate takes part in leading the shard until the context ends.
func (e *Elector) participate(ctx context.Context) {
	e.pauses.onResume = e.processResumed
	go e.pauses.run(ctx)
	life := time.Duration(e.Settings.Operator.PoolHoldMs) * time.Millisecond
	for ctx.Err() == nil {
		if term := e.Term(); term != nil {
			// A renewal that hangs must not delay the next.
			go e.renewLease(ctx, term)
			go e.jobMirror.Sync(ctx)
			wait.For(ctx, life/5)
			continue
		}
		e.watchLeader()
		if e.leaderless() && e.mayCampaign(time.Now()) {
			if err := e.campaign(ctx, life); err != nil {
				slog.Debug("campaign failed", "err", err)
				wait.For(ctx, 200*time.Millisecond)
			}
			continue
		}
		wait.For(ctx, 50*time.Millisecond)
	}
}

// Term is the present term, if this node owns the pool.
func (e *Elector) Term() *Term {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term
}

// Cluster is the cluster state of the present term, if this node owns the pool.
func (e *Elector) Cluster() *claim.ClusterState {
	if term := e.Term(); term != nil {
		return term.Cluster
	}
	return nil
}

// Leader is who owns the pool as far as this node knows.
func (e *Elector) Leader() (ids.Node, bool) {
	if e.Term() != nil {
		return e.Settings.HostName, true
	}
	entry, found, ready := e.poolMirror.Get(e.keys.Leader())
	if !ready || !found {
		return "", false
	}
	var leader leaderRecord
	if json.Unmarshal(entry.Value, &leader) != nil || leader.Node == e.Settings.HostName {
		return "", false
	}
	return leader.Node, true
}

// Types reads the machine types that a leader has stored.
func (e *Elector) Types() []placement.InstanceType {
	entry, found, _ := e.poolMirror.Get(record.TypesKey)
	if !found {
		return nil
	}
	var types []placement.InstanceType
	if json.Unmarshal(entry.Value, &types) != nil {
		return nil
	}
	return types
}

func (e *Elector) runTerm(ctx context.Context, term *Term) {
	run := func(f func(context.Context)) {
		term.done.Add(1)
		go func() { defer term.done.Done(); f(ctx) }()
	}
	run(term.Committer.Run)
	run(term.Committer.RunLookups)
	run(term.Dispatcher.Run)
	run(term.plan)
	if e.Settings.ShardCount() > 1 {
		run(func(ctx context.Context) { e.exchangeAllowances(ctx, term) })
	}
	if e.OnTerm != nil {
		run(func(ctx context.Context) { e.OnTerm(ctx, term) })
	}
}

// plan claims whenever something changed, at a bounded pace.
func (term *Term) plan(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-term.Cluster.PlanWanted():
		case <-time.After(500 * time.Millisecond):
		}
		now := time.Now()
		term.Cluster.ExpireLeases(now)
		term.Cluster.Plan(now)
		term.Dispatcher.Wake()
		wait.For(ctx, 25*time.Millisecond)
	}
}

// renewLease renews the hold and ends the term when it is surely lost.
func (e *Elector) renewLease(ctx context.Context, term *Term) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(e.Settings.Operator.PoolHoldMs)*time.Millisecond/2)
	defer cancel()
	err := e.State.RenewLease(ctx, term.lease)
	switch {
	case err == nil:
		e.mu.Lock()
		if sent.After(term.renewedAt) {
			term.renewedAt = sent
		}
		e.mu.Unlock()
	case errors.Is(err, state.ErrNoLease):
		e.stepDown(term, "its hold ended")
	default:
		slog.Debug("renewal failed", "err", err)
	}
	e.checkIsolation(term)
	if entry, found, ready := e.poolMirror.Get(e.keys.Generation()); ready && found {
		var stored commit.GenerationRecord
		if json.Unmarshal(entry.Value, &stored) == nil && stored.Generation > term.Cluster.Generation() && !strings.HasPrefix(stored.Writer, e.incarnation+"/") {
			e.stepDown(term, "another leader raised the generation")
		}
	}
}

func (e *Elector) stepDown(term *Term, why string) {
	e.mu.Lock()
	if e.term != term {
		e.mu.Unlock()
		return
	}
	e.term = nil
	e.mu.Unlock()
	slog.Info("gave the machine pool up", "generation", term.Generation, "why", why)
	term.Cluster.Close()
	term.cancel()
	e.State.Budget().LeadershipChanged(false)
}

// ReceiveHints keeps a leader's hints for the case that this node comes next.
func (e *Elector) ReceiveHints(hints []claim.Hint, to claim.HintPosition) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.term == nil {
		e.hints.Receive(hints, to)
	}
}

// HintPosition is what to ask the leader's hints from.
func (e *Elector) HintPosition() claim.HintPosition {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hints.Position()
}
