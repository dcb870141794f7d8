package config

import (
	"fmt"
	"os"

	"google.golang.org/protobuf/encoding/prototext"
)

// Bounds of the number of shards. Each has a leader whose own calls and changes of the
// state service must let it hold its lease and store its markers.
const (
	defaultShards = 1
	// minShardWrites and minShardCalls are the least that a shard's leader needs a second.
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

// ParseFeatures reads and checks features over the defaults.
func (s *Settings) ParseFeatures(raw []byte) error {
	features := DefaultFeatures()
	if err := prototext.Unmarshal(raw, features); err != nil {
		return err
	}
	limits := &s.Params.State
	most := max(1, min(int(limits.WriteRPS*s.Own.OwnerShare/minShardWrites), int(limits.RPS*s.Own.OwnerShare*2/3/minShardCalls)))
	if n := features.shardCount(); n < 1 || n > most {
		return fmt.Errorf("shards: must be 1 to %d with these limits of the state service: %d", most, n)
	}
	if err := s.checkDrains(features.Drains); err != nil {
		return err
	}
	s.Features = features
	return nil
}

// Shards is into how many shards the machine pool is split.
func (s *Settings) Shards() int {
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
