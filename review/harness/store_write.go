package harness

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

type storeTxn struct {
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

func (s *Store) commit(r *http.Request) (status int, body any) {
	raw, err := io.ReadAll(r.Body)
	var txn storeTxn
	if err != nil || json.Unmarshal(raw, &txn) != nil {
		return http.StatusBadRequest, problem("malformed")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.writes.take(float64(len(txn.Then))) {
		return http.StatusTooManyRequests, problem("too many changes")
	}
	if len(raw) > maxTxnBytes || len(txn.Then) > s.limits.TxnOps || len(txn.When) > 4*s.limits.TxnOps {
		return http.StatusBadRequest, problem("transaction too large")
	}
	for _, op := range txn.Then {
		if float64(len(op.Value)) > s.limits.ValueKB*1024 {
			return http.StatusBadRequest, problem("value too large")
		}
		if op.Permit != 0 && s.leases[op.Permit] == nil {
			return http.StatusBadRequest, problem("no such lease")
		}
	}
	failed := []string{}
	for _, condition := range txn.When {
		var stamp uint64
		if found := s.entries[condition.Key]; found != nil {
			stamp = found.Stamp
		}
		if stamp != condition.Stamp {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, map[string]any{"failed": failed, "epoch": s.epoch}
	}
	if len(txn.Then) > 0 {
		s.epoch++
	}
	for _, op := range txn.Then {
		if op.Put != "" {
			s.put(op.Put, op.Value, op.Permit)
		} else {
			s.remove(op.Remove)
		}
	}
	s.wake()
	return http.StatusOK, map[string]uint64{"epoch": s.epoch}
}

func (s *Store) put(key string, value json.RawMessage, permit uint64) {
	if s.entries[key] == nil {
		at, _ := slices.BinarySearch(s.sorted, key)
		s.sorted = slices.Insert(s.sorted, at, key)
	}
	s.entries[key] = &storedEntry{Key: key, Value: value, Stamp: s.epoch, Permit: permit}
	s.remember(storedChange{Put: key, Value: value, Stamp: s.epoch})
}

func (s *Store) remove(key string) {
	if s.entries[key] == nil {
		return
	}
	at, _ := slices.BinarySearch(s.sorted, key)
	s.sorted = slices.Delete(s.sorted, at, at+1)
	delete(s.entries, key)
	s.remember(storedChange{Remove: key, Stamp: s.epoch})
}

func (s *Store) remember(change storedChange) {
	s.history = append(s.history, change)
	if len(s.history) > 2*historyChanges {
		s.history = slices.Clone(s.history[len(s.history)-historyChanges:])
	}
}

// wake lets the watches look for changes.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) follow(r *http.Request) (status int, body any) {
	query := r.URL.Query()
	under := query.Get("under")
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, problem("after")
	}
	hold, _ := strconv.Atoi(query.Get("holdMs")) // 0 if it is missing
	over := time.After(time.Duration(hold) * time.Millisecond)
	for {
		s.mu.Lock()
		kept := s.history[max(0, len(s.history)-historyChanges):]
		if len(s.history) > historyChanges && after+1 < kept[0].Stamp {
			s.mu.Unlock()
			return http.StatusGone, problem("too old")
		}
		news := []storedChange{}
		for _, change := range kept {
			if change.Stamp > after && strings.HasPrefix(change.Put+change.Remove, under) {
				news = append(news, change)
			}
		}
		epoch, changed := s.epoch, s.changed
		s.mu.Unlock()
		answer := map[string]any{"epoch": epoch, "news": news}
		if len(news) > 0 || hold == 0 {
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-over:
			return http.StatusOK, answer
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, problem("gone")
		}
	}
}

func (s *Store) newHold(r *http.Request) (status int, body any) {
	var request struct {
		LifeMs int64 `json:"lifeMs"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.LifeMs < 100 || request.LifeMs > 600000 {
		return http.StatusBadRequest, problem("lifeMs")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextHold++
	life := time.Duration(request.LifeMs) * time.Millisecond
	s.leases[s.nextHold] = &storeLease{life: life, expires: time.Now().Add(life)}
	return http.StatusOK, map[string]uint64{"permit": s.nextHold}
}

func (s *Store) hold(r *http.Request) (status int, body any) {
	name := strings.TrimSuffix(strings.TrimPrefix(r.URL.Path, "/holds/"), "/renew")
	id, _ := strconv.ParseUint(name, 10, 64) // 0 is the id of no lease
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.leases[id]
	if held == nil || time.Now().After(held.expires) {
		return http.StatusNotFound, map[string]uint64{"epoch": s.epoch}
	}
	if r.Method == http.MethodDelete {
		s.endLease(id)
	} else {
		held.expires = time.Now().Add(held.life)
	}
	return http.StatusOK, map[string]uint64{"permit": id}
}

// endLease ends a lease and removes the keys attached to it.
func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for _, key := range slices.Clone(s.sorted) {
		if s.entries[key].Permit != id {
			continue
		}
		s.epoch++
		s.remove(key)
	}
	s.wake()
}

// leaseCheckInterval is below the 100 ms by which the end of a lease may be late.
const leaseCheckInterval = 20 * time.Millisecond

func (s *Store) expire() {
	for range time.Tick(leaseCheckInterval) {
		s.mu.Lock()
		for id, held := range s.leases {
			if time.Now().After(held.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}
