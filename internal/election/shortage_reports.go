package election

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/provisioning"
)

// shortageFresh is how long what is known of another shard's shortage holds.
const shortageFresh = 3 * time.Second

// reportedShortage is a lack and when it was told.
type reportedShortage struct {
	provisioning.Shortage
	at time.Time
}

// ReportShortage takes in what the leader of another shard told.
func (s *Shards) ReportShortage(shard ids.Shard, lack provisioning.Shortage) {
	s.shortagesMu.Lock()
	defer s.shortagesMu.Unlock()
	s.shortages[shard] = reportedShortage{lack, time.Now()}
}

// OtherShardsShortage is the longest lack of another shard, and the part of all machines that a shard
// has on average.
func (s *Shards) OtherShardsShortage(own ids.Shard) (longest time.Duration, part int) {
	total := 0
	for shard, elector := range s.pools {
		lack, known := s.shortageOf(ids.Shard(shard), elector)
		if !known {
			continue
		}
		total += lack.Machines
		if ids.Shard(shard) != own {
			longest = max(longest, lack.Duration)
		}
	}
	return longest, total / len(s.pools)
}

// shortageOf is what is known of a shard, led here or elsewhere.
func (s *Shards) shortageOf(shard ids.Shard, elector *Elector) (provisioning.Shortage, bool) {
	if cluster := elector.Cluster(); cluster != nil {
		return cluster.Shortage(), true
	}
	s.shortagesMu.Lock()
	defer s.shortagesMu.Unlock()
	noted, known := s.shortages[shard]
	return noted.Shortage, known && time.Since(noted.at) < shortageFresh
}
