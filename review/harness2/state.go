package harness2

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the state service that the settings don't name.
const (
	pageItems    = 1000
	pageBytes    = 512 << 10
	historyLimit = 10000
	watchPoll    = 5 * time.Millisecond
)

// entry is a key of the state service.
type entry struct {
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value"`
	Stamp  uint64          `json:"stamp"`
	Permit uint64          `json:"permit,omitempty"`
}

// change is a put or a removal that watches report.
type change struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Remove string          `json:"remove,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

// hold is a lease.
type hold struct {
	life time.Duration
	ends time.Time
}

// txn is the body of POST /commit.
type txn struct {
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

// State is a stand-in of the state service. Each controller has an address of its own for it, so that one of them
// can be cut off alone.
type State struct {
	// ValueBytes and TxnOps are the limits of a value and of the changes of a transaction.
	ValueBytes, TxnOps int

	mu       sync.Mutex
	epoch    uint64
	entries  map[string]*entry
	holds    map[uint64]*hold
	lastHold uint64
	history  []change
	latency  time.Duration
	cut      map[string]bool
	onCommit func(keys []string)
}

// NewState returns an empty state service.
func NewState(valueBytes, txnOps int) *State {
	return &State{ValueBytes: valueBytes, TxnOps: txnOps, entries: map[string]*entry{}, holds: map[uint64]*hold{}, cut: map[string]bool{}}
}

// SetLatency sets how long each answer takes.
func (s *State) SetLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
}

// SetCut cuts a caller off, or ends that: its requests get no answer and are not executed.
func (s *State) SetCut(caller string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[caller] = cut
}

// OnCommit sets a function that is called with the keys that a transaction wrote or removed.
func (s *State) OnCommit(f func(keys []string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onCommit = f
}

// Value returns the value of a key; nil if it does not exist.
func (s *State) Value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if e := s.entries[key]; e != nil {
		return e.Value
	}
	return nil
}

// Count returns the number of keys with a prefix.
func (s *State) Count(prefix string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

// Handler returns the service as one caller reaches it.
func (s *State) Handler(caller string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(caller, w, r) })
}

func (s *State) isCut(caller string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut[caller]
}

func (s *State) serve(caller string, w http.ResponseWriter, r *http.Request) {
	if s.isCut(caller) {
		hang(r)
		return
	}
	if r.URL.Path == "/follow" {
		s.follow(caller, w, r)
		return
	}
	var body []byte
	if r.Method == http.MethodPost {
		body = readBody(r)
	}
	s.mu.Lock()
	half := s.latency / 2
	s.mu.Unlock()
	time.Sleep(half)
	s.mu.Lock()
	s.expire()
	code, answer := s.answer(r, body)
	s.mu.Unlock()
	time.Sleep(half)
	if s.isCut(caller) {
		hang(r)
		return
	}
	reply(w, code, answer)
}

func (s *State) answer(r *http.Request, body []byte) (code int, answer any) {
	path := r.URL.Path
	switch {
	case path == "/kv":
		return http.StatusOK, s.list(r)
	case strings.HasPrefix(path, "/kv/"):
		if e := s.entries[strings.TrimPrefix(path, "/kv/")]; e != nil {
			return http.StatusOK, *e
		}
		return http.StatusNotFound, map[string]uint64{"epoch": s.epoch}
	case path == "/commit":
		return s.commit(body)
	case path == "/holds":
		var in struct {
			LifeMs int64 `json:"lifeMs"`
		}
		if json.Unmarshal(body, &in) != nil || in.LifeMs < 100 || in.LifeMs > 600000 {
			return http.StatusBadRequest, map[string]string{"error": "malformed"}
		}
		s.lastHold++
		life := time.Duration(in.LifeMs) * time.Millisecond
		s.holds[s.lastHold] = &hold{life, time.Now().Add(life)}
		return http.StatusOK, map[string]uint64{"permit": s.lastHold}
	case strings.HasPrefix(path, "/holds/"):
		return s.useHold(r)
	}
	return http.StatusBadRequest, map[string]string{"error": "malformed"}
}

func (s *State) useHold(r *http.Request) (code int, answer any) {
	id, _ := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(r.URL.Path, "/holds/"), "/renew"), 10, 64)
	h := s.holds[id]
	if h == nil {
		return http.StatusNotFound, map[string]uint64{"epoch": s.epoch}
	}
	if r.Method == http.MethodDelete {
		s.end(id)
	} else {
		h.ends = time.Now().Add(h.life)
	}
	return http.StatusOK, map[string]uint64{"permit": id}
}

func (s *State) list(r *http.Request) any {
	query := r.URL.Query()
	most, _ := strconv.Atoi(query.Get("most"))
	if most <= 0 || most > pageItems {
		most = pageItems
	}
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, query.Get("under")) && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page, size := []entry{}, 0
	for _, key := range keys {
		e := s.entries[key]
		size += len(e.Key) + len(e.Value) + 60
		if len(page) == most || len(page) > 0 && size > pageBytes {
			break
		}
		page = append(page, *e)
	}
	return map[string]any{"entries": page, "more": len(page) < len(keys), "epoch": s.epoch}
}

func (s *State) commit(body []byte) (code int, answer any) {
	var in txn
	if json.Unmarshal(body, &in) != nil || len(in.Then) > s.TxnOps || len(in.When) > 4*s.TxnOps || len(body) > 64<<10 {
		return http.StatusBadRequest, map[string]string{"error": "malformed"}
	}
	var failed []string
	for _, c := range in.When {
		var stamp uint64
		if e := s.entries[c.Key]; e != nil {
			stamp = e.Stamp
		}
		if stamp != c.Stamp {
			failed = append(failed, c.Key)
		}
	}
	for _, op := range in.Then {
		if op.Put != "" && op.Permit != 0 && s.holds[op.Permit] == nil {
			return http.StatusBadRequest, map[string]string{"error": "no such lease"}
		}
		if len(op.Value) > s.ValueBytes {
			return http.StatusBadRequest, map[string]string{"error": "value too large"}
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, map[string]any{"failed": failed, "epoch": s.epoch}
	}
	if len(in.Then) > 0 {
		s.epoch++
	}
	var keys []string
	for _, op := range in.Then {
		if op.Put != "" {
			s.entries[op.Put] = &entry{op.Put, op.Value, s.epoch, op.Permit}
			s.history = append(s.history, change{Put: op.Put, Value: op.Value, Stamp: s.epoch})
		} else if s.entries[op.Remove] != nil {
			delete(s.entries, op.Remove)
			s.history = append(s.history, change{Remove: op.Remove, Stamp: s.epoch})
		}
		keys = append(keys, op.Put+op.Remove)
	}
	if s.onCommit != nil && len(keys) > 0 {
		s.onCommit(keys)
	}
	return http.StatusOK, map[string]uint64{"epoch": s.epoch}
}

func (s *State) expire() {
	for id, h := range s.holds {
		if time.Now().After(h.ends) {
			s.end(id)
		}
	}
}

func (s *State) end(id uint64) {
	delete(s.holds, id)
	for key, e := range s.entries {
		if e.Permit == id {
			s.epoch++
			delete(s.entries, key)
			s.history = append(s.history, change{Remove: key, Stamp: s.epoch})
		}
	}
}

func (s *State) follow(caller string, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	holdMs, _ := strconv.Atoi(query.Get("holdMs"))
	until := time.Now().Add(time.Duration(holdMs) * time.Millisecond)
	s.mu.Lock()
	latency := s.latency
	s.mu.Unlock()
	time.Sleep(latency)
	for {
		if s.isCut(caller) {
			hang(r)
			return
		}
		news, epoch, ok := s.since(after, query.Get("under"))
		if !ok {
			reply(w, http.StatusGone, map[string]string{"error": "too old"})
			return
		}
		if len(news) > 0 || !time.Now().Before(until) {
			reply(w, http.StatusOK, map[string]any{"epoch": epoch, "news": news})
			return
		}
		if r.Context().Err() != nil {
			return
		}
		time.Sleep(watchPoll)
	}
}

func (s *State) since(after uint64, prefix string) (news []change, epoch uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if n := len(s.history); n > historyLimit && after < s.history[n-historyLimit].Stamp-1 {
		return nil, 0, false
	}
	from := sort.Search(len(s.history), func(i int) bool { return s.history[i].Stamp > after })
	news = []change{}
	for _, c := range s.history[from:] {
		if strings.HasPrefix(c.Put+c.Remove, prefix) {
			news = append(news, c)
		}
	}
	return news, s.epoch, true
}
