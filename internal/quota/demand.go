package quota

import (
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Demand is the resources that a team's pending jobs in one shard need in addition to those in use.
type Demand struct {
	// Unit is the smallest useful grant: the resources of one task, or of a whole gang.
	Unit Amount
	// Total is the resources of all pending jobs of the team in the shard.
	Total Amount
	Rank  Rank
}

// Rank orders the demands of different shards for one team's allowance. All leaders use the same
// order, so idle allowance goes to the highest-ranked demand. Two gangs that each hold a part of
// the allowance they need therefore never wait for each other.
type Rank struct {
	// Guaranteed reports that the demand is within the team's guarantee.
	Guaranteed bool `json:"guaranteed,omitempty"`
	Priority   int  `json:"priority"`
	// Since is the time since which the first job of the demand has been pending.
	Since ids.Timestamp `json:"since"`
}

// outranks reports whether r precedes other because of its guarantee or priority. It ignores age.
func (r Rank) outranks(other Rank) bool {
	if r.Guaranteed != other.Guaranteed {
		return r.Guaranteed
	}
	return r.Priority > other.Priority
}
