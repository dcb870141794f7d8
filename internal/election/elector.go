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
	// renewalsPerLease is the number of renewals sent during one lease duration.
	renewalsPerLease = 5
	// vacancyCheckInterval is the interval between checks whether the shard has a leader.
	vacancyCheckInterval = 50 * time.Millisecond
	// campaignRetryDelay is the delay after a failed campaign.
	campaignRetryDelay = 200 * time.Millisecond
)

// Peers is the interface through which an elector queries the other controllers.
type Peers interface {
	// AllConfirmStopped asks the named controllers, or all others if none is named, to confirm that they no
	// longer answer heartbeats under a generation older than this one. It reports whether all have confirmed.
	AllConfirmStopped(ctx context.Context, generation ids.Generation, nodes ...ids.Node) bool
	// NoPeerUp reports whether there are other controllers and none of them is up, as far as this node knows.
	NoPeerUp() bool
	// PeerReachesStore reports whether another controller is up and the state service answers it.
	PeerReachesStore(node ids.Node) bool
}

// Elector takes part in the leader election of one shard, and leads the shard during its terms. Its fields
// either don't change after Run is called or are safe for concurrent use.
type Elector struct {
	// Peers gives access to the other controllers; nil if there are none. It must be set before Run.
	Peers Peers
	// OnTerm runs additional components during a term, such as the fleet's provisioner. It is called in a
	// goroutine of its own once the records are loaded; its context ends with the term. It must be set
	// before Run.
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

// NewElector returns the elector of a pool with a single shard. incarnation distinguishes this process from
// earlier processes on its node.
func NewElector(settings *config.Settings, store *state.Client, commander *worker.Commander, incarnation string) *Elector {
	elector := newElector(settings, store, commander, incarnation, 0, newWatchCaches(store))
	elector.caches.jobs.OnChange(elector.changes.handleJobChange)
	return elector
}

// newElector returns the elector of one shard. The caller connects the elector's change feed to the watch
// caches.
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

// leaseDuration returns how long a leader's lease lasts after its last renewal.
func leaseDuration(settings *config.Settings) time.Duration {
	return time.Duration(settings.Operator.PoolHoldMs) * time.Millisecond
}

// Jobs returns this node's cache of the live records.
func (e *Elector) Jobs() *state.WatchCache { return e.caches.jobs }

// Run takes part in the election of a pool with a single shard, and leads the pool whenever this node is
// elected, until the context ends.
func (e *Elector) Run(ctx context.Context) {
	e.caches.run(ctx)
	e.runElection(ctx)
}

// runElection runs the election loop of the shard until the context ends: it campaigns while the shard has
// no leader, and renews the lease while this node leads.
func (e *Elector) runElection(ctx context.Context) {
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
		acquired, err := e.candidate.campaign(ctx)
		if err != nil {
			slog.Debug("campaign failed", "shard", e.shard, "err", err)
			wait.For(ctx, campaignRetryDelay)
			continue
		}
		e.beginTerm(ctx, acquired)
	}
}

// refreshRecords updates the cache of the records. The authority to answer heartbeats and to start tasks
// depends on the cache's age.
func (e *Elector) refreshRecords(ctx context.Context) {
	_ = e.caches.jobs.Sync(ctx) // after a failure the cache's age keeps growing, which the authority checks
}

// Term returns the current term; nil if this node does not lead the shard.
func (e *Elector) Term() *Term { return e.current.get() }

// Cluster returns the cluster state of the current term; nil if this node does not lead the shard.
func (e *Elector) Cluster() *clusterstate.State {
	if term := e.Term(); term != nil {
		return term.Cluster
	}
	return nil
}

// Leader returns the shard's leader, as far as this node knows.
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

// ReceiveHints stores hints of the shard's leader, in case this node leads the shard next.
func (e *Elector) ReceiveHints(hints []clusterstate.Hint, to clusterstate.HintPosition) {
	e.current.receiveHints(hints, to)
}

// HintPosition returns the position from which to request the leader's next hints.
func (e *Elector) HintPosition() clusterstate.HintPosition { return e.current.hintPosition() }

// HandleRecord forwards to the cluster state a job's record that another controller wrote, if this node leads
// the shard. rec is nil if the record was deleted.
func (e *Elector) HandleRecord(id ids.Job, revision ids.Revision, rec *record.Record) {
	e.changes.handleRecord(id, revision, rec)
}

// processResumed resets the liveness of all machines after a pause of this process: the reports of machines
// that seem silent may not have been processed during the pause.
func (e *Elector) processResumed() {
	if cluster := e.Cluster(); cluster != nil {
		cluster.ResetLiveness(time.Now())
	}
}
