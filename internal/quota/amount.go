// Package quota decides what each team may still use when several leaders grant resources at
// the same moment. A team's limit is split into allowances, one for each shard of the machine
// pool. The leader of a shard grants within its own allowance and writes nothing for that;
// allowances move between shards by compare-and-swap transactions of the state service. The
// stored allowances of a team never add up to more than its limit, so neither does its
// usage, whichever leader pauses, dies or is partitioned.
//
// Ledger is the stored form and its transitions, the tracker is one leader's side of it, and
// Rebalancer commits the transfers that the tracker decides on. See docs/quota.md.
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

// roundingTolerance is the error, in units, that decimal fractions may leave behind.
const roundingTolerance = 1e-6

// Amount is a quantity of each resource, in thousandths.
type Amount [resourceCount]int64

// AmountOf rounds room up to whole thousandths.
func AmountOf(room placement.Resources) Amount {
	roundUp := func(value float64) int64 { return int64(math.Ceil(value*unitsPerWhole - roundingTolerance)) }
	return Amount{Cores: roundUp(room.Cores), Accelerators: roundUp(room.Accels), Memory: roundUp(room.RAM)}
}

// Room converts back.
func (a Amount) Room() placement.Resources {
	whole := func(resource Resource) float64 { return float64(a[resource]) / unitsPerWhole }
	return placement.Resources{Cores: whole(Cores), Accels: whole(Accelerators), RAM: whole(Memory)}
}

// combine applies a function to each resource of two amounts.
func (a Amount) combine(other Amount, apply func(x, y int64) int64) (result Amount) {
	for r := range a {
		result[r] = apply(a[r], other[r])
	}
	return result
}

// Plus adds.
func (a Amount) Plus(other Amount) Amount {
	return a.combine(other, func(x, y int64) int64 { return x + y })
}

// Minus subtracts; what would fall below zero becomes zero.
func (a Amount) Minus(other Amount) Amount {
	return a.combine(other, func(x, y int64) int64 { return max(0, x-y) })
}

// Min is the smaller of each resource.
func (a Amount) Min(other Amount) Amount {
	return a.combine(other, func(x, y int64) int64 { return min(x, y) })
}

// Covers reports whether other fits into a.
func (a Amount) Covers(other Amount) bool { return other.Minus(a).IsZero() }

// IsZero reports whether there is nothing of any resource.
func (a Amount) IsZero() bool { return a == Amount{} }

// isNegative reports whether any resource is below zero.
func (a Amount) isNegative() bool {
	for _, value := range a {
		if value < 0 {
			return true
		}
	}
	return false
}

// Limit is the most of each resource that a team may use, or Unlimited.
type Limit Amount

// LimitOf reads a limit of the settings, in which zero means none. It is rounded down.
func LimitOf(cores, accelerators float64) Limit {
	limit := Limit{Unlimited, Unlimited, Unlimited}
	for resource, value := range [...]float64{Cores: cores, Accelerators: accelerators} {
		if value > 0 {
			limit[resource] = int64(math.Floor(value*unitsPerWhole + roundingTolerance))
		}
	}
	return limit
}

// IsUnlimited reports whether no resource is limited.
func (l Limit) IsUnlimited() bool { return l == Limit{Unlimited, Unlimited, Unlimited} }

// limited keeps of an amount the resources that have a limit.
func (l Limit) limited(amount Amount) Amount {
	for resource := range amount {
		if l[resource] == Unlimited {
			amount[resource] = 0
		}
	}
	return amount
}

// whole is the limit as an amount, with nothing of the resources that have no limit.
func (l Limit) whole() Amount { return l.limited(Amount(l)) }

// String names the resources that are limited.
func (l Limit) String() string {
	text := ""
	for resource, name := range [...]string{"cores", "accelerators", "GB of memory"} {
		if l[resource] != Unlimited {
			text += fmt.Sprintf(", %g %s", float64(l[resource])/unitsPerWhole, name)
		}
	}
	if text == "" {
		return "no limit"
	}
	return text[2:]
}
