package state

import (
	"errors"
	"fmt"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// The errors of calls.
var (
	// ErrRefused means that the call was certainly not executed: the store returned status 503 or
	// 429, or this node's own budget had no tokens left.
	ErrRefused = errors.New("state: call rejected and not executed")
	// ErrOutcomeUnknown means that there was no usable response: the call may have been executed
	// or may still be executed.
	ErrOutcomeUnknown = errors.New("state: outcome of call unknown")
	// ErrNoLease means that the lease has expired or was revoked.
	ErrNoLease = errors.New("state: lease does not exist or has expired")
	// ErrMalformed means that the store rejected the request as malformed. Retrying does not help.
	ErrMalformed = errors.New("state: store rejected the request as malformed")

	// errCompacted means that the store no longer keeps the requested changes, so the keys have to
	// be listed again.
	errCompacted = errors.New("state: store no longer keeps the requested changes")
)

// ConflictError is the error of a transaction that was not applied because conditions failed.
type ConflictError struct {
	// FailedKeys holds the keys whose conditions failed.
	FailedKeys []string
	// Revision is the store's revision at the check of the conditions.
	Revision ids.StoreRevision
}

func (c *ConflictError) Error() string {
	return fmt.Sprintf("state: conditions failed: %v", c.FailedKeys)
}

// Has reports whether the condition on key failed.
func (c *ConflictError) Has(key string) bool { return slices.Contains(c.FailedKeys, key) }
