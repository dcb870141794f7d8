package rehearsal

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

// disturb has controllers, machines and a replacement fail, wave by wave: the leader is killed
// twice, one controller stands still for longer than its lease, three machines stop by themselves,
// and one replacement never comes up, which halts the rollout until it is resumed.
func (r *drainRun) disturb(rng *rand.Rand, deadline time.Time) error {
	draining := func(wave int) func(rollout.Record) bool {
		return func(stored rollout.Record) bool {
			return stored.State == rollout.Ended || stored.Waves > wave || stored.Waves == wave && stored.Wave != nil && stored.Wave.DrainingSince > 0
		}
	}
	for i, step := range []func(){
		r.killLeader,
		func() { r.pauseLeader(rng) },
		func() {
			r.failMachines(rng)
			r.spoilReplacement()
		},
		r.killLeader,
	} {
		if err := r.await(deadline, "a wave is drained", draining(i+1)); err != nil {
			return err
		}
		time.Sleep(time.Duration(500+rng.IntN(1500)) * time.Millisecond)
		step()
	}
	return nil
}

// leader is the controller that leads, as far as any of them knows.
func (r *drainRun) leader() *Controller {
	for _, controller := range r.cluster.controllers {
		var status struct {
			Owner string `json:"owner"`
			Node  string `json:"node"`
		}
		if r.status(controller, &status) != nil || status.Owner == "" {
			continue
		}
		for _, other := range r.cluster.controllers {
			if other.Name == status.Owner {
				return other
			}
		}
	}
	return r.cluster.controllers[0]
}

// status asks a controller how it fares.
func (r *drainRun) status(controller *Controller, into any) error {
	res, err := r.cluster.http.Get("http://" + controller.users + "/v2/status")
	if err != nil {
		return err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, into)
}

func (r *drainRun) killLeader() {
	c, leader := r.cluster, r.leader()
	c.note(Event{Kind: Disturbed, Where: leader.Name, Why: "killed; it led"})
	leader.Kill()
	time.Sleep(3 * time.Second)
	c.startAgain(leader)
}

func (r *drainRun) pauseLeader(rng *rand.Rand) {
	c, leader := r.cluster, r.leader()
	c.note(Event{Kind: Disturbed, Where: leader.Name, Why: "paused; it led"})
	leader.Pause()
	time.Sleep(workerLease + time.Duration(rng.IntN(3000))*time.Millisecond)
	leader.Resume()
	c.note(Event{Kind: Disturbed, Where: leader.Name, Why: "goes on"})
}

// failedMachines is how many machines stop by themselves.
const failedMachines = 3

func (r *drainRun) failMachines(rng *rand.Rand) {
	c := r.cluster
	names := c.cloud.names()
	rng.Shuffle(len(names), func(x, y int) { names[x], names[y] = names[y], names[x] })
	for _, name := range names[:min(failedMachines, len(names))] {
		c.note(Event{Kind: Disturbed, Where: name, Why: "stops by itself"})
		c.cloud.fail(name)
		time.Sleep(time.Second)
	}
}

// spoilReplacement has the next machine that is rented never come up.
func (r *drainRun) spoilReplacement() {
	r.cluster.cloud.spoil()
	r.cluster.note(Event{Kind: Disturbed, Where: "cloud", Why: "the next machine rented never comes up"})
}

// resumeHalted is the operator: whenever the rollout halts, the reason is noted and it is resumed.
func (r *drainRun) resumeHalted(deadline time.Time, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		if stored := r.stored(); stored.State == rollout.Halted {
			r.cluster.note(Event{Kind: Halt, Why: stored.Why})
			if r.command(deadline, rollout.Path+"/"+string(drainName)+"/"+string(rollout.ResumeIt), nil) != nil {
				return // the time is up
			}
			time.Sleep(time.Second)
		}
	}
}

// counts are how often permits were given and refused, as far as the controllers that run still
// know.
func (r *drainRun) counts() map[string]int {
	sums := map[string]int{}
	for _, controller := range r.cluster.controllers {
		var status struct {
			Counts map[string]int `json:"counts"`
		}
		if r.status(controller, &status) != nil {
			continue
		}
		for _, what := range []string{rollout.PermitsGiven, rollout.PermitsRefused} {
			sums[what] += status.Counts[what]
		}
	}
	return sums
}

// cordoned is how many machines the leader still keeps closed to new work; -1 if nobody tells.
func (r *drainRun) cordoned() int {
	for _, controller := range r.cluster.controllers {
		var status struct {
			Pool *struct {
				Cordoned int `json:"cordoned"`
			} `json:"pool"`
		}
		if r.status(controller, &status) == nil && status.Pool != nil {
			return status.Pool.Cordoned
		}
	}
	return -1
}

// seconds is a duration as settings have it.
func seconds(d time.Duration) ids.Seconds { return ids.Seconds(d.Seconds()) }
