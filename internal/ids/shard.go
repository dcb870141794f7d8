package ids

import "hash/fnv"

// Shard is the number of a shard of the machine pool. Each shard has its own leader.
type Shard int

// ShardOf returns the shard that a job belongs to. The result depends only on the job's identifier and on
// the number of shards.
func ShardOf(job Job, shards int) Shard {
	if shards <= 1 {
		return 0
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(job)) // hash.Hash never returns an error
	return Shard(hash.Sum32() % uint32(shards))
}
