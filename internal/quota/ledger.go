package quota

import (
	"errors"
	"fmt"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Shard is a shard of the machine pool. Each account of a ledger belongs to one.
type Shard = ids.Shard

// Account is one shard's part of a ledger.
type Account struct {
	Allowance Amount `json:"allowance"`
	// Registered reports that the allowance covers what the shard's tasks used when the limit
	// took effect. No shard grants anything until all shards have registered.
	Registered bool `json:"registered"`
}

// Ledger is the stored split of one team's limit into allowances. The exported transitions do not
// modify the ledger; each returns the next one.
type Ledger struct {
	// Version is the version of the stored format.
	Version int   `json:"form"`
	Limit   Limit `json:"limit"`
	// LimitAt is the start time of the controller process from whose settings Limit was taken.
	// Only a process that started later may change Limit: during a rolling restart with new
	// settings, processes that still have the old settings must not restore the old limit.
	LimitAt ids.Timestamp `json:"limitAt"`
	// Reserve is the part of the limit that is not allotted to any shard.
	Reserve Amount `json:"reserve"`
	// Overcommitted is the amount by which the allowances exceed the limit, after the limit was
	// lowered below the allowances in use or the usage at registration exceeded it. All other
	// transitions only reduce it. Nothing of a resource is granted while it is overcommitted.
	Overcommitted Amount    `json:"overhang"`
	Accounts      []Account `json:"accounts"`
}

// Reasons why a stored ledger can't be used.
var (
	// ErrNewerVersion reports that a newer program version wrote the ledger.
	ErrNewerVersion = errors.New("written in a newer form")
	// ErrUnbalanced reports that allowances and reserve do not add up to the limit.
	ErrUnbalanced = errors.New("sum of allowances and reserve does not add up to the limit")
	// ErrBadLedger reports that a stored ledger can't be used, for any reason.
	ErrBadLedger = errors.New("stored ledger can't be used")
	// ErrShardCount reports that the ledger was created for a different number of shards.
	ErrShardCount = errors.New("ledger was created for another number of shards")
)

// errNotAllowed reports that the ledger's current state does not allow a transition.
var errNotAllowed = errors.New("ledger transition not allowed")

// NewLedger returns a ledger in which the whole limit is in reserve and no shard has an allowance.
func NewLedger(limit Limit, limitAt ids.Timestamp, shards int) Ledger {
	return Ledger{
		Version:  formatVersion,
		Limit:    limit,
		LimitAt:  limitAt,
		Reserve:  limit.total(),
		Accounts: make([]Account, shards),
	}
}

// Check returns an error if the ledger can't be used with the given number of shards.
func (l *Ledger) Check(shards int) error {
	switch {
	case l.Version > formatVersion:
		return fmt.Errorf("%w: %d", ErrNewerVersion, l.Version)
	case len(l.Accounts) != shards:
		return fmt.Errorf("%w: %d", ErrShardCount, len(l.Accounts))
	}
	sum := l.Reserve
	negative := l.Reserve.isNegative() || l.Overcommitted.isNegative()
	for _, account := range l.Accounts {
		sum = sum.Plus(account.Allowance)
		negative = negative || account.Allowance.isNegative()
	}
	total := l.Limit.total().Plus(l.Overcommitted)
	if negative || l.Version < 1 || sum != total {
		return fmt.Errorf("%w: sum %v, limit and overcommitment %v", ErrUnbalanced, sum, total)
	}
	return nil
}

// AllRegistered reports whether all shards have registered, so that leaders may grant.
func (l *Ledger) AllRegistered() bool {
	return !slices.ContainsFunc(l.Accounts, func(a Account) bool { return !a.Registered })
}

// outdatedBy reports whether a limit from settings is newer than the ledger's and differs from it.
func (l *Ledger) outdatedBy(limit Limit, limitAt ids.Timestamp) bool {
	return limit != l.Limit && limitAt > l.LimitAt
}

// clone returns a deep copy of the ledger.
func (l *Ledger) clone() Ledger {
	next := *l
	next.Accounts = slices.Clone(l.Accounts)
	return next
}

// Register raises a shard's allowance to at least what its tasks use. The reserve covers the increase
// as far as it can; the rest becomes overcommitment.
func (l *Ledger) Register(shard Shard, used Amount) Ledger {
	next := l.clone()
	account := &next.Accounts[shard]
	shortfall := l.Limit.limited(used).Minus(account.Allowance)
	taken := shortfall.Min(next.Reserve)
	next.Reserve = next.Reserve.Minus(taken)
	next.Overcommitted = next.Overcommitted.Plus(shortfall.Minus(taken))
	account.Allowance = account.Allowance.Plus(shortfall)
	account.Registered = true
	return next
}

// Take moves an amount from the reserve to a shard's allowance.
func (l *Ledger) Take(shard Shard, amount Amount) (Ledger, error) {
	if !l.Reserve.Covers(amount) {
		return Ledger{}, fmt.Errorf("%w: take %v from a reserve of %v", errNotAllowed, amount, l.Reserve)
	}
	next := l.clone()
	next.Reserve = next.Reserve.Minus(amount)
	next.Accounts[shard].Allowance = next.Accounts[shard].Allowance.Plus(amount)
	return next, nil
}

// Give moves an amount from one shard's allowance to another's. The caller ensures that the giving shard
// does not use the amount.
func (l *Ledger) Give(from, to Shard, amount Amount) (Ledger, error) {
	if from == to || !l.Accounts[from].Allowance.Covers(amount) || !l.Overcommitted.Min(amount).IsZero() {
		return Ledger{}, fmt.Errorf("%w: give %v from shard %d to shard %d", errNotAllowed, amount, from, to)
	}
	next := l.clone()
	next.Accounts[from].Allowance = next.Accounts[from].Allowance.Minus(amount)
	next.Accounts[to].Allowance = next.Accounts[to].Allowance.Plus(amount)
	return next, nil
}

// Return reduces a shard's allowance by an amount that the shard does not use. The amount first reduces
// the overcommitment; the rest goes to the reserve.
func (l *Ledger) Return(shard Shard, amount Amount) (Ledger, error) {
	if !l.Accounts[shard].Allowance.Covers(amount) {
		return Ledger{}, fmt.Errorf("%w: return %v, which exceeds the shard's allowance", errNotAllowed, amount)
	}
	next := l.clone()
	next.Accounts[shard].Allowance = next.Accounts[shard].Allowance.Minus(amount)
	reduction := amount.Min(next.Overcommitted)
	next.Overcommitted = next.Overcommitted.Minus(reduction)
	next.Reserve = next.Reserve.Plus(amount.Minus(reduction))
	return next, nil
}

// SetLimit replaces the limit. An increase first reduces the overcommitment; the rest goes to the
// reserve. A decrease is taken from the reserve; the rest becomes overcommitment. If a resource had no
// limit before, all shards must register their usage again.
func (l *Ledger) SetLimit(limit Limit, limitAt ids.Timestamp) (Ledger, error) {
	if limitAt <= l.LimitAt {
		return Ledger{}, fmt.Errorf("%w: the current limit is from newer or the same settings", errNotAllowed)
	}
	next := l.clone()
	next.Limit, next.LimitAt = limit, limitAt
	for r := range limit {
		next.setResourceLimit(Resource(r), l.Limit[r], limit[r])
	}
	return next, nil
}

// setResourceLimit adjusts reserve, overcommitment and registrations in place to a changed limit of one
// resource.
func (l *Ledger) setResourceLimit(resource Resource, before, after int64) {
	switch {
	case before == after:
	case after == Unlimited:
		l.clear(resource)
	case before == Unlimited:
		l.clear(resource)
		l.Reserve[resource] = after
		l.unregisterAll()
	case after > before:
		reduction := min(after-before, l.Overcommitted[resource])
		l.Overcommitted[resource] -= reduction
		l.Reserve[resource] += after - before - reduction
	default:
		taken := min(before-after, l.Reserve[resource])
		l.Reserve[resource] -= taken
		l.Overcommitted[resource] += before - after - taken
	}
}

// clear sets reserve, overcommitment and all allowances of a resource to zero in place.
func (l *Ledger) clear(resource Resource) {
	l.Reserve[resource], l.Overcommitted[resource] = 0, 0
	for i := range l.Accounts {
		l.Accounts[i].Allowance[resource] = 0
	}
}

// unregisterAll marks all shards as not registered in place, so that they register their usage again.
func (l *Ledger) unregisterAll() {
	for i := range l.Accounts {
		l.Accounts[i].Registered = false
	}
}
