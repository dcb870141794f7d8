package quota

import (
	"errors"
	"fmt"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Shard is the shard of the machine pool that an account belongs to.
type Shard = ids.Shard

// Account is what a ledger holds for one shard.
type Account struct {
	Allowance Amount `json:"allowance"`
	// Registered tells that the allowance covers what the shard's tasks used when the
	// limit came into force. Until all shards have registered nothing is granted.
	Registered bool `json:"registered"`
}

// Ledger is how the limit of one team is split, as it is stored. Transitions never change
// a ledger in place: each returns the next one.
type Ledger struct {
	Form  int   `json:"form"`
	Limit Limit `json:"limit"`
	// LimitAt is when the process started whose settings the limit is from. Only a process
	// that started later may change it: while controllers are restarted one after another
	// with new settings, those with the old ones must not change it back.
	LimitAt ids.Wall `json:"limitAt"`
	// Reserve is what no shard holds.
	Reserve Amount `json:"reserve"`
	// Overhang is by how much the allowances exceed a limit that was lowered while they
	// were in use. It only falls, and nothing is granted until it is gone.
	Overhang Amount    `json:"overhang"`
	Accounts []Account `json:"accounts"`
}

// ledgerForm is the stored form that this version writes and reads.
const ledgerForm = 1

// Why a stored ledger can't be used.
var (
	// ErrNewerForm tells that a newer version wrote the ledger.
	ErrNewerForm = errors.New("written in a newer form")
	// ErrUnbalanced tells that allowances and reserve do not add up to the limit.
	ErrUnbalanced = errors.New("does not add up to the limit")
	// ErrBadLedger tells that a stored ledger can't be used, for one of the reasons here.
	ErrBadLedger = errors.New("the ledger can't be used")
	// ErrShardCount tells that the ledger was made for another number of shards.
	ErrShardCount = errors.New("made for another number of shards")
)

// errNotAllowed tells that a transition does not apply to a ledger.
var errNotAllowed = errors.New("transition not allowed")

// NewLedger begins a ledger whose limit nobody holds yet.
func NewLedger(limit Limit, limitAt ids.Wall, shards int) Ledger {
	l := Ledger{Form: ledgerForm, Limit: limit, LimitAt: limitAt, Accounts: make([]Account, shards)}
	l.Reserve = limit.limited(Amount(limit))
	return l
}

// Check tells why a stored ledger can't be used; nil if it can.
func (l *Ledger) Check(shards int) error {
	switch {
	case l.Form > ledgerForm:
		return fmt.Errorf("%w: %d", ErrNewerForm, l.Form)
	case len(l.Accounts) != shards:
		return fmt.Errorf("%w: %d", ErrShardCount, len(l.Accounts))
	}
	sum := l.Reserve
	negative := l.Reserve.negative() || l.Overhang.negative()
	for _, account := range l.Accounts {
		sum = sum.Plus(account.Allowance)
		negative = negative || account.Allowance.negative()
	}
	whole := l.Limit.limited(Amount(l.Limit)).Plus(l.Overhang)
	if negative || l.Form < 1 || sum != whole {
		return fmt.Errorf("%w: %v held and in reserve of %v", ErrUnbalanced, sum, whole)
	}
	return nil
}

// Open tells whether leaders may grant: all shards have registered.
func (l *Ledger) Open() bool {
	return !slices.ContainsFunc(l.Accounts, func(a Account) bool { return !a.Registered })
}

// next is a copy to change.
func (l *Ledger) next() Ledger {
	n := *l
	n.Accounts = slices.Clone(l.Accounts)
	return n
}

// Register makes a shard's allowance cover what its tasks use. What the reserve can't give
// becomes overhang.
func (l *Ledger) Register(shard Shard, used Amount) Ledger {
	n := l.next()
	account := &n.Accounts[shard]
	short := l.Limit.limited(used).Minus(account.Allowance)
	taken := short.Min(n.Reserve)
	n.Reserve = n.Reserve.Minus(taken)
	n.Overhang = n.Overhang.Plus(short.Minus(taken))
	account.Allowance = account.Allowance.Plus(short)
	account.Registered = true
	return n
}

// Take moves an amount from the reserve to a shard.
func (l *Ledger) Take(shard Shard, amount Amount) (Ledger, error) {
	if !l.Reserve.Covers(amount) {
		return Ledger{}, fmt.Errorf("%w: take %v of a reserve of %v", errNotAllowed, amount, l.Reserve)
	}
	n := l.next()
	n.Reserve = n.Reserve.Minus(amount)
	n.Accounts[shard].Allowance = n.Accounts[shard].Allowance.Plus(amount)
	return n, nil
}

// Give moves an amount that a shard does not use to another one.
func (l *Ledger) Give(from, to Shard, amount Amount) (Ledger, error) {
	if from == to || !l.Accounts[from].Allowance.Covers(amount) || !l.Overhang.Min(amount).IsZero() {
		return Ledger{}, fmt.Errorf("%w: give %v from shard %d to %d", errNotAllowed, amount, from, to)
	}
	n := l.next()
	n.Accounts[from].Allowance = n.Accounts[from].Allowance.Minus(amount)
	n.Accounts[to].Allowance = n.Accounts[to].Allowance.Plus(amount)
	return n, nil
}

// Return gives back what a shard does not use: to the overhang first, then to the reserve.
func (l *Ledger) Return(shard Shard, amount Amount) (Ledger, error) {
	if !l.Accounts[shard].Allowance.Covers(amount) {
		return Ledger{}, fmt.Errorf("%w: return %v", errNotAllowed, amount)
	}
	n := l.next()
	n.Accounts[shard].Allowance = n.Accounts[shard].Allowance.Minus(amount)
	repaid := amount.Min(n.Overhang)
	n.Overhang = n.Overhang.Minus(repaid)
	n.Reserve = n.Reserve.Plus(amount.Minus(repaid))
	return n, nil
}

// SetLimit brings a new limit into force. What it is raised by makes up for an overhang and
// then goes to the reserve; what it is lowered by comes from the reserve, and what that
// lacks becomes overhang. A resource that had no limit has to be registered by all shards.
func (l *Ledger) SetLimit(limit Limit, limitAt ids.Wall) (Ledger, error) {
	if limitAt <= l.LimitAt {
		return Ledger{}, fmt.Errorf("%w: the limit is from newer settings", errNotAllowed)
	}
	n := l.next()
	n.Limit, n.LimitAt = limit, limitAt
	for r := range limit {
		switch was, now := l.Limit[r], limit[r]; {
		case was == now:
		case now == Unlimited:
			n.clear(Resource(r))
		case was == Unlimited:
			n.clear(Resource(r))
			n.Reserve[r] = now
			n.unregister()
		case now > was:
			repaid := min(now-was, n.Overhang[r])
			n.Overhang[r] -= repaid
			n.Reserve[r] += now - was - repaid
		default:
			taken := min(was-now, n.Reserve[r])
			n.Reserve[r] -= taken
			n.Overhang[r] += was - now - taken
		}
	}
	return n, nil
}

// clear takes a resource off the books.
func (l *Ledger) clear(r Resource) {
	l.Reserve[r], l.Overhang[r] = 0, 0
	for i := range l.Accounts {
		l.Accounts[i].Allowance[r] = 0
	}
}

// unregister asks all shards to register again.
func (l *Ledger) unregister() {
	for i := range l.Accounts {
		l.Accounts[i].Registered = false
	}
}
