package fake

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

// entry is a stored key with its value. Stamp is the epoch of the last write to the key.
type entry struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
	Stamp uint64          `json:"stamp"`
	Lease uint64          `json:"permit,omitempty"`
}

// change is the put or removal of a key, as watches report it.
type change struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Remove string          `json:"remove,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

// lease is a lease on entries, which are removed when it expires.
type lease struct {
	duration time.Duration
	expiry   time.Time
}

// Store is a fake of the state service, a consensus-backed key-value store.
type Store struct {
	// mu guards the fields below. onChange is called while it is held.
	mu sync.Mutex
	// epoch is the number of committed transactions and of entries removed with their leases.
	epoch     uint64
	entries   map[string]*entry
	leases    map[uint64]*lease
	lastLease uint64
	history   []change
	down      bool
	// refused holds the callers whose requests are refused, with the epoch at which that began.
	refused map[string]uint64
	latency time.Duration
	// maxValueBytes and maxTxnOps limit the size of a value and the changes of a transaction; 0
	// means no limit.
	maxValueBytes, maxTxnOps int
	// maxPageEntries limits the entries in a page of a listing, whatever the request allows.
	maxPageEntries int
	// TooLarge counts the transactions that exceeded these limits.
	TooLarge int
	// Listed counts the entries returned by list requests.
	Listed int
	// onChange is called for each change of a committed transaction; may be nil.
	onChange func(key string, value json.RawMessage)
	// historyLimit is the number of changes that watches can still read.
	historyLimit int
}

// Limits of a new store.
const (
	defaultHistoryLimit = 10000
	defaultPageEntries  = 1000
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{entries: map[string]*entry{}, leases: map[uint64]*lease{}, refused: map[string]uint64{},
		historyLimit: defaultHistoryLimit, maxPageEntries: defaultPageEntries}
}

// NotifyChanges registers f to be called for each change of a committed transaction from now on, in
// order and while the store's lock is held. The value of a removed key is nil. f is not called for
// keys that are removed with their lease. It replaces the function registered before.
func (s *Store) NotifyChanges(f func(key string, value json.RawMessage)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = f
}

// SetHistoryLimit sets the number of changes that watches can still read.
func (s *Store) SetHistoryLimit(changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.historyLimit = changes
}

// SetPageLimit sets the maximum number of entries in a page of a listing.
func (s *Store) SetPageLimit(entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxPageEntries = entries
}

// SetDown starts or ends an outage. At the end of an outage every lease is renewed.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		s.expireLeases()
	}
	if s.down && !down {
		for _, held := range s.leases {
			held.expiry = time.Now().Add(held.duration)
		}
	}
	s.down = down
}

// RefuseCaller starts or ends the refusal of all requests of one caller. While it is refused, its
// open watches return no changes, as in an outage, and its leases expire.
func (s *Store) RefuseCaller(caller string, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	delete(s.refused, caller)
	if refuse {
		s.refused[caller] = s.epoch
	}
}

// SetLimits sets the maximum size of a value, in bytes, and the maximum number of changes of a
// transaction, effective at once; 0 means no limit.
func (s *Store) SetLimits(value, ops int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxValueBytes, s.maxTxnOps = value, ops
}

// SetLatency delays every request except watches by d: one half before the request is processed and
// one half after it.
func (s *Store) SetLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
}

// Value returns the value of a key regardless of injected faults, or nil if the key is absent.
func (s *Store) Value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if found := s.entries[key]; found != nil {
		return found.Value
	}
	return nil
}

// Epoch returns the current epoch of the store.
func (s *Store) Epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// OversizedTransactions returns the number of transactions that exceeded the limits.
func (s *Store) OversizedTransactions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.TooLarge
}

// CountKeys returns the number of keys with a prefix.
func (s *Store) CountKeys(prefix string) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) {
			count++
		}
	}
	return count
}

// String lists the keys and their stamps, for messages of failed tests.
func (s *Store) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var text strings.Builder
	for key, found := range s.entries {
		fmt.Fprintf(&text, "%s@%d ", key, found.Stamp)
	}
	return text.String()
}

// expireLeases ends the expired leases. During an outage no lease expires.
func (s *Store) expireLeases() {
	if s.down {
		return
	}
	for id, held := range s.leases {
		if time.Now().After(held.expiry) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its entries.
func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for key, found := range s.entries {
		if found.Lease == id {
			s.epoch++
			delete(s.entries, key)
			s.history = append(s.history, change{Remove: key, Stamp: s.epoch})
		}
	}
}

// put writes a key at the current epoch.
func (s *Store) put(key string, value json.RawMessage, leaseID uint64) {
	s.entries[key] = &entry{Key: key, Value: value, Stamp: s.epoch, Lease: leaseID}
	s.history = append(s.history, change{Put: key, Value: value, Stamp: s.epoch})
	s.notifyChange(key, value)
}

// remove removes a key at the current epoch, if the key exists.
func (s *Store) remove(key string) {
	if s.entries[key] == nil {
		return
	}
	delete(s.entries, key)
	s.history = append(s.history, change{Remove: key, Stamp: s.epoch})
	s.notifyChange(key, nil)
}

// notifyChange calls the hook for a change, if there is a hook.
func (s *Store) notifyChange(key string, value json.RawMessage) {
	if s.onChange != nil {
		s.onChange(key, value)
	}
}
