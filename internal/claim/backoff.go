package claim

import (
	"math"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

func (b *ClusterState) tryOf(j *Job, i int) *retry {
	r := j.tries[i]
	if r == nil {
		r = &retry{avoid: map[ids.Machine]bool{}}
		j.tries[i] = r
	}
	return r
}

// backoff doubles the wait before a failing task's next try.
func (b *ClusterState) backoff(j *Job, i int, now time.Time) *retry {
	r := b.tryOf(j, i)
	r.fails++
	r.at = now.Add(b.waitAfter(r.fails))
	return r
}

func (b *ClusterState) waitAfter(fails int) time.Duration {
	wait := b.set.Own.BackoffS * math.Pow(2, float64(min(fails, 16)-1))
	return ids.Seconds(min(wait, b.set.Own.BackoffMaxS)).Duration()
}
