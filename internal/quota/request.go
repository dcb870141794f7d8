package quota

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// Request is a demand as other leaders see it: what the shard lacks beyond its idle allowance.
type Request struct {
	// Missing is what one unit lacks. Wanted is what all of the demand lacks.
	Missing Amount `json:"missing"`
	Wanted  Amount `json:"wanted"`
	Rank    Rank   `json:"rank"`
}

// Requests is what one shard requests, by team, as it is stored.
type Requests struct {
	// Version is the version of the stored form.
	Version int                `json:"form"`
	Teams   map[string]Request `json:"teams"`
}

// shardRequest is a request and the shard that made it.
type shardRequest struct {
	Request
	shard Shard
}

// compare orders requests, the first to be served first.
func (r shardRequest) compare(other shardRequest) int {
	switch {
	case r.Rank.outranks(other.Rank):
		return -1
	case other.Rank.outranks(r.Rank):
		return 1
	}
	return cmp.Or(cmp.Compare(r.Rank.Since, other.Rank.Since), cmp.Compare(r.shard, other.shard))
}

// ageTolerance is by how much the age of a demand may differ from the stored one before the
// request is stored again, in milliseconds as ids.Wall counts.
const ageTolerance = 5000

// similarTo reports whether a request differs so little from the stored one that storing it
// again is not worth a write.
func (r Request) similarTo(stored Request) bool {
	if r.Rank.outranks(stored.Rank) || stored.Rank.outranks(r.Rank) {
		return false
	}
	older, newer := min(r.Rank.Since, stored.Rank.Since), max(r.Rank.Since, stored.Rank.Since)
	if newer-older > ageTolerance {
		return false
	}
	return similarAmounts(r.Missing, stored.Missing) && similarAmounts(r.Wanted, stored.Wanted)
}

// similarAmounts reports whether neither amount is more than twice the other of any resource.
func similarAmounts(a, b Amount) bool {
	for r := range a {
		if max(a[r], b[r]) > 2*min(a[r], b[r]) {
			return false
		}
	}
	return true
}

// requestInterval is the least time between two writes of a shard's requests. A request for a
// team that requested nothing before is written at once.
const requestInterval = 2 * time.Second

// requestBoard is what all shards request, as last read.
type requestBoard struct {
	own       Shard
	teams     map[Shard]map[string]Request
	revisions map[Shard]ids.Revision
	// ownStoredAt is when this shard's requests were last stored.
	ownStoredAt time.Time
}

func newRequestBoard(own Shard) requestBoard {
	return requestBoard{own: own, teams: map[Shard]map[string]Request{}, revisions: map[Shard]ids.Revision{}}
}

// apply replaces what a shard requests, and reports whether the change was newer than what
// was known. Requests only make transfers happen, so one that can't be read counts as none.
func (b *requestBoard) apply(shard Shard, change state.Change, now time.Time) bool {
	if change.Revision <= b.revisions[shard] {
		return false
	}
	b.revisions[shard] = change.Revision
	requests := Requests{}
	if change.Put != "" && json.Unmarshal(change.Value, &requests) != nil {
		requests = Requests{}
	}
	b.teams[shard] = requests.Teams
	if shard == b.own {
		b.ownStoredAt = now
	}
	return true
}

// hasOwn reports whether this shard's stored requests name a team.
func (b *requestBoard) hasOwn(team string) bool {
	_, found := b.teams[b.own][team]
	return found
}

// others lists what the other shards request of a team's allowance, in no order.
func (b *requestBoard) others(team string) []shardRequest {
	var requests []shardRequest
	for shard, byTeam := range b.teams {
		if request, found := byTeam[team]; found && shard != b.own {
			requests = append(requests, shardRequest{Request: request, shard: shard})
		}
	}
	return requests
}

// writeDue reports whether this shard's requests differ enough from the stored ones to be
// worth a write now.
func (b *requestBoard) writeDue(current map[string]Request, now time.Time) bool {
	stored := b.teams[b.own]
	changed := len(current) != len(stored)
	for team, request := range current {
		before, found := stored[team]
		if !found {
			return true
		}
		changed = changed || !request.similarTo(before)
	}
	return changed && now.Sub(b.ownStoredAt) >= requestInterval
}

// sorted puts requests in the order in which they are served.
func sorted(requests []shardRequest) []shardRequest {
	slices.SortFunc(requests, shardRequest.compare)
	return requests
}
