package state

import (
	"encoding/json"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Entry is a key with its value.
type Entry struct {
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"value"`
	Revision ids.Revision    `json:"stamp"`
	// Lease is the one whose end removes the key; 0 if there is none.
	Lease ids.Lease `json:"permit"`
}

// Condition demands a revision of a key; 0 demands its absence.
type Condition struct {
	Key      string       `json:"key"`
	Revision ids.Revision `json:"stamp"`
}

// Op is one change of a transaction: a put or a removal.
type Op struct {
	// Put is the key to write; empty in a removal.
	Put   string          `json:"put,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
	// Lease removes the key again when it ends; 0 for none.
	Lease ids.Lease `json:"permit,omitempty"`
	// Remove is the key to remove; empty in a put.
	Remove string `json:"remove,omitempty"`
}

// Txn is a compare-and-swap transaction: its changes are applied as a whole if all of its
// conditions hold, and not at all otherwise.
type Txn struct {
	Conditions []Condition `json:"when"`
	Ops        []Op        `json:"then,omitempty"`
}

// Change is one change of a key that the store tells of: a put or a removal.
type Change struct {
	// Put is the key written; empty in a removal.
	Put   string          `json:"put"`
	Value json.RawMessage `json:"value"`
	// Remove is the key removed; empty in a put.
	Remove   string       `json:"remove"`
	Revision ids.Revision `json:"stamp"`
}

// Key is the key changed.
func (c Change) Key() string {
	if c.Put != "" {
		return c.Put
	}
	return c.Remove
}

// epochAnswer is what the store answers for a key that does not exist.
type epochAnswer struct {
	Epoch ids.StoreRevision `json:"epoch"`
}

// listAnswer is one page of entries.
type listAnswer struct {
	Entries []Entry           `json:"entries"`
	More    bool              `json:"more"`
	Epoch   ids.StoreRevision `json:"epoch"`
}

// commitAnswer answers a transaction, applied or not.
type commitAnswer struct {
	Epoch      ids.StoreRevision `json:"epoch"`
	FailedKeys []string          `json:"failed"`
}

// leaseAnswer names a new lease.
type leaseAnswer struct {
	Lease ids.Lease `json:"permit"`
}

// watchAnswer holds the changes after an epoch.
type watchAnswer struct {
	Epoch   ids.StoreRevision `json:"epoch"`
	Changes []Change          `json:"news"`
}
