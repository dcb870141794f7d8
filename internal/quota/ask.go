package quota

import (
	"cmp"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Demand is what a team's waiting jobs of one shard call for beside what is in use.
type Demand struct {
	// Unit is the least that is of use: what one task takes, or all of a gang.
	Unit Amount
	// Total is what all waiting jobs of the team take.
	Total Amount
	Rank  Rank
}

// Rank orders the demands of different shards for one team's allowance. All leaders order
// them alike, so that what is idle flows to the first, and two gangs that each hold a
// part never wait for each other.
type Rank struct {
	// Guaranteed tells that the demand lies within the team's guarantee.
	Guaranteed bool `json:"guaranteed,omitempty"`
	Priority   int  `json:"priority"`
	// Since is from when the first job of the demand has waited.
	Since ids.Wall `json:"since"`
}

// outweighs tells whether a rank goes before another by more than its age.
func (r Rank) outweighs(o Rank) bool {
	if r.Guaranteed != o.Guaranteed {
		return r.Guaranteed
	}
	return r.Priority > o.Priority
}

// Ask is a demand as other leaders see it: what the shard lacks beyond its idle allowance.
type Ask struct {
	// Missing is what one unit lacks. Wanted is what all of the demand lacks.
	Missing Amount `json:"missing"`
	Wanted  Amount `json:"wanted"`
	Rank    Rank   `json:"rank"`
}

// Asks is what one shard asks for, by team, as it is stored.
type Asks struct {
	Form  int            `json:"form"`
	Teams map[string]Ask `json:"teams"`
}

// asker is an ask and whose it is.
type asker struct {
	Ask
	shard Shard
}

// compare orders askers, the first to be served first.
func (a asker) compare(b asker) int {
	switch {
	case a.Rank.outweighs(b.Rank):
		return -1
	case b.Rank.outweighs(a.Rank):
		return 1
	}
	if c := cmp.Compare(a.Rank.Since, b.Rank.Since); c != 0 {
		return c
	}
	return cmp.Compare(a.shard, b.shard)
}

// sameAge is by how much the age of a demand may differ from the stored one unseen.
const sameAge = 5000 // milliseconds, as ids.Wall counts

// muchTheSame tells whether an ask differs so little from the stored one that writing it
// anew is not worth a change of the state service.
func (a Ask) muchTheSame(stored Ask) bool {
	if a.Rank.outweighs(stored.Rank) || stored.Rank.outweighs(a.Rank) || max(a.Rank.Since-stored.Rank.Since, stored.Rank.Since-a.Rank.Since) > sameAge {
		return false
	}
	return alike(a.Missing, stored.Missing) && alike(a.Wanted, stored.Wanted)
}

// alike tells whether neither amount is more than twice the other of any resource.
func alike(a, b Amount) bool {
	for r := range a {
		if max(a[r], b[r]) > 2*min(a[r], b[r]) {
			return false
		}
	}
	return true
}
