package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type kv struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
	Stamp uint64          `json:"stamp"`
	Lease uint64          `json:"permit,omitempty"`
}

type change struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Remove string          `json:"remove,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

type lease struct {
	life time.Duration
	ends time.Time
}

// Store is a stand-in of the state service.
type Store struct {
	mu     sync.Mutex
	epoch  uint64
	keys   map[string]*kv
	leases map[uint64]*lease
	next   uint64
	log    []change
	down   bool
	// refused are the callers that alone are refused, and since which epoch.
	refused map[string]uint64
	slow    time.Duration
	value   int // the largest value, and the most changes of a transaction; 0: any
	ops     int
	// TooLarge counts transactions that were over these limits.
	TooLarge int
	// Listed counts the entries that lists were answered with.
	Listed int
	// onChange is told of each change that was carried out; nil: nobody is.
	onChange func(key string, value json.RawMessage)
	// keep is how many changes it remembers.
	keep int
}

// defaultKeep is how many changes a store remembers unless told otherwise.
const defaultKeep = 10000

// NewStore makes an empty store.
func NewStore() *Store {
	return &Store{keys: map[string]*kv{}, leases: map[uint64]*lease{}, keep: defaultKeep}
}

// NotifyChanges has f told of each change carried out from now on, in order and under the
// store's lock; the value of a removed key is nil.
func (s *Store) NotifyChanges(f func(key string, value json.RawMessage)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = f
}

// SetKeep sets how many changes it remembers.
func (s *Store) SetKeep(changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keep = changes
}

// SetDown begins or ends an outage; at its end every lease has its full time.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		s.expire()
	}
	if s.down && !down {
		for _, h := range s.leases {
			h.ends = time.Now().Add(h.life)
		}
	}
	s.down = down
}

// Refuse refuses one caller alone, or serves it again. Its open watches wait as in
// an outage, and its leases run out.
func (s *Store) Refuse(caller string, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	delete(s.refused, caller)
	if refuse {
		if s.refused == nil {
			s.refused = map[string]uint64{}
		}
		s.refused[caller] = s.epoch
	}
}

// SetLimits limits values, in bytes, and the changes of a transaction, without notice.
func (s *Store) SetLimits(value, ops int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value, s.ops = value, ops
}

// SetSlow has every call but watches take d longer, half before it is carried out.
func (s *Store) SetSlow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = d
}

// Value reads a key past all faults; nil when absent.
func (s *Store) Value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if e := s.keys[key]; e != nil {
		return e.Value
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

// Count counts the keys below a prefix.
func (s *Store) Count(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) {
			n++
		}
	}
	return n
}

func (s *Store) expire() {
	if s.down {
		return
	}
	for id, h := range s.leases {
		if time.Now().After(h.ends) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for k, e := range s.keys {
		if e.Lease == id {
			s.epoch++
			delete(s.keys, k)
			s.log = append(s.log, change{Remove: k, Stamp: s.epoch})
		}
	}
}

func reply(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(v)
}

// ServeHTTP answers like the state service.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	if d := s.slow / 2; d > 0 && r.URL.Path != "/follow" {
		s.mu.Unlock()
		rest := func() {
			select {
			case <-time.After(d):
			case <-r.Context().Done():
			}
		}
		rest()
		defer rest()
		s.mu.Lock()
	}
	_, refused := s.refused[r.Header.Get(fromHeader)]
	if s.down || refused {
		follow := r.URL.Path == "/follow"
		s.mu.Unlock()
		if follow {
			s.follow(w, r)
			return
		}
		reply(w, 503, map[string]string{"error": "trouble"})
		return
	}
	s.expire()
	if r.URL.Path == "/follow" {
		s.mu.Unlock()
		s.follow(w, r)
		return
	}
	defer s.mu.Unlock()
	s.route(w, r)
}

// route answers everything but watches.
func (s *Store) route(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	switch {
	case path == "/kv":
		s.list(w, r)
	case strings.HasPrefix(path, "/kv/"):
		if e := s.keys[strings.TrimPrefix(path, "/kv/")]; e != nil {
			reply(w, 200, e)
		} else {
			reply(w, 404, map[string]uint64{"epoch": s.epoch})
		}
	case path == "/commit":
		s.commit(w, r)
	case path == "/holds":
		s.newLease(w, r)
	case strings.HasPrefix(path, "/holds/"):
		s.changeLease(w, r)
	default:
		reply(w, 404, map[string]string{"error": "no such path"})
	}
}

func (s *Store) newLease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		LifeMs int64 `json:"lifeMs"`
	}
	json.NewDecoder(r.Body).Decode(&in)
	s.next++
	life := time.Duration(in.LifeMs) * time.Millisecond
	s.leases[s.next] = &lease{life, time.Now().Add(life)}
	reply(w, 200, map[string]uint64{"permit": s.next})
}

// changeLease renews or ends a lease.
func (s *Store) changeLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(r.URL.Path, "/holds/"), "/renew"), 10, 64)
	l := s.leases[id]
	switch {
	case l == nil:
		reply(w, 404, map[string]uint64{"epoch": s.epoch})
		return
	case r.Method == "DELETE":
		s.endLease(id)
	default:
		l.ends = time.Now().Add(l.life)
	}
	reply(w, 200, map[string]uint64{"permit": id})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	most, _ := strconv.Atoi(q.Get("most"))
	var all []string
	for k := range s.keys {
		if strings.HasPrefix(k, q.Get("under")) && k > q.Get("after") {
			all = append(all, k)
		}
	}
	sort.Strings(all)
	more := len(all) > most
	if more {
		all = all[:most]
	}
	es := []*kv{}
	for _, k := range all {
		es = append(es, s.keys[k])
	}
	s.Listed += len(es)
	reply(w, 200, map[string]any{"entries": es, "more": more, "epoch": s.epoch})
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var in struct {
		When []struct {
			Key   string `json:"key"`
			Stamp uint64 `json:"stamp"`
		} `json:"when"`
		Then []struct {
			Put    string          `json:"put"`
			Value  json.RawMessage `json:"value"`
			Permit uint64          `json:"permit"`
			Remove string          `json:"remove"`
		} `json:"then"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(w, 400, map[string]string{"error": err.Error()})
		return
	}
	large := s.ops > 0 && len(in.Then) > s.ops
	for _, op := range in.Then {
		large = large || s.value > 0 && len(op.Value) > s.value
	}
	if large {
		s.TooLarge++
		reply(w, 400, map[string]string{"error": "too large"})
		return
	}
	failed := []string{}
	for _, c := range in.When {
		var have uint64
		if e := s.keys[c.Key]; e != nil {
			have = e.Stamp
		}
		if have != c.Stamp {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		reply(w, 409, map[string]any{"failed": failed, "epoch": s.epoch})
		return
	}
	for _, op := range in.Then {
		if op.Permit != 0 && s.leases[op.Permit] == nil {
			reply(w, 400, map[string]string{"error": "no such lease"})
			return
		}
	}
	s.epoch++
	for _, op := range in.Then {
		if op.Put != "" {
			s.keys[op.Put] = &kv{op.Put, op.Value, s.epoch, op.Permit}
			s.log = append(s.log, change{Put: op.Put, Value: op.Value, Stamp: s.epoch})
			s.changed(op.Put, op.Value)
		} else if s.keys[op.Remove] != nil {
			delete(s.keys, op.Remove)
			s.log = append(s.log, change{Remove: op.Remove, Stamp: s.epoch})
			s.changed(op.Remove, nil)
		}
	}
	reply(w, 200, map[string]uint64{"epoch": s.epoch})
}

func (s *Store) changed(key string, value json.RawMessage) {
	if s.onChange != nil {
		s.onChange(key, value)
	}
}

func (s *Store) follow(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("holdMs"))
	until := time.Now().Add(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		if n := len(s.log); n > s.keep && after < s.log[n-s.keep].Stamp-1 {
			s.mu.Unlock()
			reply(w, 410, map[string]string{"error": "too old"})
			return
		}
		epoch := s.epoch
		if since, ok := s.refused[r.Header.Get(fromHeader)]; ok {
			epoch = since
		}
		var news []change
		if !s.down {
			for _, c := range s.log {
				if c.Stamp > after && c.Stamp <= epoch && strings.HasPrefix(c.Put+c.Remove, q.Get("under")) {
					news = append(news, c)
				}
			}
		}
		s.mu.Unlock()
		if len(news) > 0 || !time.Now().Before(until) {
			reply(w, 200, map[string]any{"epoch": epoch, "news": news})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// String lists the keys, for failing tests.
func (s *Store) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b strings.Builder
	for k, e := range s.keys {
		fmt.Fprintf(&b, "%s@%d ", k, e.Stamp)
	}
	return b.String()
}
