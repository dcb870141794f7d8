package record

import (
	"fmt"
	"strings"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Where things are kept in the state service.
const (
	PoolPrefix = "pool/"
	TypesKey   = "pool/types"
	JobPrefix  = "job/"
	EndPrefix  = "end/"
	WaitPrefix = "job/wait/"
)

// JobKey and EndKey are a job's live record and, once it is over, its last.
func JobKey(j ids.Job) string { return JobPrefix + string(j) }

// EndKey names the final record.
func EndKey(j ids.Job) string { return EndPrefix + string(j) }

// WaitKey is the key of a job that waits for others.
func WaitKey(j ids.Job) string { return WaitPrefix + string(j) }

// KeyKind is what is kept at a key below JobPrefix.
type KeyKind int

const (
	// LiveRecord is the record of a job that may be claimed.
	LiveRecord KeyKind = iota
	// WaitingRecord is the record of a job that awaits others.
	WaitingRecord
	// StoredCancellation is a cancellation that its job's record had no room for.
	StoredCancellation
)

// ParseKey tells which job a key below JobPrefix belongs to, and what is kept there.
func ParseKey(key string) (ids.Job, KeyKind) {
	if id, ok := strings.CutPrefix(key, WaitPrefix); ok {
		return ids.Job(id), WaitingRecord
	}
	if id, ok := strings.CutPrefix(key, CancelPrefix); ok {
		return ids.Job(id), StoredCancellation
	}
	return ids.Job(strings.TrimPrefix(key, JobPrefix)), LiveRecord
}

// ShardKeys are where a shard's leader, generation and hires are stored. With one shard
// they are those of the whole pool, which every version knows.
type ShardKeys struct{ prefix string }

// KeysOf are the keys of one of several shards.
func KeysOf(shard ids.Shard, shards int) ShardKeys {
	if shards <= 1 {
		return ShardKeys{PoolPrefix}
	}
	return ShardKeys{fmt.Sprintf("%s~%d/", PoolPrefix, shard)}
}

// Leader is the key that a leader holds by its lease.
func (k ShardKeys) Leader() string { return k.prefix + "owner" }

// Generation is the key of the number of the last takeover.
func (k ShardKeys) Generation() string { return k.prefix + "generation" }

// Hires is what the keys of the shard's hires begin with.
func (k ShardKeys) Hires() string { return k.prefix + "hire/" }
