// Package quota decides what each team may still have when several leaders grant at the
// same moment. A team's limit is split into allowances, one for each shard of the machine
// pool. The leader of a shard grants within its own allowance and writes nothing for that;
// allowances move between shards by conditional transactions of the state service. The
// stored allowances of a team never add up to more than its limit, so neither does its
// use, whoever pauses, dies or is cut off.
//
// Ledger is the stored form and its transitions, Book a leader's side of it, and Exchange
// carries out a Book's transfers. See docs/quota.md.
package quota

import (
	"fmt"
	"math"

	"github.com/pebbletrail/pebbletrail/internal/placement"
)

// Resource numbers the resources that are limited, each by itself.
type Resource int

// The resources in the order in which they are stored.
const (
	Cores Resource = iota
	Accelerators
	Memory
	resourceCount
)

// Unlimited is the limit of a resource that has none.
const Unlimited = -1

// unitsPerWhole is how finely resources are counted: whole numbers add up exactly.
const unitsPerWhole = 1000

// dust is what rounding of decimal numbers may leave behind.
const dust = 1e-6

// Amount is how much of each resource, in thousandths.
type Amount [resourceCount]int64

// AmountOf rounds room up to whole thousandths.
func AmountOf(room placement.Room) Amount {
	up := func(value float64) int64 { return int64(math.Ceil(value*unitsPerWhole - dust)) }
	return Amount{Cores: up(room.Cores), Accelerators: up(room.Accels), Memory: up(room.RAM)}
}

// Room converts back.
func (a Amount) Room() placement.Room {
	whole := func(r Resource) float64 { return float64(a[r]) / unitsPerWhole }
	return placement.Room{Cores: whole(Cores), Accels: whole(Accelerators), RAM: whole(Memory)}
}

// combine applies a function to each resource of two amounts.
func (a Amount) combine(b Amount, f func(x, y int64) int64) (out Amount) {
	for r := range a {
		out[r] = f(a[r], b[r])
	}
	return out
}

// Plus adds.
func (a Amount) Plus(b Amount) Amount { return a.combine(b, func(x, y int64) int64 { return x + y }) }

// Minus subtracts; what would fall below zero becomes zero.
func (a Amount) Minus(b Amount) Amount {
	return a.combine(b, func(x, y int64) int64 { return max(0, x-y) })
}

// Min is the smaller of each resource.
func (a Amount) Min(b Amount) Amount {
	return a.combine(b, func(x, y int64) int64 { return min(x, y) })
}

// Covers tells whether b fits into a.
func (a Amount) Covers(b Amount) bool { return b.Minus(a).IsZero() }

// IsZero tells whether there is nothing of any resource.
func (a Amount) IsZero() bool { return a == Amount{} }

// negative tells whether any resource is below zero.
func (a Amount) negative() bool {
	for _, value := range a {
		if value < 0 {
			return true
		}
	}
	return false
}

// Limit is the most of each resource that a team may have, or Unlimited.
type Limit Amount

// LimitOf reads a limit of the settings, in which zero means none. It is rounded down.
func LimitOf(cores, accelerators float64) Limit {
	limit := Limit{Unlimited, Unlimited, Unlimited}
	for r, value := range [...]float64{Cores: cores, Accelerators: accelerators} {
		if value > 0 {
			limit[r] = int64(math.Floor(value*unitsPerWhole + dust))
		}
	}
	return limit
}

// None tells whether no resource is limited.
func (l Limit) None() bool { return l == Limit{Unlimited, Unlimited, Unlimited} }

// limited keeps of an amount the resources that have a limit.
func (l Limit) limited(a Amount) Amount {
	for r := range a {
		if l[r] == Unlimited {
			a[r] = 0
		}
	}
	return a
}

// String names the resources that are limited.
func (l Limit) String() string {
	text := ""
	for r, name := range [...]string{"cores", "accelerators", "GB of memory"} {
		if l[r] != Unlimited {
			text += fmt.Sprintf(", %g %s", float64(l[r])/unitsPerWhole, name)
		}
	}
	if text == "" {
		return "no limit"
	}
	return text[2:]
}
