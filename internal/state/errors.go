package state

import (
	"errors"
	"fmt"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// What a call can come to besides success.
var (
	// ErrRefused means that the call was surely not executed: status 503 or 429, or no tokens in
	// this node's own budget.
	ErrRefused = errors.New("state: refused")
	// ErrOutcomeUnknown means that no answer came: the call may have been executed, or may yet be.
	ErrOutcomeUnknown = errors.New("state: no answer")
	// ErrNoLease means that the lease named has expired or was ended.
	ErrNoLease = errors.New("state: no such lease")
	// ErrMalformed means that the store calls the request malformed: sending it again is in vain.
	ErrMalformed = errors.New("state: malformed request")

	// errCompacted means that the changes asked for are no longer kept: list again.
	errCompacted = errors.New("state: history too old")
)

// ConflictError is the error of a transaction whose conditions failed; nothing was changed.
type ConflictError struct {
	// FailedKeys are the keys whose condition failed.
	FailedKeys []string
	// Epoch is how far the store was.
	Epoch ids.StoreRevision
}

func (c *ConflictError) Error() string {
	return fmt.Sprintf("state: conditions failed: %v", c.FailedKeys)
}

// Has tells whether the condition on key is among the failed ones.
func (c *ConflictError) Has(key string) bool { return slices.Contains(c.FailedKeys, key) }
