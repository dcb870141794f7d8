package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// Limits are the limits of the state service.
type Limits struct {
	ValueBytes int // maximum size of a value
	TxnOps     int // maximum number of operations in a transaction
}

// nonPartOps is the number of operations of a transaction besides those on parts: one on the record,
// one on the index.
const nonPartOps = 2

// maxParts returns the maximum number of parts that one transaction can rewrite.
func (l Limits) maxParts() int { return max(1, l.TxnOps-nonPartOps) }

// errValueTooLarge reports that an encoded value exceeds the size limit of the state service.
var errValueTooLarge = errors.New("value exceeds the size limit of the state service")

// transaction collects the operations of one compare-and-swap transaction.
type transaction struct {
	state.Txn
	limits Limits
}

// require adds the condition that a key still has a revision; revision 0 requires that the key is absent.
func (t *transaction) require(key string, revision ids.Revision) {
	t.Conditions = append(t.Conditions, state.Condition{Key: key, Revision: revision})
}

// put adds an operation that stores a value as JSON. It returns errValueTooLarge if the value does not fit.
func (t *transaction) put(key string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode the value of key %s: %w", key, err)
	}
	if len(encoded) > t.limits.ValueBytes {
		return fmt.Errorf("%w: %d bytes for key %s, at most %d allowed", errValueTooLarge, len(encoded), key, t.limits.ValueBytes)
	}
	t.Ops = append(t.Ops, state.Op{Put: key, Value: encoded})
	return nil
}

// remove adds an operation that removes a key.
func (t *transaction) remove(key string) {
	t.Ops = append(t.Ops, state.Op{Remove: key})
}

// updateTransaction returns a transaction that stores a change of a rollout. A rollout that has ended is
// removed from the index; its parts are removed later as orphans.
func updateTransaction(rollout *storedRollout, change *recordChange, snapshot *rolloutSnapshot, limits Limits) (*transaction, error) {
	record, name := change.record, change.record.Spec.Name
	txn := &transaction{limits: limits}
	txn.require(recordKey(name), rollout.revision)
	if err := txn.put(recordKey(name), record); err != nil {
		return nil, err
	}
	if record.State.isFinal() {
		txn.require(indexKey, snapshot.indexRevision)
		return txn, txn.put(indexKey, snapshot.index.without(name))
	}
	for part, set := range change.waiting {
		txn.require(waitingKey(name, part), rollout.waitingRevisions[part])
		if err := txn.put(waitingKey(name, part), set); err != nil {
			return nil, err
		}
	}
	return txn, nil
}

// createTransaction returns a transaction that stores a new rollout with the parts of its waiting machines.
func createTransaction(record *Record, parts []MachineSet, snapshot *rolloutSnapshot, limits Limits) (*transaction, error) {
	name := record.Spec.Name
	txn := &transaction{limits: limits}
	txn.require(indexKey, snapshot.indexRevision)
	txn.require(recordKey(name), 0)
	active := activeIndex{Active: append(slices.Clone(snapshot.index.Active), name)}
	if err := txn.put(indexKey, active); err != nil {
		return nil, fmt.Errorf("%w: the index of active rollouts has no space for another one", ErrInvalidSpec)
	}
	if err := txn.put(recordKey(name), record); err != nil {
		return nil, err
	}
	for part, set := range parts {
		if err := txn.put(waitingKey(name, part), set); err != nil {
			return nil, err
		}
	}
	return txn, nil
}

// removeTransaction returns a transaction that removes as many orphaned parts as one transaction can.
func removeTransaction(orphans []state.Entry, limits Limits) *transaction {
	txn := &transaction{limits: limits}
	for _, entry := range orphans[:min(len(orphans), limits.maxParts())] {
		txn.require(entry.Key, entry.Revision)
		txn.remove(entry.Key)
	}
	return txn
}
