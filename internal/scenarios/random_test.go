package scenarios

import (
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"
)

// randomSource is a random number generator with a fixed seed. Its methods may be called from any
// goroutine.
type randomSource struct {
	mu     sync.Mutex
	source *rand.Rand
}

// newRandomSource returns a generator with the given seed.
func newRandomSource(seed uint64) *randomSource {
	return &randomSource{source: rand.New(rand.NewPCG(seed, 1))}
}

// intn returns a number from 0 to n-1.
func (s *randomSource) intn(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.IntN(n)
}

// milliseconds returns a duration from low to high, both included.
func (s *randomSource) milliseconds(low, high int) time.Duration {
	return time.Duration(low+s.intn(high-low+1)) * time.Millisecond
}

// node returns the name of a random node.
func (s *randomSource) node() string { return nodeNames[s.intn(2)] }

// seeds returns the number of seeds that a random test plays: usual, or SCENARIO_SEEDS for a long run by
// hand.
func seeds(usual uint64) uint64 {
	if count, err := strconv.ParseUint(os.Getenv("SCENARIO_SEEDS"), 10, 32); err == nil {
		return count
	}
	return usual
}
