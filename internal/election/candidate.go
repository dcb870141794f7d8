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
	// campaignDelay is how much longer each controller waits than the one that prefers the shard
	// more, so that the leaders spread.
	campaignDelay = 150 * time.Millisecond
	// vacancyMemory is how long a vacancy that is not seen any more counts as the same one.
	vacancyMemory = time.Second
	// observationMargin is how much longer than a grace period a leader must have been observed
	// before nobody else may be answering heartbeats.
	observationMargin = time.Second
)

// candidate decides when this node campaigns for a shard, and campaigns.
type candidate struct {
	settings    *config.Settings
	store       *state.Client
	cache       *state.WatchCache // of the pool's keys
	shard       ids.Shard
	keys        record.ShardKeys
	incarnation string

	// What follows is used by the election loop alone (Elector.participate), and needs no lock:
	// vacantSince is since when the shard has been seen without a leader, and vacancySeenAt when it
	// last was.
	vacantSince, vacancySeenAt time.Time
	observed                   observedGeneration

	// mu guards what follows, since whoever resigns sets it; nothing is called under it.
	mu             sync.Mutex
	suspendedUntil time.Time // no campaign before
}

// observedGeneration is whose generation this node has seen in the store, and since when.
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

// suspend has this node not campaign for a while, so that others do.
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

// cachedLeader reads the shard's leader from this node's copy. While there is no copy, none is found.
func (c *candidate) cachedLeader() (leader leaderRecord, found bool, err error) {
	entry, found, ready := c.cache.Get(c.keys.Leader())
	if !ready || !found {
		return leaderRecord{}, false, nil
	}
	leader, err = decodeLeader(entry.Value)
	return leader, true, err
}

// cachedGeneration reads the shard's generation from this node's copy.
func (c *candidate) cachedGeneration() (generation commit.GenerationRecord, known bool) {
	entry, found, ready := c.cache.Get(c.keys.Generation())
	if !ready || !found {
		return commit.GenerationRecord{}, false
	}
	generation, err := decodeGeneration(entry.Value)
	return generation, err == nil
}

// isOwnWrite tells whether this process wrote a generation, in whatever term.
func (c *candidate) isOwnWrite(generation commit.GenerationRecord) bool {
	return strings.HasPrefix(generation.Writer, c.incarnation+"/")
}

// seesVacancy tells whether the shard looks as if it had no leader, or one that was an earlier
// process of this very node.
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

// isTurn tells whether it is this node's turn to campaign for a shard without a leader.
func (c *candidate) isTurn(now time.Time) bool {
	if c.settings.ShardCount() == 1 {
		return true
	}
	// A shard that was led since it was last seen vacant is vacant anew.
	if c.vacantSince.IsZero() || now.Sub(c.vacancySeenAt) > vacancyMemory {
		c.vacantSince = now
	}
	c.vacancySeenAt = now
	return now.Sub(c.vacantSince) >= time.Duration(c.preferenceRank())*campaignDelay
}

// preferenceRank is how many controllers prefer the shard more than this one does.
func (c *candidate) preferenceRank() int {
	names := controllerNames(c.settings)
	own := slices.Index(names, c.settings.HostName)
	return (own - int(c.shard)%len(names) + len(names)) % len(names)
}

// controllerNames are all controllers' names in order, the same at each of them.
func controllerNames(settings *config.Settings) []ids.Node {
	names := []ids.Node{settings.HostName}
	for _, peer := range settings.Peers {
		names = append(names, peer.HostName)
	}
	slices.Sort(names)
	return names
}

// preferredController is the controller that is to lead a shard if all are up.
func preferredController(settings *config.Settings, shard ids.Shard) ids.Node {
	names := controllerNames(settings)
	return names[int(shard)%len(names)]
}

// observeGeneration notes whose generation is stored and since when.
func (c *candidate) observeGeneration() {
	stored, known := c.cachedGeneration()
	if known && stored.Writer != c.observed.writer {
		c.observed = observedGeneration{stored.Writer, time.Now()}
	}
}

// possibleLeaders names the controllers that may still be answering heartbeats under an older
// generation: only the last leader, if this node has observed it for longer than the grace period of
// whoever led before it; otherwise none is named, and all must be asked. In a zone that is cut off
// there may be controllers, which cannot confirm anything, and need not.
func (c *candidate) possibleLeaders(previous commit.GenerationRecord, now time.Time) []ids.Node {
	if previous.Writer == "" || previous.Node == c.settings.HostName || previous.Writer != c.observed.writer {
		return nil
	}
	if now.Sub(c.observed.since) < c.settings.LeaderGracePeriod().WithClockDrift()+observationMargin {
		return nil
	}
	return []ids.Node{previous.Node}
}
