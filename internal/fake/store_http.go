package fake

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// watchPath is where changes are watched; all other calls are answered at once.
const watchPath = "/follow"

// The state service's messages.
type (
	// epochMessage tells the store's epoch.
	epochMessage struct {
		Epoch uint64 `json:"epoch"`
	}
	// leaseMessage names a lease.
	leaseMessage struct {
		ID uint64 `json:"permit"`
	}
	// leaseRequest asks for a lease.
	leaseRequest struct {
		DurationMillis int64 `json:"lifeMs"`
	}
	// entryList is a page of entries.
	entryList struct {
		Entries []*entry `json:"entries"`
		More    bool     `json:"more"`
		Epoch   uint64   `json:"epoch"`
	}
	// transaction makes all its changes if all its conditions hold, and none otherwise.
	transaction struct {
		Conditions []condition `json:"when"`
		Changes    []operation `json:"then"`
	}
	// condition holds if the key has that stamp; 0: if it is absent.
	condition struct {
		Key   string `json:"key"`
		Stamp uint64 `json:"stamp"`
	}
	// operation puts a key, under a lease if that is not 0, or removes one.
	operation struct {
		Put    string          `json:"put"`
		Value  json.RawMessage `json:"value"`
		Lease  uint64          `json:"permit"`
		Remove string          `json:"remove"`
	}
	// conflictMessage names the keys whose conditions did not hold.
	conflictMessage struct {
		Failed []string `json:"failed"`
		Epoch  uint64   `json:"epoch"`
	}
	// watchMessage tells the changes up to an epoch.
	watchMessage struct {
		Epoch   uint64   `json:"epoch"`
		Changes []change `json:"news"`
	}
)

// ServeHTTP answers like the state service.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == watchPath {
		s.serveWatch(w, r)
		return
	}
	s.mu.Lock()
	half := s.latency / 2
	s.mu.Unlock()
	sleep(r.Context(), half)
	defer sleep(r.Context(), half)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, refused := s.refused[r.Header.Get(fromHeader)]; s.down || refused {
		writeJSON(w, http.StatusServiceUnavailable, errUnavailable)
		return
	}
	s.expireLeases()
	s.route(w, r)
}

// route answers everything but watches.
func (s *Store) route(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	switch {
	case path == "/kv":
		s.serveList(w, r)
	case strings.HasPrefix(path, "/kv/"):
		s.serveEntry(w, strings.TrimPrefix(path, "/kv/"))
	case path == "/commit":
		s.serveCommit(w, r)
	case path == "/holds":
		s.serveNewLease(w, r)
	case strings.HasPrefix(path, "/holds/"):
		s.serveLease(w, r)
	default:
		writeJSON(w, http.StatusNotFound, errorMessage{"no such path"})
	}
}

// serveEntry answers with one entry.
func (s *Store) serveEntry(w http.ResponseWriter, key string) {
	if found := s.entries[key]; found != nil {
		writeJSON(w, http.StatusOK, found)
		return
	}
	writeJSON(w, http.StatusNotFound, epochMessage{s.epoch})
}

// serveList answers with the entries below a prefix that follow a key, in order of keys.
func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	most, _ := strconv.Atoi(query.Get("most")) // 0 where it is missing
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, query.Get("under")) && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := entryList{Entries: []*entry{}, More: len(keys) > most, Epoch: s.epoch}
	for _, key := range keys[:min(most, len(keys))] {
		page.Entries = append(page.Entries, s.entries[key])
	}
	s.Listed += len(page.Entries)
	writeJSON(w, http.StatusOK, page)
}

// serveNewLease begins a lease.
func (s *Store) serveNewLease(w http.ResponseWriter, r *http.Request) {
	var request leaseRequest
	if !readJSON(w, r, &request) {
		return
	}
	s.lastLease++
	duration := time.Duration(request.DurationMillis) * time.Millisecond
	s.leases[s.lastLease] = &lease{duration: duration, expiry: time.Now().Add(duration)}
	writeJSON(w, http.StatusOK, leaseMessage{s.lastLease})
}

