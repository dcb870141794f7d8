package rehearsal

import (
	"math/rand/v2"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

// injectFaults injects faults wave by wave: it kills the leader twice, pauses the leader for longer
// than its lease, fails three machines, and prevents one replacement from coming up, which halts
// the rollout until it is resumed.
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

// waveDraining returns a condition that holds once a rollout has begun to drain the given wave, has
// reached a later wave, or has ended.
func waveDraining(wave int) func(rollout.Record) bool {
	return func(stored rollout.Record) bool {
		return stored.State == rollout.Ended || stored.Waves > wave ||
			stored.Waves == wave && stored.Wave != nil && stored.Wave.DrainingSince > 0
	}
}

// leaderDowntime is the time from killing the leader to restarting it.
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

// failedMachines is the number of machines that fail.
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

// failNextReplacement makes the next provisioned machine stay in the booting state.
func (r *drainRun) failNextReplacement() {
	r.cluster.cloud.failNextBoot()
	r.cluster.record(Event{Kind: FaultInjected, Where: "cloud", Why: "the next machine rented never comes up"})
}

// operatorCheckInterval is the interval at which the simulated operator checks the rollout.
const operatorCheckInterval = time.Second

// resumeHaltedRollout simulates the operator until stop is closed: whenever the rollout halts, it records
// the reason and resumes the rollout.
func (r *drainRun) resumeHaltedRollout(deadline time.Time, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(operatorCheckInterval):
		}
		if stored := r.storedRollout(); stored.State == rollout.Halted {
			r.cluster.record(Event{Kind: RolloutHalted, Why: stored.Reason})
			if r.sendCommand(deadline, rollout.Path+"/"+string(rolloutName)+"/"+string(rollout.CommandResume), nil) != nil {
				return // the run's deadline has passed
			}
			time.Sleep(operatorCheckInterval)
		}
	}
}
