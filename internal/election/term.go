package election

import (
	"context"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/dispatch"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/wait"
)

const (
	// maxPlanInterval is the time between two planning passes when nothing changes; minPlanInterval is the
	// delay after each pass.
	maxPlanInterval = 500 * time.Millisecond
	minPlanInterval = 25 * time.Millisecond
	// commandSlotDivisor divides the number of sockets to machines; the dispatcher may use at most the
	// quotient.
	commandSlotDivisor = 4
)

// Term is a term in which this node leads a shard.
type Term struct {
	// Generation is the generation with which the term began. The cluster state's generation may increase
	// during the term.
	Generation ids.Generation
	Cluster    *clusterstate.State
	Committer  *commit.Committer
	Dispatcher *dispatch.Dispatcher
	// OpenProvisioningRequests are the provisioning requests that were stored at the takeover. They are set
	// before OnTerm is called.
	OpenProvisioningRequests []state.Entry

	lease     ids.Lease
	beganAt   time.Time
	authority *authority
	loaded    chan struct{} // closed once the records are loaded
	cancel    context.CancelFunc
}

// beginTerm starts a term. The term's goroutines end when its context is cancelled, which stepDown does.
func (e *Elector) beginTerm(ctx context.Context, acquired *acquiredLeadership) {
	now := time.Now()
	termCtx, cancel := context.WithCancel(ctx)
	term := e.newTerm(acquired, now)
	term.cancel = cancel
	e.store.Budget().RecordLeadershipChange(true)
	e.current.begin(term, now)
	slog.Info("leadership acquired", "shard", e.shard, "term", term.Generation, "firstToken", acquired.tokens.First, "node", e.settings.HostName)
	go func() {
		if e.loader.load(termCtx, term) {
			e.runTerm(termCtx, term)
		}
	}()
	go e.awaitPredecessorsStopped(termCtx, term, e.candidate.possibleLeaders(acquired.previous, now)...)
}

// newTerm returns a term with its components connected, but starts none of them.
func (e *Elector) newTerm(acquired *acquiredLeadership, now time.Time) *Term {
	term := &Term{
		Generation: acquired.generation(),
		Cluster:    e.newClusterState(acquired, now),
		lease:      acquired.lease,
		beganAt:    now,
		authority:  newAuthority(e.settings, e.pauses, e.caches.jobs.LastSyncedAt, acquired.grantedAt),
		loaded:     make(chan struct{}),
	}
	term.Cluster.StartsAllowed = func() (bool, time.Time) { return term.authority.mayStartTasks(), e.caches.jobs.LastSyncedAt() }
	term.Dispatcher = dispatch.New(term.Cluster, e.commander, e.settings.Sockets().ToMachines/commandSlotDivisor, term.authority.renewedSincePause)
	term.Committer = commit.New(term.Cluster, e.store, e.settings.HostName, e.keys, acquired.revision, commit.Events{
		// The committer calls Superseded in its own goroutine, which runs until the term's context ends.
		Superseded: func(reason string) { go e.stepDown(term, reason) },
		Stored:     term.Dispatcher.Wake,
	})
	return term
}

// newClusterState returns the cluster state of a term. A worker that has not reported to it counts as
// possibly alive until the grace period of an earlier leader and, after that, the worker's lease have
// expired.
func (e *Elector) newClusterState(acquired *acquiredLeadership, now time.Time) *clusterstate.State {
	trustSilence := now.Add(e.settings.LeaderGracePeriod().WithClockDrift() + e.settings.Params.Workers.LeaseS.WithClockDrift())
	cluster := clusterstate.NewShard(e.settings, acquired.writer, acquired.tokens, trustSilence, e.shard)
	cluster.StatusInOtherShard = e.changes.statusInOtherShard
	cluster.StoreAvailable = newStoreAvailabilityCheck(e.settings, e.store)
	return cluster
}

// newStoreAvailabilityCheck returns a function that reports whether the state service has answered within the
// last half of a lease's duration.
func newStoreAvailabilityCheck(settings *config.Settings, store *state.Client) func() bool {
	maxAge := leaseDuration(settings) / 2
	return func() bool {
		age, ok := store.SinceSuccess()
		return ok && age < maxAge
	}
}

// runTerm starts the components of a term. It is called once the records are loaded.
func (e *Elector) runTerm(ctx context.Context, term *Term) {
	go term.Committer.Run(ctx)
	go term.Committer.RunLookups(ctx)
	go term.Dispatcher.Run(ctx)
	go term.plan(ctx)
	if e.settings.ShardCount() > 1 {
		go term.exchangeAllowances(ctx, e.store, e.keys.Generation())
	}
	if e.OnTerm != nil {
		go e.OnTerm(ctx, term)
	}
}

// plan runs a planning pass, which assigns tasks to machines, after each change, at a bounded rate, and at
// least every maxPlanInterval.
func (t *Term) plan(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-t.Cluster.PlanRequested():
		case <-time.After(maxPlanInterval):
		}
		now := time.Now()
		t.Cluster.ExpireLeases(now)
		t.Cluster.Plan(now)
		t.Dispatcher.Wake()
		wait.For(ctx, minPlanInterval)
	}
}

// stepDown ends a term, unless it has ended already.
func (e *Elector) stepDown(term *Term, reason string) {
	if !e.current.end(term) {
		return
	}
	slog.Info("leadership lost", "shard", e.shard, "term", term.Generation, "node", e.settings.HostName, "why", reason)
	term.Cluster.Close()
	term.cancel()
	e.store.Budget().RecordLeadershipChange(false)
}
