package election

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

const (
	// campaignDelay is multiplied by a controller's preference rank for a shard. The product is the delay
	// before the controller campaigns, so that the shards spread over the controllers.
	campaignDelay = 150 * time.Millisecond
	// maxVacancyGap is the longest gap between two observations of a vacancy that count as the same
	// vacancy.
	maxVacancyGap = time.Second
	// observationMargin is added to the grace period of a leader: once this node has observed one leader
	// for longer than the sum, no earlier leader can still be answering heartbeats.
	observationMargin = time.Second
)

// candidate decides when this node campaigns for a shard, and runs the campaigns.
type candidate struct {
	settings    *config.Settings
	store       *state.Client
	cache       *state.WatchCache // of the pool's keys
	shard       ids.Shard
	keys        record.ShardKeys
	incarnation string

	// The next fields are used only by the election loop (Elector.runElection) and need no lock.
	// vacantSince and vacancyLastSeenAt are when the current vacancy of the shard was first and last observed.
	vacantSince, vacancyLastSeenAt time.Time
	observed                       observedGeneration

	// mu guards the field below, which any goroutine that resigns sets. No other lock is acquired and no
	// callback runs while mu is held.
	mu             sync.Mutex
	suspendedUntil time.Time // time before which this node does not campaign
}

// observedGeneration is the writer of the generation that this node last saw in the store, and when the
// node first saw it.
type observedGeneration struct {
	writer string
	since  time.Time
}

func newCandidate(settings *config.Settings, store *state.Client, cache *state.WatchCache, shard ids.Shard, incarnation string) *candidate {
	return &candidate{
		settings:    settings,
		store:       store,
		cache:       cache,
		shard:       shard,
		keys:        record.KeysOf(shard, settings.ShardCount()),
		incarnation: incarnation,
	}
}

// suspend keeps this node from campaigning for a duration, so that another controller can win the shard.
func (c *candidate) suspend(duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspendedUntil = time.Now().Add(duration)
}

func (c *candidate) suspended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.suspendedUntil)
}

// cachedLeader returns the shard's leader from this node's cache. Until the cache is filled, no leader is
// found.
func (c *candidate) cachedLeader() (leader leaderRecord, found bool, err error) {
	entry, found, ready := c.cache.Get(c.keys.Leader())
	if !ready || !found {
		return leaderRecord{}, false, nil
	}
	leader, err = decodeLeader(entry.Value)
	return leader, true, err
}

// cachedGeneration returns the shard's generation from this node's cache.
func (c *candidate) cachedGeneration() (generation commit.GenerationRecord, known bool) {
	entry, found, ready := c.cache.Get(c.keys.Generation())
	if !ready || !found {
		return commit.GenerationRecord{}, false
	}
	generation, err := decodeGeneration(entry.Value)
	return generation, err == nil
}

// isOwnWrite reports whether this process wrote a generation, in any of its terms.
func (c *candidate) isOwnWrite(generation commit.GenerationRecord) bool {
	return strings.HasPrefix(generation.Writer, c.incarnation+"/")
}

// seesVacancy reports whether, by this node's cache, the shard has no leader or its leader is an earlier
// process of this node. It reports false while campaigns are suspended.
func (c *candidate) seesVacancy() bool {
	if c.suspended() {
		return false
	}
	entry, found, ready := c.cache.Get(c.keys.Leader())
	if !ready {
		return false
	}
	if !found {
		return true
	}
	leader, err := decodeLeader(entry.Value)
	return err == nil && leader.Node == c.settings.HostName
}

// isTurn reports whether this node has waited for the controllers that prefer the shard more, and may
// campaign for it now. The caller has observed that the shard has no leader.
func (c *candidate) isTurn(now time.Time) bool {
	if c.settings.ShardCount() == 1 {
		return true
	}
	// A longer gap between observations means that the shard had a leader in between.
	if c.vacantSince.IsZero() || now.Sub(c.vacancyLastSeenAt) > maxVacancyGap {
		c.vacantSince = now
	}
	c.vacancyLastSeenAt = now
	return now.Sub(c.vacantSince) >= time.Duration(c.preferenceRank())*campaignDelay
}

// preferenceRank returns the number of controllers that prefer the shard more than this one does.
func (c *candidate) preferenceRank() int {
	names := controllerNames(c.settings)
	own := slices.Index(names, c.settings.HostName)
	return (own - int(c.shard)%len(names) + len(names)) % len(names)
}

// controllerNames returns the names of all controllers, sorted, so that every controller has the same list.
func controllerNames(settings *config.Settings) []ids.Node {
	names := []ids.Node{settings.HostName}
	for _, peer := range settings.Peers {
		names = append(names, peer.HostName)
	}
	slices.Sort(names)
	return names
}

// preferredController returns the controller that should lead a shard if all controllers are up.
func preferredController(settings *config.Settings, shard ids.Shard) ids.Node {
	names := controllerNames(settings)
	return names[int(shard)%len(names)]
}

// observeGeneration records the writer of the generation in the cache, and when this node first saw it.
func (c *candidate) observeGeneration() {
	stored, known := c.cachedGeneration()
	if known && stored.Writer != c.observed.writer {
		c.observed = observedGeneration{stored.Writer, time.Now()}
	}
}

// possibleLeaders returns the controllers that may still be answering heartbeats under an older generation.
// If this node has observed the last leader for longer than the grace period of the leader before it, only
// the last leader is returned. Otherwise the result is nil, and all controllers must be asked. Naming only
// the last leader keeps a takeover from waiting for controllers in an unreachable zone, which can't confirm
// that they have stopped and don't need to.
func (c *candidate) possibleLeaders(previous commit.GenerationRecord, now time.Time) []ids.Node {
	if previous.Writer == "" || previous.Node == c.settings.HostName || previous.Writer != c.observed.writer {
		return nil
	}
	if now.Sub(c.observed.since) < c.settings.LeaderGracePeriod().WithClockDrift()+observationMargin {
		return nil
	}
	return []ids.Node{previous.Node}
}
