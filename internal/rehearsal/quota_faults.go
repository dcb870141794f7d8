package rehearsal

import (
	"math/rand/v2"
	"time"
)

// injectFaults pauses and kills controllers and makes the state service unavailable, one fault at a
// time, until stop is closed. It ends every fault that it has begun before it returns.
func (c *localCluster) injectFaults(rng *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(2000+rng.IntN(3000)) * time.Millisecond):
		}
		controller := c.controllers[rng.IntN(len(c.controllers))]
		faultDuration := time.Duration(1500+rng.IntN(4000)) * time.Millisecond
		switch rng.IntN(5) {
		case 4:
			faultDuration += workerLease // starts that the leader was about to send are outdated when it resumes
			fallthrough
		case 0, 1:
			c.record(Event{Kind: FaultInjected, Where: controller.name, Why: "paused"})
			controller.pause()
			time.Sleep(faultDuration)
			controller.resume()
			c.record(Event{Kind: FaultInjected, Where: controller.name, Why: "goes on"})
		case 2:
			c.record(Event{Kind: FaultInjected, Where: controller.name, Why: "killed"})
			controller.kill()
			time.Sleep(faultDuration / 4)
			c.restart(controller)
		case 3:
			c.record(Event{Kind: FaultInjected, Where: "state service", Why: "down"})
			c.store.SetDown(true)
			time.Sleep(faultDuration / 2)
			c.store.SetDown(false)
			c.record(Event{Kind: FaultInjected, Where: "state service", Why: "serves again"})
		}
	}
}
