package election

import (
	"context"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/wait"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

const (
	// renewalsPerLease is how many renewals are sent while a lease lasts.
	renewalsPerLease = 5
	// vacancyCheckInterval spaces the looks at whether the shard has a leader.
	vacancyCheckInterval = 50 * time.Millisecond
	// campaignRetryDelay is the wait after a campaign that failed.
	campaignRetryDelay = 200 * time.Millisecond
)

// Peers is what an elector asks of the other controllers.
type Peers interface {
	// AllStopped asks the named controllers, or every other if none is named, to confirm that they
	// answer no heartbeats under an older generation; it is true once all have.
	AllStopped(ctx context.Context, generation ids.Generation, of ...ids.Node) bool
	// Alone tells that none of the other controllers has been heard lately.
	Alone() bool
	// Served tells that another controller is up and served by the state service.
	Served(node ids.Node) bool
}

// Elector takes part in the leader election of one shard, and leads the shard during its terms. All
// that it has is set before Run, or guards itself.
type Elector struct {
	// Peers are the other controllers; nil if there are none. It is set before Run.
	Peers Peers
	// OnTerm starts what else runs during a term, such as the fleet's provisioner; it is called in a
	// goroutine of the term, and its context ends with the term. It is set before Run.
	OnTerm func(ctx context.Context, term *Term)

	settings  *config.Settings
	store     *state.Client
	commander *worker.Commander
	shard     ids.Shard
	keys      record.ShardKeys
	caches    watchCaches
	candidate *candidate
	pauses    *pauseDetector
	changes   *changeFeed
	loader    *recordLoader
	redirects *redirectTracker
	current   currentTerm
}

// NewElector makes the elector of a pool that is one shard; incarnation tells this process from
// its node's earlier ones.
func NewElector(settings *config.Settings, store *state.Client, commander *worker.Commander, incarnation string) *Elector {
	elector := newElector(settings, store, commander, incarnation, 0, newWatchCaches(store))
	elector.caches.jobs.OnChange(elector.changes.handleJobChange)
	return elector
}

// newElector makes the elector of one shard. Whoever makes it has its change feed told of changes.
func newElector(settings *config.Settings, store *state.Client, commander *worker.Commander, incarnation string, shard ids.Shard, caches watchCaches) *Elector {
	keys := record.KeysOf(shard, settings.ShardCount())
	elector := &Elector{
		settings:  settings,
		store:     store,
		commander: commander,
		shard:     shard,
		keys:      keys,
		caches:    caches,
		candidate: newCandidate(settings, store, caches.pool, shard, incarnation),
		loader:    &recordLoader{settings: settings, store: store, jobs: caches.jobs, keys: keys, shard: shard},
		redirects: newRedirectTracker(),
	}
	elector.pauses = newPauseDetector(elector.processResumed)
	elector.changes = &changeFeed{settings: settings, shard: shard, jobs: caches.jobs, cluster: elector.Cluster}
	return elector
}

// leaseDuration is how long a leader's lease lasts from its last renewal.
func leaseDuration(settings *config.Settings) time.Duration {
	return time.Duration(settings.Operator.PoolHoldMs) * time.Millisecond
}

// Jobs is this node's copy of the live records.
func (e *Elector) Jobs() *state.WatchCache { return e.caches.jobs }

// Run takes part in the election, and leads the pool whenever it is elected, until the context ends.
func (e *Elector) Run(ctx context.Context) {
	e.caches.run(ctx)
	e.participate(ctx)
}

// participate takes part in leading the shard until the context ends.
func (e *Elector) participate(ctx context.Context) {
	go e.pauses.run(ctx)
	for ctx.Err() == nil {
		if term := e.Term(); term != nil {
			// A renewal that hangs must not delay the next.
			go e.renewLease(ctx, term)
			go e.refreshRecords(ctx)
			wait.For(ctx, leaseDuration(e.settings)/renewalsPerLease)
			continue
		}
		e.candidate.observeGeneration()
		if !e.candidate.seesVacancy() || !e.candidate.isTurn(time.Now()) {
			wait.For(ctx, vacancyCheckInterval)
			continue
		}
		won, err := e.candidate.campaign(ctx)
		if err != nil {
			slog.Debug("campaign failed", "shard", e.shard, "err", err)
			wait.For(ctx, campaignRetryDelay)
			continue
		}
		e.beginTerm(ctx, won)
	}
}

// refreshRecords brings the copy of the records up to date, on which the authority to answer
// heartbeats and to start tasks depends.
func (e *Elector) refreshRecords(ctx context.Context) {
	_ = e.caches.jobs.Sync(ctx) // after a failure the copy's age tells
}

// Term is the present term; nil if this node does not lead the shard.
func (e *Elector) Term() *Term { return e.current.get() }

// Cluster is the cluster state of the present term; nil if this node does not lead the shard.
func (e *Elector) Cluster() *clusterstate.State {
	if term := e.Term(); term != nil {
		return term.Cluster
	}
	return nil
}

// Leader is who leads the shard as far as this node knows.
func (e *Elector) Leader() (node ids.Node, known bool) {
	if e.Term() != nil {
		return e.settings.HostName, true
	}
	leader, found, err := e.candidate.cachedLeader()
	if !found || err != nil || leader.Node == e.settings.HostName {
		return "", false
	}
	return leader.Node, true
}

// ReceiveHints keeps a leader's hints for the case that this node leads next.
func (e *Elector) ReceiveHints(hints []clusterstate.Hint, to clusterstate.HintPosition) {
	e.current.receiveHints(hints, to)
}

// HintPosition is what to ask the leader's hints from.
func (e *Elector) HintPosition() clusterstate.HintPosition { return e.current.hintPosition() }

// HandleRecord passes on what another controller wrote to a job's record, if this node leads the
// shard; rec is nil if the record is gone.
func (e *Elector) HandleRecord(id ids.Job, revision ids.Revision, rec *record.Record) {
	e.changes.handleRecord(id, revision, rec)
}

// processResumed has the machines judged anew after a pause: one that looks silent was perhaps
// only not listened to.
func (e *Elector) processResumed() {
	if cluster := e.Cluster(); cluster != nil {
		cluster.ResetLiveness(time.Now())
	}
}
