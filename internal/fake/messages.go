package fake

import (
	"encoding/json"
	"net/http"
)

// errorMessage is an answer that tells what is wrong.
type errorMessage struct {
	Error string `json:"error"`
}

// errUnavailable is the answer of a service that is down.
var errUnavailable = errorMessage{"trouble"}

// writeJSON answers a request with JSON.
func writeJSON(w http.ResponseWriter, code int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(message) // fails only if the caller has gone away
}

// readJSON decodes a request; if that fails, the request is answered and false returned.
func readJSON(w http.ResponseWriter, r *http.Request, message any) bool {
	if err := json.NewDecoder(r.Body).Decode(message); err != nil {
		writeJSON(w, http.StatusBadRequest, errorMessage{err.Error()})
		return false
	}
	return true
}
