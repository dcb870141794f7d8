// Package quota enforces team limits while several leaders grant resources concurrently. A
// team's limit is split into allowances, one for each shard of the machine pool. The leader of
// a shard grants resources within the shard's own allowance, without a write to the state
// service. Allowances move between shards by compare-and-swap transactions of the state service.
// The stored allowances of a team never add up to more than its limit, and each shard's usage
// stays within its allowance. The team's total usage therefore stays within its limit even if
// leaders pause, crash or are partitioned.
//
// Ledger is the stored split of one team's limit and its state transitions, Tracker is one
// leader's view of all ledgers, and Rebalancer commits the transfers that the Tracker plans. See
// docs/quota.md.
package quota

import (
	"fmt"
	"math"

	"github.com/pebbletrail/pebbletrail/internal/placement"
)

// Resource identifies a limited resource. Each resource has a limit of its own.
type Resource int

// The resources, in the order in which stored amounts list them.
const (
	Cores Resource = iota
	Accelerators
	Memory
	resourceCount
)

// Unlimited is the value in a Limit for a resource without a limit.
const Unlimited = -1

// unitsPerWhole is the number of units in one core, accelerator or GB. Amounts are integers so that
// sums are exact.
const unitsPerWhole = 1000

// roundingTolerance is the floating-point error, in units, that rounding ignores.
const roundingTolerance = 1e-6

// Amount is a quantity of each resource, in thousandths of a core, an accelerator or a GB.
type Amount [resourceCount]int64

// AmountOf converts resources to an Amount, rounded up to whole thousandths.
func AmountOf(resources placement.Resources) Amount {
	roundUp := func(value float64) int64 { return int64(math.Ceil(value*unitsPerWhole - roundingTolerance)) }
	return Amount{Cores: roundUp(resources.Cores), Accelerators: roundUp(resources.Accels), Memory: roundUp(resources.RAM)}
}

// Resources returns the amount as resources.
func (a Amount) Resources() placement.Resources {
	whole := func(resource Resource) float64 { return float64(a[resource]) / unitsPerWhole }
	return placement.Resources{Cores: whole(Cores), Accels: whole(Accelerators), RAM: whole(Memory)}
}

// combine applies a function to the two amounts, resource by resource.
func (a Amount) combine(other Amount, apply func(x, y int64) int64) (result Amount) {
	for r := range a {
		result[r] = apply(a[r], other[r])
	}
	return result
}

// Plus returns the sum of both amounts.
func (a Amount) Plus(other Amount) Amount {
	return a.combine(other, func(x, y int64) int64 { return x + y })
}

// Minus returns a minus other. A difference below zero becomes zero.
func (a Amount) Minus(other Amount) Amount {
	return a.combine(other, func(x, y int64) int64 { return max(0, x-y) })
}

// Min returns the smaller quantity of each resource.
func (a Amount) Min(other Amount) Amount {
	return a.combine(other, func(x, y int64) int64 { return min(x, y) })
}

// Covers reports whether a is at least as large as other in every resource.
func (a Amount) Covers(other Amount) bool { return other.Minus(a).IsZero() }

// IsZero reports whether the quantity of every resource is zero.
func (a Amount) IsZero() bool { return a == Amount{} }

// isNegative reports whether the quantity of any resource is below zero.
func (a Amount) isNegative() bool {
	for _, value := range a {
		if value < 0 {
			return true
		}
	}
	return false
}

// Limit is the maximum of each resource that a team may use, in thousandths, or Unlimited.
type Limit Amount

// LimitOf converts a limit from the settings, where zero means no limit. It rounds down to whole
// thousandths.
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

// limited returns the amount with the resources that have no limit set to zero.
func (l Limit) limited(amount Amount) Amount {
	for resource := range amount {
		if l[resource] == Unlimited {
			amount[resource] = 0
		}
	}
	return amount
}

// total returns the limit as an amount, in which resources without a limit are zero.
func (l Limit) total() Amount { return l.limited(Amount(l)) }

// String returns the limited resources and their limits as text.
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
