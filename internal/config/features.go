package config

import (
	"fmt"
	"os"

	"google.golang.org/protobuf/encoding/prototext"
)

// defaultShards is the number of shards when the features' file names none.
const defaultShards = 1

// Bounds of the number of shards. Each shard's leader needs so many writes and calls per second
// of the key-value store to renew its lease and store its progress.
const (
	minShardWrites = 5
	minShardCalls  = 15
)

// DefaultFeatures are the features when no file names any.
func DefaultFeatures() *Features { return &Features{} }

// LoadFeatures reads the features' file into the settings and checks it; without a path the
// defaults stay.
func (s *Settings) LoadFeatures(path string) error {
	if path == "" {
		return nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("features: %w", err)
	}
	if err := s.ParseFeatures(raw); err != nil {
		return fmt.Errorf("features %s: %w", path, err)
	}
	return nil
}

// ParseFeatures reads and checks features over the defaults. On an error the settings stay as they
// are.
func (s *Settings) ParseFeatures(raw []byte) error {
	features := DefaultFeatures()
	if err := prototext.Unmarshal(raw, features); err != nil {
		return err
	}
	most := s.maxShards()
	if shards := features.shardCount(); shards < 1 || shards > most {
		return fmt.Errorf("shards: must be 1 to %d with these limits of the state service: %d", most, shards)
	}
	if err := s.checkDrains(features.Drains); err != nil {
		return err
	}
	s.Features = features
	return nil
}

// maxShards is how many leaders the limits of the key-value store suffice for. Leaders get their
// share of its writes, and two thirds of that share of its calls.
func (s *Settings) maxShards() int {
	limits := &s.Params.State
	byWrites := int(limits.WriteRPS * s.Operator.OwnerShare / minShardWrites)
	byCalls := int(limits.RPS * s.Operator.OwnerShare * 2 / 3 / minShardCalls)
	return max(1, min(byWrites, byCalls))
}

// ShardCount returns how many shards the machine pool has.
func (s *Settings) ShardCount() int {
	if s.Features == nil {
		return defaultShards
	}
	return s.Features.shardCount()
}

// shardCount is the number of shards, or the default where the file names none.
func (f *Features) shardCount() int {
	if f.Shards == nil {
		return defaultShards
	}
	return int(*f.Shards)
}
