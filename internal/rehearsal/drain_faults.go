package rehearsal

import (
	"math/rand/v2"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

// injectFaults has controllers, machines and a replacement fail, wave by wave: the leader is killed
// twice, one controller is paused for longer than its lease, three machines stop by themselves,
// and one replacement never comes up, which halts the rollout until it is resumed.
func (r *drainRun) injectFaults(rng *rand.Rand, deadline time.Time) error {
	for i, inject := range []func(){
		r.killLeader,
		func() { r.pauseLeader(rng) },
		func() {
			r.failMachines(rng)
			r.failNextReplacement()
		},
		r.killLeader,
	} {
		if err := r.awaitRollout(deadline, "a wave is drained", waveDraining(i+1)); err != nil {
			return err
		}
		time.Sleep(time.Duration(500+rng.IntN(1500)) * time.Millisecond)
		inject()
	}
	return nil
}

// waveDraining tells whether a rollout has begun to drain a wave, is beyond it, or has ended.
func waveDraining(wave int) func(rollout.Record) bool {
	return func(stored rollout.Record) bool {
		return stored.State == rollout.Ended || stored.Waves > wave ||
			stored.Waves == wave && stored.Wave != nil && stored.Wave.DrainingSince > 0
	}
}

// leaderDowntime is how long a killed leader stays down.
const leaderDowntime = 3 * time.Second

func (r *drainRun) killLeader() {
	c, leader := r.cluster, r.leader()
	c.record(Event{Kind: FaultInjected, Where: leader.name, Why: "killed; it led"})
	leader.kill()
	time.Sleep(leaderDowntime)
	c.restart(leader)
}

func (r *drainRun) pauseLeader(rng *rand.Rand) {
	c, leader := r.cluster, r.leader()
	c.record(Event{Kind: FaultInjected, Where: leader.name, Why: "paused; it led"})
	leader.pause()
	time.Sleep(workerLease + time.Duration(rng.IntN(3000))*time.Millisecond)
	leader.resume()
	c.record(Event{Kind: FaultInjected, Where: leader.name, Why: "goes on"})
}

// failedMachines is how many machines stop by themselves.
const failedMachines = 3

func (r *drainRun) failMachines(rng *rand.Rand) {
	c := r.cluster
	names := c.cloud.runningMachines()
	rng.Shuffle(len(names), func(x, y int) { names[x], names[y] = names[y], names[x] })
	for _, name := range names[:min(failedMachines, len(names))] {
		c.record(Event{Kind: FaultInjected, Where: name, Why: "stops by itself"})
		c.cloud.failMachine(name)
		time.Sleep(time.Second)
	}
}

// failNextReplacement has the next machine that is provisioned never come up.
func (r *drainRun) failNextReplacement() {
	r.cluster.cloud.failNextBoot()
	r.cluster.record(Event{Kind: FaultInjected, Where: "cloud", Why: "the next machine rented never comes up"})
}

// resumeInterval spaces the operator's looks at the rollout.
const resumeInterval = time.Second

// resumeHalted plays the operator until it is stopped: whenever the rollout halts, the reason is
// recorded and it is resumed.
func (r *drainRun) resumeHalted(deadline time.Time, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(resumeInterval):
		}
		if stored := r.storedRollout(); stored.State == rollout.Halted {
			r.cluster.record(Event{Kind: RolloutHalted, Why: stored.Reason})
			if r.sendCommand(deadline, rollout.Path+"/"+string(rolloutName)+"/"+string(rollout.CommandResume), nil) != nil {
				return // the run's deadline has passed
			}
			time.Sleep(resumeInterval)
		}
	}
}
