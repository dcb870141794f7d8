package config

import (
	"fmt"
	"os"

	"google.golang.org/protobuf/encoding/prototext"
)

// defaultShardCount is the number of shards if the features file does not set it.
const defaultShardCount = 1

// Writes and calls per second of the key-value store that each shard's leader needs to renew its lease
// and store its progress. They limit the number of shards.
const (
	minWritesPerShard = 5
	minCallsPerShard  = 15
)

// DefaultFeatures returns the features that apply without a features file.
func DefaultFeatures() *Features { return &Features{} }

// LoadFeatures reads the features file into the settings and checks it. With an empty path it keeps the
// defaults.
func (s *Settings) LoadFeatures(path string) error {
	if path == "" {
		return nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read features file: %w", err)
	}
	if err := s.ParseFeatures(raw); err != nil {
		return fmt.Errorf("features file %s: %w", path, err)
	}
	return nil
}

// ParseFeatures parses and checks the features in raw; fields that are not set keep their defaults. On an
// error the settings are unchanged.
func (s *Settings) ParseFeatures(raw []byte) error {
	features := DefaultFeatures()
	if err := prototext.Unmarshal(raw, features); err != nil {
		return err
	}
	limit := s.maxShards()
	if shards := features.shardCount(); shards < 1 || shards > limit {
		return fmt.Errorf("shards: must be 1 to %d with the configured limits of the state service: %d", limit, shards)
	}
	if err := s.checkDrains(features.Drains); err != nil {
		return err
	}
	s.Features = features
	return nil
}

// maxShards returns the number of leaders for which the limits of the key-value store are sufficient. All
// leaders together get owner_share of its writes, and two thirds of owner_share of its calls.
func (s *Settings) maxShards() int {
	limits := &s.Params.State
	byWrites := int(limits.WriteRPS * s.Operator.OwnerShare / minWritesPerShard)
	byCalls := int(limits.RPS * s.Operator.OwnerShare * 2 / 3 / minCallsPerShard)
	return max(1, min(byWrites, byCalls))
}

// ShardCount returns the number of shards of the machine pool.
func (s *Settings) ShardCount() int {
	if s.Features == nil {
		return defaultShardCount
	}
	return s.Features.shardCount()
}

// shardCount returns the number of shards, or the default if the file does not set it.
func (f *Features) shardCount() int {
	if f.Shards == nil {
		return defaultShardCount
	}
	return int(*f.Shards)
}
