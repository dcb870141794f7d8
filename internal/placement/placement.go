// Package placement holds the pure decisions: which machine a task goes to,
// whom it may displace, and what to rent. It keeps no state and does no calls.
package placement

import (
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Room is an amount of each resource.
type Room struct{ Cores, Accels, RAM float64 }

// Plus, Minus and Times do arithmetic on amounts.
func (r Room) Plus(o Room) Room {
	return Room{r.Cores + o.Cores, r.Accels + o.Accels, r.RAM + o.RAM}
}

// Minus subtracts.
func (r Room) Minus(o Room) Room {
	return Room{r.Cores - o.Cores, r.Accels - o.Accels, r.RAM - o.RAM}
}

// Times multiplies.
func (r Room) Times(n float64) Room { return Room{r.Cores * n, r.Accels * n, r.RAM * n} }

const eps = 1e-6

// Holds tells whether o fits into r.
func (r Room) Holds(o Room) bool {
	return o.Cores <= r.Cores+eps && o.Accels <= r.Accels+eps && o.RAM <= r.RAM+eps
}

// Count is how many times o fits into r, at most limit.
func (r Room) Count(o Room, limit int) int {
	n := limit
	for _, p := range [][2]float64{{r.Cores, o.Cores}, {r.Accels, o.Accels}, {r.RAM, o.RAM}} {
		if p[1] > eps {
			n = min(n, int((p[0]+eps)/p[1]))
		}
	}
	return max(n, 0)
}

// Type is a machine type on offer.
type Type struct {
	Label      string      `json:"label"`
	Cores      float64     `json:"cores"`
	Accels     float64     `json:"accelerators"`
	RAM        float64     `json:"ramGb"`
	CacheGB    float64     `json:"localGb"`
	PullGBPerS float64     `json:"pullGbPerS"`
	Price      float64     `json:"price"`
	SpotPrice  float64     `json:"marketPrice"`
	BootS      ids.Seconds `json:"bootS"`
	Zones      []string    `json:"yards"`
}

// Room is the type's whole capacity.
func (t Type) Room() Room { return Room{t.Cores, t.Accels, t.RAM} }

// PriceOf is the hourly price of its spot or ordinary kind.
func (t Type) PriceOf(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// Ask is what one task wants of its machine.
type Ask struct {
	Need    Room
	Types   []string // nil: any
	Zone    string   // empty: any
	Spot    bool     // spot machines allowed
	Image   string
	ImageGB float64
	Long    bool // stays until it is cancelled
}

// Allows tells whether the ask may run on such a machine at all.
func (a *Ask) Allows(label, zone string, spot bool) bool {
	if spot && !a.Spot || a.Zone != "" && a.Zone != zone {
		return false
	}
	return a.Types == nil || slices.Contains(a.Types, label)
}

// Machine is a machine as placement sees it.
type Machine struct {
	Name  ids.Machine
	Type  *Type
	Zone  string
	Spot  bool
	Free  Room
	Warm  bool // holds the image asked for, or fetches it already
	Holds bool // holds it for sure, so that a task starts at once
	Pulls int  // other images it is fetching, which share its rate
	Hush  bool // fetches for work of higher priority, not to be slowed
	Avoid bool // failed this very task before
	Held  bool // its room was freed for somebody else
	Going bool // to be returned once empty; dear ones still take work with accelerators
}

// Score is the price of a choice in rough seconds; less is better. Fetching
// counts as the time it takes; leftover room as fragmentation; a machine with
// accelerators or an ordinary one is kept for those that need it.
func Score(m *Machine, a *Ask) float64 {
	s := 0.0
	if !m.Warm {
		s += a.ImageGB / max(m.Type.PullGBPerS, 0.01) * float64(1+m.Pulls)
		if m.Hush {
			s += 30
		}
	}
	if m.Warm && !m.Holds {
		s += a.ImageGB / max(m.Type.PullGBPerS, 0.01) / 2 // half of it is still to come
	}
	left := m.Free.Minus(a.Need)
	s += 2 * (left.Cores/max(m.Type.Cores, 1) + left.RAM/max(m.Type.RAM, 1))
	if a.Need.Accels == 0 && m.Type.Accels > 0 {
		s += 3
		if a.Long {
			s += 60 // it would keep the dear machine from being returned
		}
	}
	if a.Spot && !m.Spot {
		s += 2
	}
	if m.Avoid {
		s += 1000
	}
	return s
}
