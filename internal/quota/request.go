package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// Request is one shard's demand for a team's allowance as other leaders see it: the amounts that the
// shard lacks beyond its idle allowance.
type Request struct {
	// Missing is the amount that one Unit of the demand lacks. Wanted is the amount that its Total lacks.
	Missing Amount `json:"missing"`
	Wanted  Amount `json:"wanted"`
	Rank    Rank   `json:"rank"`
}

// Requests is the stored record of one shard's requests, by team.
type Requests struct {
	// Version is the version of the stored format.
	Version int                `json:"form"`
	Teams   map[string]Request `json:"teams"`
}

// shardRequest is a Request and the shard that made it.
type shardRequest struct {
	Request
	shard Shard
}

// compare returns a negative number if r is served before other, and a positive one if after it.
func (r shardRequest) compare(other shardRequest) int {
	switch {
	case r.Rank.outranks(other.Rank):
		return -1
	case other.Rank.outranks(r.Rank):
		return 1
	}
	return cmp.Or(cmp.Compare(r.Rank.Since, other.Rank.Since), cmp.Compare(r.shard, other.shard))
}

// ageTolerance is the largest difference between Rank.Since of a request and of its stored version for
// which the request is not stored again. It is in milliseconds, the unit of ids.Timestamp.
const ageTolerance = 5000

// similarTo reports whether a request differs too little from its stored version to justify another
// write.
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

// similarAmounts reports whether, for every resource, neither amount is more than twice the other.
func similarAmounts(a, b Amount) bool {
	for r := range a {
		if max(a[r], b[r]) > 2*min(a[r], b[r]) {
			return false
		}
	}
	return true
}

// requestInterval is the minimum time between two writes of a shard's requests. A request for a team
// without a stored request is written without this delay.
const requestInterval = 2 * time.Second

// requestTable holds the requests of all shards, as last read from the state service.
type requestTable struct {
	own       Shard
	teams     map[Shard]map[string]Request
	revisions map[Shard]ids.Revision
	// ownStoredAt is the time at which this leader last learned that its shard's requests were stored.
	ownStoredAt time.Time
}

func newRequestTable(own Shard) requestTable {
	return requestTable{own: own, teams: map[Shard]map[string]Request{}, revisions: map[Shard]ids.Revision{}}
}

// apply replaces a shard's requests by those of a change, and reports whether the change was newer than
// the known requests. Requests that can't be decoded count as none: requests only cause transfers and
// never grant anything.
func (r *requestTable) apply(shard Shard, change state.Change, now time.Time) bool {
	if change.Revision <= r.revisions[shard] {
		return false
	}
	r.revisions[shard] = change.Revision
	requests := Requests{}
	if change.Put != "" && exactjson.Unmarshal(change.Value, &requests) != nil {
		requests = Requests{}
	}
	r.teams[shard] = requests.Teams
	if shard == r.own {
		r.ownStoredAt = now
	}
	return true
}

// hasOwn reports whether this shard's stored requests include one for the team.
func (r *requestTable) hasOwn(team string) bool {
	_, found := r.teams[r.own][team]
	return found
}

// others returns the other shards' requests for a team's allowance, in no particular order.
func (r *requestTable) others(team string) []shardRequest {
	var requests []shardRequest
	for shard, byTeam := range r.teams {
		if request, found := byTeam[team]; found && shard != r.own {
			requests = append(requests, shardRequest{Request: request, shard: shard})
		}
	}
	return requests
}

// writeDue reports whether this shard's current requests differ enough from its stored ones to justify
// a write now.
func (r *requestTable) writeDue(current map[string]Request, now time.Time) bool {
	stored := r.teams[r.own]
	changed := len(current) != len(stored)
	for team, request := range current {
		before, found := stored[team]
		if !found {
			return true
		}
		changed = changed || !request.similarTo(before)
	}
	return changed && now.Sub(r.ownStoredAt) >= requestInterval
}

// sortRequests sorts requests in place into the order in which they are served, and returns them.
func sortRequests(requests []shardRequest) []shardRequest {
	slices.SortFunc(requests, shardRequest.compare)
	return requests
}
