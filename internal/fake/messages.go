package fake

import (
	"encoding/json"
	"net/http"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
)

// errorMessage is the body of an error response.
type errorMessage struct {
	Error string `json:"error"`
}

// errUnavailable is the body of the responses of a service that is down.
var errUnavailable = errorMessage{"trouble"}

// writeJSON sends a JSON response.
func writeJSON(w http.ResponseWriter, code int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(message) // fails only if the client has disconnected
}

// readJSON decodes a JSON request body. If that fails, it sends an error response and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, message any) bool {
	if err := exactjson.NewDecoder(r.Body).Decode(message); err != nil {
		writeJSON(w, http.StatusBadRequest, errorMessage{err.Error()})
		return false
	}
	return true
}
