package record

import (
	"fmt"
	"strings"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// The keys and prefixes of the key-value store.
const (
	PoolPrefix        = "pool/"      // leadership, generation and provisioning requests
	TypesKey          = "pool/types" // the available instance types
	JobPrefix         = "job/"       // records of jobs that have not ended
	FinalRecordPrefix = "end/"       // final records
	WaitPrefix        = "job/wait/"  // records of jobs with unfinished dependencies
)

// JobKey returns the key of the record of a schedulable or running job.
func JobKey(job ids.Job) string { return JobPrefix + string(job) }

// FinalRecordKey returns the key of a job's final record.
func FinalRecordKey(job ids.Job) string { return FinalRecordPrefix + string(job) }

// BeforeFinalRecord returns a string that sorts before the key of a job's final record and after the final
// records of all jobs that precede it, so that a page of final records after it begins with the job's. Job
// keys end in digits: the last one is decremented, and a character that sorts after all digits is appended.
func BeforeFinalRecord(job ids.Job) string {
	key := FinalRecordKey(job)
	last := len(key) - 1
	return key[:last] + string(key[last]-1) + "~"
}

// WaitKey returns the key of the record of a job with unfinished dependencies.
func WaitKey(job ids.Job) string { return WaitPrefix + string(job) }

// KeyKind is the kind of the value at a key below JobPrefix.
type KeyKind int

const (
	// LiveRecord is the record of a schedulable or running job.
	LiveRecord KeyKind = iota
	// WaitingRecord is the record of a job with unfinished dependencies.
	WaitingRecord
	// StoredCancellation is a cancellation that did not fit into the job's record.
	StoredCancellation
)

// ParseKey returns the job that a key below JobPrefix belongs to, and the kind of the value stored there.
func ParseKey(key string) (ids.Job, KeyKind) {
	if job, ok := strings.CutPrefix(key, WaitPrefix); ok {
		return ids.Job(job), WaitingRecord
	}
	if job, ok := strings.CutPrefix(key, CancelPrefix); ok {
		return ids.Job(job), StoredCancellation
	}
	return ids.Job(strings.TrimPrefix(key, JobPrefix)), LiveRecord
}

// ShardKeys are the keys of a shard's leader, generation and provisioning requests.
type ShardKeys struct{ prefix string }

// KeysOf returns the keys of a shard. A single shard has the keys of the whole machine pool, which every
// version of this program knows.
func KeysOf(shard ids.Shard, shards int) ShardKeys {
	if shards <= 1 {
		return ShardKeys{PoolPrefix}
	}
	return ShardKeys{fmt.Sprintf("%s~%d/", PoolPrefix, shard)}
}

// Leader returns the key that the shard's leader attaches to its lease.
func (k ShardKeys) Leader() string { return k.prefix + "owner" }

// Generation returns the key of the shard's current generation, which each failover increments.
func (k ShardKeys) Generation() string { return k.prefix + "generation" }

// ProvisioningRequests returns the prefix of the keys of the shard's provisioning requests.
func (k ShardKeys) ProvisioningRequests() string { return k.prefix + "hire/" }
