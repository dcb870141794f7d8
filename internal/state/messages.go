package state

import (
	"encoding/json"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Entry is a key with its value and revision.
type Entry struct {
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"value"`
	Revision ids.Revision    `json:"stamp"`
	// Lease is the lease that the key is attached to; 0 if none.
	Lease ids.Lease `json:"permit"`
}

// Condition requires that a key has a revision; 0 requires that the key does not exist.
type Condition struct {
	Key      string       `json:"key"`
	Revision ids.Revision `json:"stamp"`
}

// Op is one change of a transaction: a put or a removal.
type Op struct {
	// Put is the key to write; empty in a removal.
	Put   string          `json:"put,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
	// Lease is the lease to attach the key to: the store removes the key when the lease ends. 0
	// for none.
	Lease ids.Lease `json:"permit,omitempty"`
	// Remove is the key to remove; empty in a put.
	Remove string `json:"remove,omitempty"`
}

// Txn is a compare-and-swap transaction: the store applies all of its changes if all of its conditions
// hold, and none otherwise.
type Txn struct {
	Conditions []Condition `json:"when"`
	Ops        []Op        `json:"then,omitempty"`
}

// Change is one change of a key as a watch reports it: a put or a removal.
type Change struct {
	// Put is the key that was written; empty in a removal.
	Put   string          `json:"put"`
	Value json.RawMessage `json:"value"`
	// Remove is the key that was removed; empty in a put.
	Remove   string       `json:"remove"`
	Revision ids.Revision `json:"stamp"`
}

// Key returns the key that was changed.
func (c Change) Key() string {
	if c.Put != "" {
		return c.Put
	}
	return c.Remove
}

// revisionResponse is the response to a read of a key that does not exist.
type revisionResponse struct {
	Revision ids.StoreRevision `json:"epoch"`
}

// listResponse is the response to a listing: one page of entries.
type listResponse struct {
	Entries  []Entry           `json:"entries"`
	More     bool              `json:"more"`
	Revision ids.StoreRevision `json:"epoch"`
}

// commitResponse is the response to a transaction, whether it was applied or not.
type commitResponse struct {
	Revision   ids.StoreRevision `json:"epoch"`
	FailedKeys []string          `json:"failed"`
}

// leaseResponse is the response to the creation of a lease.
type leaseResponse struct {
	Lease ids.Lease `json:"permit"`
}

// watchResponse is the response to a watch: the changes after the requested store revision.
type watchResponse struct {
	Revision ids.StoreRevision `json:"epoch"`
	Changes  []Change          `json:"news"`
}
