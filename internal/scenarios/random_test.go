package scenarios

import (
	"math/rand/v2"
	"sync"
	"time"
)

// randomSource are drawn by many at once.
type randomSource struct {
	mu     sync.Mutex
	source *rand.Rand
}

func newRandomSource(seed uint64) *randomSource {
	return &randomSource{source: rand.New(rand.NewPCG(seed, 1))}
}

func (random *randomSource) intn(n int) int {
	random.mu.Lock()
	defer random.mu.Unlock()
	return random.source.IntN(n)
}

func (random *randomSource) milliseconds(low, high int) time.Duration {
	return time.Duration(low+random.intn(high-low+1)) * time.Millisecond
}

func (random *randomSource) node() string { return nodeNames[random.intn(2)] }
