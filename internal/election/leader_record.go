package election

import (
	"encoding/json"
	"fmt"

	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/exactjson"
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// leaderRecord is the value of a shard's leader key. The key is attached to the leader's lease, so it is
// deleted when the lease expires.
type leaderRecord struct {
	Node       ids.Node       `json:"node"`
	Writer     string         `json:"writer"`
	Lease      ids.Lease      `json:"hold"`
	Generation ids.Generation `json:"generation"`
}

// decodeLeader decodes the value of a leader key.
func decodeLeader(value json.RawMessage) (leader leaderRecord, err error) {
	if err := exactjson.Unmarshal(value, &leader); err != nil {
		return leaderRecord{}, fmt.Errorf("decode leader record: %w", err)
	}
	return leader, nil
}

// decodeGeneration decodes the value of a generation key.
func decodeGeneration(value json.RawMessage) (generation commit.GenerationRecord, err error) {
	if err := exactjson.Unmarshal(value, &generation); err != nil {
		return commit.GenerationRecord{}, fmt.Errorf("decode generation record: %w", err)
	}
	return generation, nil
}
