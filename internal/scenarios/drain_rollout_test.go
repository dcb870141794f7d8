package scenarios

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

// newRollout returns a rollout that drains the machines named, or all machines in zone north if none
// is named.
func newRollout(name string, machines ...ids.Machine) *rollout.Spec {
	spec := &rollout.Spec{Name: rollout.Name(name), WaveSize: 2, Deadline: 60, DeadlineAction: rollout.WaitAtDeadline}
	if spec.Select.Machines = machines; len(machines) == 0 {
		spec.Select.Zone = "north"
	}
	return spec
}

// newReplacement returns a rollout that replaces the machines that run in zone north at the time of
// the call.
func newReplacement(name string, c *drainCluster) *rollout.Spec {
	spec := newRollout(name, c.machinesIn("north")...)
	spec.Replace, spec.Surge, spec.Observe = true, true, 20
	return spec
}

// startRollout starts a rollout through a controller that does not lead.
func (c *drainCluster) startRollout(spec *rollout.Spec) {
	c.t.Helper()
	if err := c.callUntilAvailable(func(n *drainNode) error { _, err := n.rollouts.Start(c.ctx, spec); return err }); err != nil {
		c.t.Fatalf("start of rollout %s failed: %v", spec.Name, err)
	}
}

// executeCommand sends a command for a rollout through a controller that does not lead.
func (c *drainCluster) executeCommand(name string, command rollout.Command) {
	c.t.Helper()
	err := c.callUntilAvailable(func(n *drainNode) error { _, err := n.rollouts.Execute(c.ctx, rollout.Name(name), command); return err })
	if err != nil {
		c.t.Fatalf("command %s for rollout %s failed: %v", command, name, err)
	}
}

// callUntilAvailable calls a controller that does not lead, once a second, until the rollout service
// is available there.
func (c *drainCluster) callUntilAvailable(call func(n *drainNode) error) (err error) {
	for range 30 {
		if err = call(c.follower()); err == nil || !strings.Contains(err.Error(), rollout.ErrUnavailable.Error()) {
			return err
		}
		time.Sleep(time.Second)
	}
	return err
}

// rolloutRecord returns the stored record of a rollout.
func (c *drainCluster) rolloutRecord(name string) (r rollout.Record) {
	_ = json.Unmarshal(c.store.Value("rollout/run/"+name), &r) // zero if the rollout isn't stored yet
	return r
}

// awaitState waits until a rollout is in the given state.
func (c *drainCluster) awaitState(name string, want rollout.State, timeout time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(timeout); c.rolloutRecord(name).State != want; {
		if time.Now().After(end) {
			blockers, _ := c.follower().DrainBlockers(c.ctx)
			c.t.Fatalf("rollout %s is not in state %s within %v; record: %s; blocked drains: %v", name, want, timeout, c.store.Value("rollout/run/"+name), blockers)
		}
		time.Sleep(100 * time.Millisecond)
		c.checkInvariants()
	}
}

// awaitBlocker waits until the drain of some machine is blocked for a reason that contains the text.
func (c *drainCluster) awaitBlocker(text string) {
	c.t.Helper()
	c.eventually(time.Minute, "a drain is blocked: "+text, func() bool { return c.isBlockedBy(text) })
}

// isBlockedBy reports whether the drain of some machine is blocked for a reason that contains the
// text.
func (c *drainCluster) isBlockedBy(text string) bool {
	blockers, err := c.follower().DrainBlockers(c.ctx)
	if err != nil {
		return false
	}
	for _, reasons := range blockers {
		if strings.Contains(strings.Join(reasons, "; "), text) {
			return true
		}
	}
	return false
}
