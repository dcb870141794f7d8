package claim

import (
	"math"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

func (c *ClusterState) retryOf(job *Job, i int) *Retry {
	retry := job.Retries[i]
	if retry == nil {
		retry = &Retry{Avoid: map[ids.Machine]bool{}}
		job.Retries[i] = retry
	}
	return retry
}

// backOff doubles the wait before a failing task's next try.
func (c *ClusterState) backOff(job *Job, i int, now time.Time) *Retry {
	retry := c.retryOf(job, i)
	retry.Failures++
	retry.NotBefore = now.Add(c.backOffDelay(retry.Failures))
	return retry
}

func (c *ClusterState) backOffDelay(fails int) time.Duration {
	wait := c.settings.Own.BackoffS * math.Pow(2, float64(min(fails, 16)-1))
	return ids.Seconds(min(wait, c.settings.Own.BackoffMaxS)).Duration()
}
