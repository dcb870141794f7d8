package claim

import (
	"fmt"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

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
