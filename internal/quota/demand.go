package quota

import (
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Demand is what the pending jobs of a team in one shard need beside what is in use.
type Demand struct {
	// Unit is the least that is of use: what one task takes, or all of a gang.
	Unit Amount
	// Total is what all pending jobs of the team take.
	Total Amount
	Rank  Rank
}

// Rank orders the demands of different shards for one team's allowance. All leaders order
// them alike, so that idle allowance flows to the first, and two gangs that each have a
// part never wait for each other.
type Rank struct {
	// Guaranteed tells that the demand lies within the team's guarantee.
	Guaranteed bool `json:"guaranteed,omitempty"`
	Priority   int  `json:"priority"`
	// Since is from when the first job of the demand has been pending.
	Since ids.Timestamp `json:"since"`
}

// outranks reports whether a rank goes before another by more than its age.
func (r Rank) outranks(other Rank) bool {
	if r.Guaranteed != other.Guaranteed {
		return r.Guaranteed
	}
	return r.Priority > other.Priority
}
