package harness

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// StoreLimits are the limits of the state service in the settings.
type StoreLimits struct {
	RPS, WriteRPS float64
	ValueKB       float64
	TxnOps        int
}

// Limits of the protocol that no setting changes.
const (
	maxListItems   = 1000
	maxListBytes   = 512 << 10
	maxTxnBytes    = 64 << 10
	historyChanges = 10000
)

type storedEntry struct {
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value"`
	Stamp  uint64          `json:"stamp"`
	Permit uint64          `json:"permit,omitempty"`
}

type storedChange struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Remove string          `json:"remove,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

type storeLease struct {
	life    time.Duration
	expires time.Time
}

// Store is a stand-in of the state service, with the limits and errors of the protocol page.
type Store struct {
	// Latency returns how long a request other than a watch takes; nil means two milliseconds.
	Latency func(r *http.Request) time.Duration
	// Seen is called with each request and its status, without the lock; may be nil.
	Seen func(r *http.Request, status int)

	mu       sync.Mutex
	limits   StoreLimits
	calls    bucket
	writes   bucket
	epoch    uint64
	entries  map[string]*storedEntry
	sorted   []string
	leases   map[uint64]*storeLease
	nextHold uint64
	history  []storedChange
	changed  chan struct{} // closed and replaced with each change
}

// NewStore returns an empty state service.
func NewStore(limits StoreLimits) *Store {
	s := &Store{entries: map[string]*storedEntry{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{})}
	s.SetLimits(limits)
	go s.expire()
	return s
}

// SetLimits sets the limits, effective at once.
func (s *Store) SetLimits(limits StoreLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	s.calls, s.writes = newBucket(limits.RPS), newBucket(limits.WriteRPS)
}

// Value returns the value at a key; nil if there is none.
func (s *Store) Value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if found := s.entries[key]; found != nil {
		return found.Value
	}
	return nil
}

// Keys returns the keys with a prefix, in order.
func (s *Store) Keys(prefix string) (keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, _ := slices.BinarySearch(s.sorted, prefix)
	for _, key := range s.sorted[first:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		keys = append(keys, key)
	}
	return keys
}

// Preload adds keys that were written long ago: watches no longer deliver them. It skips those that exist.
func (s *Store) Preload(values map[string]json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	for key, value := range values {
		if s.entries[key] == nil {
			s.entries[key] = &storedEntry{Key: key, Value: value, Stamp: s.epoch}
			s.sorted = append(s.sorted, key)
		}
	}
	slices.Sort(s.sorted)
}

// ServeHTTP implements the interface of the state service.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	latency := 2 * time.Millisecond
	if s.Latency != nil {
		latency = s.Latency(r)
	}
	if r.URL.Path != "/follow" {
		time.Sleep(latency)
	}
	status, body := s.serve(r)
	if s.Seen != nil {
		s.Seen(r, status)
	}
	reply(w, status, body)
}

func (s *Store) serve(r *http.Request) (status int, body any) {
	s.mu.Lock()
	allowed := s.calls.take(1)
	s.mu.Unlock()
	if !allowed {
		return http.StatusTooManyRequests, problem("too many requests")
	}
	path := r.URL.Path
	switch {
	case path == "/follow":
		return s.follow(r)
	case path == "/kv":
		return s.list(r)
	case strings.HasPrefix(path, "/kv/"):
		return s.get(strings.TrimPrefix(path, "/kv/"))
	case path == "/commit":
		return s.commit(r)
	case path == "/holds":
		return s.newHold(r)
	case strings.HasPrefix(path, "/holds/"):
		return s.hold(r)
	}
	return http.StatusBadRequest, problem("no such path")
}

func (s *Store) get(key string) (status int, body any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if found := s.entries[key]; found != nil {
		return http.StatusOK, *found
	}
	return http.StatusNotFound, map[string]uint64{"epoch": s.epoch}
}

func (s *Store) list(r *http.Request) (status int, body any) {
	query := r.URL.Query()
	under, after := query.Get("under"), query.Get("after")
	most, err := strconv.Atoi(query.Get("most"))
	if err != nil || most > maxListItems {
		most = maxListItems
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	first, found := slices.BinarySearch(s.sorted, max(under, after))
	if found && after >= under {
		first++
	}
	page, more, bytes := []storedEntry{}, false, 0
	for _, key := range s.sorted[first:] {
		if !strings.HasPrefix(key, under) {
			break
		}
		entry := s.entries[key]
		bytes += len(entry.Value) + len(key) + 60
		if len(page) == most || bytes > maxListBytes && len(page) > 0 {
			more = true
			break
		}
		page = append(page, *entry)
	}
	return http.StatusOK, map[string]any{"entries": page, "more": more, "epoch": s.epoch}
}

// reply sends a JSON response.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller is gone
}

func problem(text string) map[string]string { return map[string]string{"error": text} }

// bucket is a token bucket that holds one second's worth of tokens.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

func newBucket(rate float64) bucket { return bucket{rate: rate, tokens: rate, at: time.Now()} }

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.tokens = min(b.rate, b.tokens+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}
