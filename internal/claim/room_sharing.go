package claim

import (
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Every shard rents machines of its own. When the cloud has no more, one shard may hold what
// another one lacks: the others then return what they only keep for later, and, if that does
// not do, one machine after the other of those that have more than their part.

// Lack is how much a shard lacks machines.
type Lack struct {
	// For is how long the cloud has refused what its waiting jobs need; 0: it has not.
	For      time.Duration
	Machines int // that it has
}

const (
	// lackFresh is how long what is known of another shard's lack holds.
	lackFresh = 3 * time.Second
	// lackLong is from when on a lack takes machines from shards that have more.
	lackLong = 10 * time.Second
	// giveUpEvery spaces the machines that a shard gives up.
	giveUpEvery = 5 * time.Second
)

// notedLack is a lack and when it was told.
type notedLack struct {
	Lack
	at time.Time
}

// SetLacking notes whether the cloud refuses now what waiting jobs need.
func (b *ClusterState) SetLacking(lacks bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !lacks:
		b.lackSince = time.Time{}
	case b.lackSince.IsZero():
		b.lackSince = now
	}
}

// Lack is how much this leader's shard lacks machines.
func (b *ClusterState) Lack() Lack {
	b.mu.Lock()
	defer b.mu.Unlock()
	lack := Lack{Machines: len(b.roster.Machines)}
	if !b.lackSince.IsZero() {
		lack.For = time.Since(b.lackSince)
	}
	return lack
}

// NoteLack takes in what the leader of another shard told.
func (s *Shards) NoteLack(shard ids.Shard, lack Lack) {
	s.lacksMu.Lock()
	defer s.lacksMu.Unlock()
	s.lacks[shard] = notedLack{lack, time.Now()}
}

// OthersLack is the longest lack of another shard, and the part of all machines that a shard
// has on average.
func (s *Shards) OthersLack(own ids.Shard) (longest time.Duration, part int) {
	total := 0
	for shard, p := range s.pools {
		lack, known := s.lackOf(ids.Shard(shard), p)
		if !known {
			continue
		}
		total += lack.Machines
		if ids.Shard(shard) != own {
			longest = max(longest, lack.For)
		}
	}
	return longest, total / len(s.pools)
}

// lackOf is what is known of a shard, led here or elsewhere.
func (s *Shards) lackOf(shard ids.Shard, p *Pool) (Lack, bool) {
	if b := p.Cluster(); b != nil {
		return b.Lack(), true
	}
	s.lacksMu.Lock()
	defer s.lacksMu.Unlock()
	noted, known := s.lacks[shard]
	return noted.Lack, known && time.Since(noted.at) < lackFresh
}

// ShareRoom makes room for other shards, which have lacked machines for so long: nothing is
// kept for later, and what is more than this shard's part is given up.
func (b *ClusterState) ShareRoom(lack time.Duration, part int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.othersLack = lack > 0
	if lack < lackLong || len(b.roster.Machines) <= part || now.Sub(b.gaveUp) < giveUpEvery || !b.Storing() {
		return
	}
	var least *host
	leastLoss := 0.0
	for name, h := range b.hosts {
		m := b.roster.Machines[name]
		if m == nil || m.Draining != "" {
			if m != nil && m.Draining == givenUp {
				return // one at a time
			}
			continue
		}
		loss := 0.0
		for p := range h.places {
			loss += p.lossIfStopped(now) * float64(1+p.Job.priority())
		}
		if least == nil || loss < leastLoss || loss == leastLoss && name < least.name {
			least, leastLoss = h, loss
		}
	}
	if least == nil {
		return
	}
	b.gaveUp = now
	b.roster.Machines[least.name].Draining = givenUp
	b.leaving[least.name] = true
	slog.Info("machine given up", "machine", least.name, "why", givenUp)
}

// givenUp is why such a machine is drained and returned.
const givenUp = "its room is needed in another shard"
