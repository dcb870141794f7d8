package quota

import (
	"errors"
	"fmt"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Shard is the shard of the machine pool that an account belongs to.
type Shard = ids.Shard

// Account is one shard's part of a ledger.
type Account struct {
	Allowance Amount `json:"allowance"`
	// Registered tells that the allowance covers what the shard's tasks used when the
	// limit came into force. Until all shards have registered nothing is granted.
	Registered bool `json:"registered"`
}

// Ledger is how the limit of one team is split, as it is stored. Transitions never change
// a ledger in place: each returns the next one.
type Ledger struct {
	// Version is the version of the stored form.
	Version int   `json:"form"`
	Limit   Limit `json:"limit"`
	// LimitAt is when the process started whose settings the limit is from. Only a process
	// that started later may change it: while controllers are restarted one after another
	// with new settings, those with the old ones must not change it back.
	LimitAt ids.Timestamp `json:"limitAt"`
	// Reserve is the part of the limit that is no shard's allowance.
	Reserve Amount `json:"reserve"`
	// Overcommitted is by how much the allowances exceed a limit that was lowered while they
	// were in use. It only falls, and nothing is granted until it is gone.
	Overcommitted Amount    `json:"overhang"`
	Accounts      []Account `json:"accounts"`
}

// Why a stored ledger can't be used.
var (
	// ErrNewerVersion tells that a newer version wrote the ledger.
	ErrNewerVersion = errors.New("written in a newer form")
	// ErrUnbalanced tells that allowances and reserve do not add up to the limit.
	ErrUnbalanced = errors.New("does not add up to the limit")
	// ErrBadLedger tells that a stored ledger can't be used, for one of the reasons here.
	ErrBadLedger = errors.New("the ledger can't be used")
	// ErrShardCount tells that the ledger was made for another number of shards.
	ErrShardCount = errors.New("made for another number of shards")
)

// errNotAllowed tells that a transition does not apply to a ledger.
var errNotAllowed = errors.New("transition not allowed")

// NewLedger makes a ledger of which no shard has an allowance yet.
func NewLedger(limit Limit, limitAt ids.Timestamp, shards int) Ledger {
	return Ledger{
		Version:  formVersion,
		Limit:    limit,
		LimitAt:  limitAt,
		Reserve:  limit.whole(),
		Accounts: make([]Account, shards),
	}
}

// Check tells why a stored ledger can't be used; nil if it can.
func (l *Ledger) Check(shards int) error {
	switch {
	case l.Version > formVersion:
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
	whole := l.Limit.whole().Plus(l.Overcommitted)
	if negative || l.Version < 1 || sum != whole {
		return fmt.Errorf("%w: %v held and in reserve of %v", ErrUnbalanced, sum, whole)
	}
	return nil
}

// Open reports whether leaders may grant: all shards have registered.
func (l *Ledger) Open() bool {
	return !slices.ContainsFunc(l.Accounts, func(a Account) bool { return !a.Registered })
}

// outdatedBy reports whether a limit of settings is newer than the ledger's and differs.
func (l *Ledger) outdatedBy(limit Limit, limitAt ids.Timestamp) bool {
	return limit != l.Limit && limitAt > l.LimitAt
}

// clone is a copy to change.
func (l *Ledger) clone() Ledger {
	next := *l
	next.Accounts = slices.Clone(l.Accounts)
	return next
}

// Register makes a shard's allowance cover what its tasks use. What the reserve can't give
// becomes overcommitment.
func (l *Ledger) Register(shard Shard, used Amount) Ledger {
	next := l.clone()
	account := &next.Accounts[shard]
	short := l.Limit.limited(used).Minus(account.Allowance)
	taken := short.Min(next.Reserve)
	next.Reserve = next.Reserve.Minus(taken)
	next.Overcommitted = next.Overcommitted.Plus(short.Minus(taken))
	account.Allowance = account.Allowance.Plus(short)
	account.Registered = true
	return next
}

// Take moves an amount from the reserve to a shard.
func (l *Ledger) Take(shard Shard, amount Amount) (Ledger, error) {
	if !l.Reserve.Covers(amount) {
		return Ledger{}, fmt.Errorf("%w: take %v of a reserve of %v", errNotAllowed, amount, l.Reserve)
	}
	next := l.clone()
	next.Reserve = next.Reserve.Minus(amount)
	next.Accounts[shard].Allowance = next.Accounts[shard].Allowance.Plus(amount)
	return next, nil
}

// Give moves an amount that a shard does not use to another one.
func (l *Ledger) Give(from, to Shard, amount Amount) (Ledger, error) {
	if from == to || !l.Accounts[from].Allowance.Covers(amount) || !l.Overcommitted.Min(amount).IsZero() {
		return Ledger{}, fmt.Errorf("%w: give %v from shard %d to %d", errNotAllowed, amount, from, to)
	}
	next := l.clone()
	next.Accounts[from].Allowance = next.Accounts[from].Allowance.Minus(amount)
	next.Accounts[to].Allowance = next.Accounts[to].Allowance.Plus(amount)
	return next, nil
}

// Return gives back what a shard does not use: to the overcommitment first, then to the reserve.
func (l *Ledger) Return(shard Shard, amount Amount) (Ledger, error) {
	if !l.Accounts[shard].Allowance.Covers(amount) {
		return Ledger{}, fmt.Errorf("%w: return %v", errNotAllowed, amount)
	}
	next := l.clone()
	next.Accounts[shard].Allowance = next.Accounts[shard].Allowance.Minus(amount)
	repaid := amount.Min(next.Overcommitted)
	next.Overcommitted = next.Overcommitted.Minus(repaid)
	next.Reserve = next.Reserve.Plus(amount.Minus(repaid))
	return next, nil
}

// SetLimit brings a new limit into force. What it is raised by makes up for an overcommitment and
// then goes to the reserve; what it is lowered by comes from the reserve, and what that
// lacks becomes overcommitment. The usage of a resource that had no limit has to be registered by
// all shards.
func (l *Ledger) SetLimit(limit Limit, limitAt ids.Timestamp) (Ledger, error) {
	if limitAt <= l.LimitAt {
		return Ledger{}, fmt.Errorf("%w: the limit is from newer settings", errNotAllowed)
	}
	next := l.clone()
	next.Limit, next.LimitAt = limit, limitAt
	for r := range limit {
		next.setResourceLimit(Resource(r), l.Limit[r], limit[r])
	}
	return next, nil
}

// setResourceLimit adjusts reserve and overcommitment to a changed limit of one resource.
func (l *Ledger) setResourceLimit(resource Resource, before, after int64) {
	switch {
	case before == after:
	case after == Unlimited:
		l.clear(resource)
	case before == Unlimited:
		l.clear(resource)
		l.Reserve[resource] = after
		l.unregister()
	case after > before:
		repaid := min(after-before, l.Overcommitted[resource])
		l.Overcommitted[resource] -= repaid
		l.Reserve[resource] += after - before - repaid
	default:
		taken := min(before-after, l.Reserve[resource])
		l.Reserve[resource] -= taken
		l.Overcommitted[resource] += before - after - taken
	}
}

// clear removes all amounts of a resource.
func (l *Ledger) clear(resource Resource) {
	l.Reserve[resource], l.Overcommitted[resource] = 0, 0
	for i := range l.Accounts {
		l.Accounts[i].Allowance[resource] = 0
	}
}

// unregister makes all shards register again.
func (l *Ledger) unregister() {
	for i := range l.Accounts {
		l.Accounts[i].Registered = false
	}
}