// serveLease renews or ends a lease.
func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	name := strings.TrimSuffix(strings.TrimPrefix(r.URL.Path, "/holds/"), "/renew")
	id, _ := strconv.ParseUint(name, 10, 64) // 0, which names no lease, where it is no number
	held := s.leases[id]
	if held == nil {
		writeJSON(w, http.StatusNotFound, epochMessage{s.epoch})
		return
	}
	if r.Method == http.MethodDelete {
		s.endLease(id)
	} else {
		held.expiry = time.Now().Add(held.duration)
	}
	writeJSON(w, http.StatusOK, leaseMessage{id})
}

// serveCommit carries a transaction out, as one change.
func (s *Store) serveCommit(w http.ResponseWriter, r *http.Request) {
	var request transaction
	if !readJSON(w, r, &request) {
		return
	}
	if s.tooLarge(&request) {
		s.TooLarge++
		writeJSON(w, http.StatusBadRequest, errorMessage{"too large"})
		return
	}
	if failed := s.failedConditions(&request); len(failed) > 0 {
		writeJSON(w, http.StatusConflict, conflictMessage{failed, s.epoch})
		return
	}
	for _, operation := range request.Changes {
		if operation.Lease != 0 && s.leases[operation.Lease] == nil {
			writeJSON(w, http.StatusBadRequest, errorMessage{"no such lease"})
			return
		}
	}
	s.epoch++
	for _, operation := range request.Changes {
		if operation.Put != "" {
			s.put(operation.Put, operation.Value, operation.Lease)
		} else {
			s.remove(operation.Remove)
		}
	}
	writeJSON(w, http.StatusOK, epochMessage{s.epoch})
}

// tooLarge tells whether a transaction is over the limits.
func (s *Store) tooLarge(request *transaction) bool {
	if s.maxTxnOps > 0 && len(request.Changes) > s.maxTxnOps {
		return true
	}
	return s.maxValueBytes > 0 && slices.ContainsFunc(request.Changes, func(operation operation) bool {
		return len(operation.Value) > s.maxValueBytes
	})
}

// failedConditions lists the keys of the conditions that do not hold.
func (s *Store) failedConditions(request *transaction) (failed []string) {
	for _, condition := range request.Conditions {
		var stamp uint64
		if found := s.entries[condition.Key]; found != nil {
			stamp = found.Stamp
		}
		if stamp != condition.Stamp {
			failed = append(failed, condition.Key)
		}
	}
	return failed
}

// watchPollInterval spaces a watch's looks for changes.
const watchPollInterval = 20 * time.Millisecond

// serveWatch answers with the changes below a prefix after an epoch, as soon as there are any or
// once the caller's time is over. A caller that is refused, or everybody during an outage, gets
// none.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64) // 0 where it is missing
	millis, _ := strconv.Atoi(query.Get("holdMs"))            // 0 where it is missing
	until := time.Now().Add(time.Duration(millis) * time.Millisecond)
	for {
		message, ok := s.changesAfter(after, query.Get("under"), r.Header.Get(fromHeader))
		if !ok {
			writeJSON(w, http.StatusGone, errorMessage{"too old"})
			return
		}
		if len(message.Changes) > 0 || !time.Now().Before(until) {
			writeJSON(w, http.StatusOK, message)
			return
		}
		if !sleep(r.Context(), watchPollInterval) {
			return
		}
	}
}

// changesAfter is what a caller's watch is told now; not ok if the changes that it lacks are
// forgotten already.
func (s *Store) changesAfter(after uint64, prefix, caller string) (message watchMessage, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if n := len(s.history); n > s.historyLimit && after < s.history[n-s.historyLimit].Stamp-1 {
		return watchMessage{}, false
	}
	message.Epoch = s.epoch
	if since, refused := s.refused[caller]; refused {
		message.Epoch = since
	}
	if s.down {
		return message, true
	}
	for _, change := range s.history {
		if change.Stamp > after && change.Stamp <= message.Epoch && strings.HasPrefix(change.Put+change.Remove, prefix) {
			message.Changes = append(message.Changes, change)
		}
	}
	return message, true
}
