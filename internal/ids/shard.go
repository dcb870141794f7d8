package ids

import "hash/fnv"

// Shard numbers a shard of the machine pool, which has a leader of its own.
type Shard int

// ShardOf returns the shard that a job belongs to. It depends on the job's identifier alone.
func ShardOf(job Job, shards int) Shard {
	if shards <= 1 {
		return 0
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(job)) // a hash never returns an error
	return Shard(hash.Sum32() % uint32(shards))
}
