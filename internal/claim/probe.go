package claim

import (
	"context"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/liveness"
	"github.com/pebbletrail/pebbletrail/internal/provisioning"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// sendProbes asks machines whose reports are overdue: one that hangs, is cut off or
// dead says nothing, while one that only lost its way here answers. After a
// takeover it asks all that are known, instead of waiting until their workers
// have found the new leader, and shows them its token.
func (d *Dispatcher) sendProbes(ctx context.Context) {
	for _, probe := range d.Cluster.dueProbes(time.Now(), cap(d.slots)) {
		go func() {
			var report *worker.Report
			if probe.incarnation > 0 {
				// No orders: only so that what older leaders sent is turned
				// away from here on, and the answer tells what is there.
				ctx, cancel := context.WithTimeout(ctx, liveness.ProbeTimeout)
				_, report = d.Commander.Send(ctx, probe.address, probe.fencingToken, probe.incarnation, nil)
				cancel()
			} else {
				report = d.Commander.FetchReport(ctx, probe.address, liveness.ProbeTimeout)
			}
			if report != nil && report.Machine != probe.machine {
				report = nil
			}
			if report != nil && report.FencingToken < probe.fencingToken {
				if _, fenced := d.Commander.Send(ctx, probe.address, probe.fencingToken, report.Incarnation, nil); fenced != nil && fenced.Machine == probe.machine {
					report = fenced
				}
			}
			d.Cluster.probeAnswered(probe.machine, report != nil)
			if report != nil {
				d.Cluster.ReconcileHeartbeat(report, false, false)
			}
		}()
	}
}

type probeRequest struct {
	machine      ids.Machine
	address      string
	fencingToken ids.Generation
	incarnation  ids.Incarnation // believed, of a machine not heard yet
}

// dueProbes picks whom to ask now, at most most at a time.
func (c *ClusterState) dueProbes(now time.Time, most int) (out []probeRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.probesIssuedAt) < 100*time.Millisecond {
		return nil
	}
	c.earlyProbeTokens = min(earlyProbesPerSecond, c.earlyProbeTokens+earlyProbesPerSecond*now.Sub(c.probesIssuedAt).Seconds())
	c.probesIssuedAt = now
	report := c.settings.Params.Workers.ReportS.Duration()
	var ask []*worker.Machine
	early := longestSilent{limit: int(c.earlyProbeTokens)}
	for _, machine := range c.machines.Machines {
		if machine.Deleting || machine.ProbeInFlight || machine.Addr == "" {
			continue
		}
		overdue := c.probeAfter(machine)
		again := overdue / 2
		if !machine.HasReported {
			again = time.Second
		}
		if machine.UnansweredProbes >= frequentProbes {
			// Whoever left so many questions unanswered is judged already; its
			// worker reports by itself once it is back.
			again = max(again, c.settings.Params.Workers.ReportS.Duration()/2)
		}
		if now.Sub(machine.LastProbeAt) > again && (machine.HasReported && (machine.SilentFor(now) > overdue || !machine.UnreachableSince.IsZero()) || !machine.HasReported && !machine.Booting) {
			if machine.HasReported && machine.UnansweredProbes == 0 && machine.UnreachableSince.IsZero() && machine.SilentFor(now) < report*5/4 && !c.hasReplicas(machine) {
				early.add(machine)
			} else {
				ask = append(ask, machine)
			}
		}
	}
	c.earlyProbeTokens -= float64(len(early.machines))
	ask = append(ask, early.machines...)
	// Those with replicas first, then whoever waits longest: hundreds that are
	// silent take turns.
	slices.SortFunc(ask, func(x, y *worker.Machine) int {
		if sx, sy := c.hasReplicas(x), c.hasReplicas(y); sx != sy {
			if sx {
				return -1
			}
			return 1
		}
		return x.LastProbeAt.Compare(y.LastProbeAt)
	})
	for _, machine := range ask[:max(0, min(len(ask), most-c.probesInFlight))] {
		machine.ProbeInFlight, machine.LastProbeAt = true, now
		c.probesInFlight++
		if machine.UnansweredProbes == 0 {
			machine.SuspectSince = now
		}
		probe := probeRequest{machine: machine.Name, address: machine.Addr, fencingToken: c.generation}
		if !machine.HasReported {
			probe.incarnation = machine.HintedIncarnation
		}
		out = append(out, probe)
	}
	return out
}

// earlyProbesPerSecond is how many machines without replicas are asked in a second before their
// reports, which come up to a quarter later than their interval, are overdue: in a
// large fleet half of all machines are that silent at any time, and to ask each of
// them costs its leader as much as their reports do.
const earlyProbesPerSecond = 30.0

// longestSilent keeps the few machines that have been silent for longest of the many, in a
// large fleet, whose reports are not overdue yet.
type longestSilent struct {
	limit    int
	machines []*worker.Machine // longest silent first
}

func (l *longestSilent) add(machine *worker.Machine) {
	at, _ := slices.BinarySearchFunc(l.machines, machine, func(x, y *worker.Machine) int { return x.LastReportAt.Compare(y.LastReportAt) })
	if at >= l.limit {
		return
	}
	l.machines = slices.Insert(l.machines, at, machine)
	l.machines = l.machines[:min(len(l.machines), l.limit)]
}

// frequentProbes is how many questions in a row are asked closely after another.
const frequentProbes = 4

// hasReplicas tells whether replicas run on a machine.
func (c *ClusterState) hasReplicas(machine *worker.Machine) bool {
	node := c.capacity.Node(machine.Name)
	return node != nil && node.Replicas > 0
}

// probeAfter is the silence after which a machine is asked how it is. Where
// replicas run, nobody waits long for a report: while a machine hangs, they are
// down, and reports may be far apart.
func (c *ClusterState) probeAfter(machine *worker.Machine) time.Duration {
	after := c.settings.Params.Workers.ReportS.Duration() / 2
	if c.hasReplicas(machine) {
		after = min(after, provisioning.MaxReplicaSilence*5/8)
	}
	return after
}

// recordReachability takes in whether a machine answered a call. One that did gets what it
// is owed; one that did not loses what was only marked for it: no start of that
// went out, so it may go elsewhere at once.
func (c *ClusterState) recordReachability(machine *worker.Machine, answered bool) {
	doubted := machine.Suspect()
	machine.RecordCall(answered, time.Now())
	node := c.capacity.Node(machine.Name)
	if node == nil {
		return
	}
	if answered {
		if doubted {
			c.pendingCommands[node] = true
		}
		return
	}
	for assignment := range node.Assignments {
		if !assignment.StartSent && !assignment.Stopping {
			c.removeAssignment(assignment)
			c.markChanged(assignment.Job)
		}
	}
}

func (c *ClusterState) probeAnswered(name ids.Machine, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probesInFlight--
	if machine := c.machines.Machines[name]; machine != nil {
		machine.ProbeInFlight = false
		if !answered {
			machine.UnansweredProbes++
		}
		c.recordReachability(machine, answered)
	}
}
