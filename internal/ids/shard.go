package ids

import (
	"hash/fnv"
	"io"
)

// Shard numbers a part of the machine pool that has a leader of its own.
type Shard int

// ShardOf is the shard that a job belongs to. It follows from the job's id alone.
func ShardOf(job Job, shards int) Shard {
	if shards <= 1 {
		return 0
	}
	hash := fnv.New32a()
	io.WriteString(hash, string(job)) // a hash takes everything
	return Shard(hash.Sum32() % uint32(shards))
}
