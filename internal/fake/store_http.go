package fake

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// watchPath is the path of watch requests. All other requests are answered without waiting for changes.
const watchPath = "/follow"

// Messages of the state service API.
type (
	// epochMessage reports the epoch of the store.
	epochMessage struct {
		Epoch uint64 `json:"epoch"`
	}
	// leaseMessage identifies a lease.
	leaseMessage struct {
		ID uint64 `json:"permit"`
	}
	// leaseRequest requests a new lease.
	leaseRequest struct {
		DurationMillis int64 `json:"lifeMs"`
	}
	// entryList is a page of entries.
	entryList struct {
		Entries []*entry `json:"entries"`
		More    bool     `json:"more"`
		Epoch   uint64   `json:"epoch"`
	}
	// transaction applies all its changes if all its conditions hold, and none otherwise.
	transaction struct {
		Conditions []condition `json:"when"`
		Changes    []operation `json:"then"`
	}
	// condition holds if the key has the stamp, or, for stamp 0, if the key is absent.
	condition struct {
		Key   string `json:"key"`
		Stamp uint64 `json:"stamp"`
	}
	// operation puts a key, bound to a lease if that is not 0, or removes a key.
	operation struct {
		Put    string          `json:"put"`
		Value  json.RawMessage `json:"value"`
		Lease  uint64          `json:"permit"`
		Remove string          `json:"remove"`
	}
	// conflictMessage lists the keys whose conditions did not hold.
	conflictMessage struct {
		Failed []string `json:"failed"`
		Epoch  uint64   `json:"epoch"`
	}
	// watchMessage reports the changes up to an epoch.
	watchMessage struct {
		Epoch   uint64   `json:"epoch"`
		Changes []change `json:"news"`
	}
)

// ServeHTTP implements the API of the state service.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == watchPath {
		s.serveWatch(w, r)
		return
	}
	s.mu.Lock()
	halfLatency := s.latency / 2
	s.mu.Unlock()
	sleep(r.Context(), halfLatency)
	defer sleep(r.Context(), halfLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, refused := s.refused[r.Header.Get(fromHeader)]; s.down || refused {
		writeJSON(w, http.StatusServiceUnavailable, errUnavailable)
		return
	}
	s.expireLeases()
	s.route(w, r)
}

// route serves all requests except watches.
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

// serveEntry returns one entry.
func (s *Store) serveEntry(w http.ResponseWriter, key string) {
	if found := s.entries[key]; found != nil {
		writeJSON(w, http.StatusOK, found)
		return
	}
	writeJSON(w, http.StatusNotFound, epochMessage{s.epoch})
}

// serveList returns a page of the entries with a prefix whose keys follow a given key, in order of keys.
func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	pageSize, _ := strconv.Atoi(query.Get("most")) // 0 if it is missing
	pageSize = min(pageSize, s.maxPageEntries)
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, query.Get("under")) && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := entryList{Entries: []*entry{}, More: len(keys) > pageSize, Epoch: s.epoch}
	for _, key := range keys[:min(pageSize, len(keys))] {
		page.Entries = append(page.Entries, s.entries[key])
	}
	s.Listed += len(page.Entries)
	writeJSON(w, http.StatusOK, page)
}

// serveNewLease creates a lease.
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

// serveLease renews or removes a lease.
func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	name := strings.TrimSuffix(strings.TrimPrefix(r.URL.Path, "/holds/"), "/renew")
	id, _ := strconv.ParseUint(name, 10, 64) // 0, the ID of no lease, if it is not a number
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

// serveCommit commits a transaction, which raises the epoch by one.
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

// tooLarge reports whether a transaction exceeds the limits.
func (s *Store) tooLarge(request *transaction) bool {
	if s.maxTxnOps > 0 && len(request.Changes) > s.maxTxnOps {
		return true
	}
	return s.maxValueBytes > 0 && slices.ContainsFunc(request.Changes, func(operation operation) bool {
		return len(operation.Value) > s.maxValueBytes
	})
}

// failedConditions returns the keys of the conditions that do not hold.
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

// watchPollInterval is the interval at which a watch checks for changes.
const watchPollInterval = 20 * time.Millisecond

// serveWatch returns the changes of keys with a prefix after an epoch, as soon as there are any or
// when the maximum wait of the request is over. A refused caller gets no changes, and during an
// outage no caller does.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64) // 0 if it is missing
	waitMillis, _ := strconv.Atoi(query.Get("holdMs"))        // 0 if it is missing
	deadline := time.Now().Add(time.Duration(waitMillis) * time.Millisecond)
	for {
		message, ok := s.changesAfter(after, query.Get("under"), r.Header.Get(fromHeader))
		if !ok {
			writeJSON(w, http.StatusGone, errorMessage{"too old"})
			return
		}
		if len(message.Changes) > 0 || !time.Now().Before(deadline) {
			writeJSON(w, http.StatusOK, message)
			return
		}
		if !sleep(r.Context(), watchPollInterval) {
			return
		}
	}
}

// changesAfter returns the answer to a caller's watch at present. ok is false if the history no
// longer contains all changes after the epoch.
func (s *Store) changesAfter(after uint64, prefix, caller string) (message watchMessage, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if n := len(s.history); n > s.historyLimit && after < s.history[n-s.historyLimit].Stamp-1 {
		return watchMessage{}, false
	}
	message.Epoch = s.epoch
	if refusalEpoch, refused := s.refused[caller]; refused {
		message.Epoch = refusalEpoch
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
