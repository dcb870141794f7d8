package fake

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

// entry is a key with its value; its stamp is the epoch at which it was written.
type entry struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
	Stamp uint64          `json:"stamp"`
	Lease uint64          `json:"permit,omitempty"`
}

// change is a key that was put or removed, as watches tell it.
type change struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Remove string          `json:"remove,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

// lease holds entries in the store until it expires.
type lease struct {
	duration time.Duration
	expiry   time.Time
}

// Store is a fake of the state service, a consensus-backed key-value store.
type Store struct {
	// mu guards the fields below. onChange is called under it.
	mu sync.Mutex
	// epoch counts the changes made so far.
	epoch     uint64
	entries   map[string]*entry
	leases    map[uint64]*lease
	lastLease uint64
	history   []change
	down      bool
	// refused are the callers that alone are refused, and since which epoch.
	refused map[string]uint64
	latency time.Duration
	// maxValueBytes and maxTxnOps limit values and the changes of a transaction; 0: any.
	maxValueBytes, maxTxnOps int
	// TooLarge counts transactions that were over these limits.
	TooLarge int
	// Listed counts the entries that lists were answered with.
	Listed int
	// onChange is told of each change that was carried out; nil: nobody is.
	onChange func(key string, value json.RawMessage)
	// historyLimit is how many changes it remembers for watches.
	historyLimit int
}

// defaultHistoryLimit is how many changes a store remembers unless told otherwise.
const defaultHistoryLimit = 10000

// NewStore makes an empty store.
func NewStore() *Store {
	return &Store{entries: map[string]*entry{}, leases: map[uint64]*lease{}, refused: map[string]uint64{}, historyLimit: defaultHistoryLimit}
}

// NotifyChanges has f told of each change carried out from now on, in order and under the
// store's lock; the value of a removed key is nil. Keys that go with their lease are not told.
func (s *Store) NotifyChanges(f func(key string, value json.RawMessage)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = f
}

// SetHistoryLimit sets how many changes it remembers.
func (s *Store) SetHistoryLimit(changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.historyLimit = changes
}

// SetDown begins or ends an outage; at its end every lease has its full time.
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

// RefuseCaller refuses one caller alone, or serves it again. Its open watches wait as in
// an outage, and its leases run out.
func (s *Store) RefuseCaller(caller string, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	delete(s.refused, caller)
	if refuse {
		s.refused[caller] = s.epoch
	}
}

// SetLimits limits values, in bytes, and the changes of a transaction, without notice; 0: any.
func (s *Store) SetLimits(value, ops int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxValueBytes, s.maxTxnOps = value, ops
}

// SetLatency has every call but watches take d longer, half before it is carried out.
func (s *Store) SetLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
}

// Value reads a key past all faults; nil when absent.
func (s *Store) Value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if found := s.entries[key]; found != nil {
		return found.Value
	}
	return nil
}

// Epoch is how many changes were made so far.
func (s *Store) Epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// CountTooLarge counts the transactions that were over the limits.
func (s *Store) CountTooLarge() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.TooLarge
}

// CountKeys counts the keys below a prefix.
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

// String lists the keys, for failing tests.
func (s *Store) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var text strings.Builder
	for key, found := range s.entries {
		fmt.Fprintf(&text, "%s@%d ", key, found.Stamp)
	}
	return text.String()
}

// expireLeases ends the leases whose time is over; during an outage none ends.
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

// endLease ends a lease and removes what it holds.
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

// remove removes a key at the current epoch, if it is there.
func (s *Store) remove(key string) {
	if s.entries[key] == nil {
		return
	}
	delete(s.entries, key)
	s.history = append(s.history, change{Remove: key, Stamp: s.epoch})
	s.notifyChange(key, nil)
}

// notifyChange tells the hook, if there is one.
func (s *Store) notifyChange(key string, value json.RawMessage) {
	if s.onChange != nil {
		s.onChange(key, value)
	}
}
