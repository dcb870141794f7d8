package dispatch

import (
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/provisioning"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// Probe asks a machine for its report.
type Probe struct {
	Machine      ids.Machine
	Address      string
	FencingToken ids.Generation
	Incarnation  ids.Incarnation // believed, of a machine that has not reported yet
}

// Prober picks the machines to probe for their reports: one that hangs, is partitioned or dead does not answer,
// while one that only lost its connection to the leader does. After a failover it probes all that are known,
// instead of waiting until their workers have found the new leader, and shows them its fencing token. The lock of
// the cluster state guards it.
type Prober struct {
	machines *worker.Registry
	capacity *capacity.Index
	settings *config.Settings
	pickedAt time.Time // when machines were last picked
	inFlight int
	// earlyTokens are the probes that may be sent now before a report is overdue.
	earlyTokens float64
}

// NewProber returns a prober of the machines in a registry.
func NewProber(settings *config.Settings, machines *worker.Registry, index *capacity.Index) *Prober {
	return &Prober{settings: settings, machines: machines, capacity: index}
}

// reportInterval returns how often workers report.
func (p *Prober) reportInterval() time.Duration { return p.settings.Params.Workers.ReportS.Duration() }

const (
	// pickInterval is the least time between two searches for machines to probe.
	pickInterval = 100 * time.Millisecond
	// unheardRetry is after how long a machine that never reported is probed again.
	unheardRetry = time.Second
	// frequentProbes is how many probes in a row follow one another closely. A machine that left so many
	// unanswered is judged already; its worker reports by itself once it is back.
	frequentProbes = 4
	// earlyProbesPerSecond is how many machines without replicas are probed in a second before their
	// reports, which come up to a quarter later than their interval, are overdue: in a large fleet half
	// of all machines are that silent at any time, and to probe each of them costs its leader as much as
	// their reports do.
	earlyProbesPerSecond = 30.0
)

// Due picks the machines to probe now, with at most limit probes in flight: those with replicas first, then the
// ones whose last probe is longest ago, so that hundreds that are silent take turns.
func (p *Prober) Due(now time.Time, limit int, fencingToken ids.Generation) (probes []Probe) {
	if now.Sub(p.pickedAt) < pickInterval {
		return nil
	}
	p.earlyTokens = min(earlyProbesPerSecond, p.earlyTokens+earlyProbesPerSecond*now.Sub(p.pickedAt).Seconds())
	p.pickedAt = now
	machines := p.silentMachines(now)
	slices.SortFunc(machines, p.compareUrgency)
	for _, machine := range machines[:max(0, min(len(machines), limit-p.inFlight))] {
		p.inFlight++
		machine.ProbeInFlight, machine.LastProbeAt = true, now
		if machine.UnansweredProbes == 0 {
			machine.SuspectSince = now
		}
		probe := Probe{Machine: machine.Name, Address: machine.Addr, FencingToken: fencingToken}
		if !machine.HasReported {
			probe.Incarnation = machine.HintedIncarnation
		}
		probes = append(probes, probe)
	}
	return probes
}

// silentMachines returns the machines to probe: all that are silent for too long, and of those whose reports
// are not overdue yet the few that have been silent for longest.
func (p *Prober) silentMachines(now time.Time) (silent []*worker.Machine) {
	early := longestSilent{limit: int(p.earlyTokens)}
	for _, machine := range p.machines.Machines {
		switch {
		case machine.Deleting || machine.ProbeInFlight || machine.Addr == "" || !p.isDue(machine, now):
		case p.isEarly(machine, now):
			early.add(machine)
		default:
			silent = append(silent, machine)
		}
	}
	p.earlyTokens -= float64(len(early.machines))
	return append(silent, early.machines...)
}

// isDue reports whether a machine has been silent for long enough to be probed, and was not probed just now.
func (p *Prober) isDue(machine *worker.Machine, now time.Time) bool {
	if !machine.HasReported {
		return !machine.Booting && now.Sub(machine.LastProbeAt) > p.retryDelay(machine)
	}
	silent := machine.SilentFor(now) > p.probeAfter(machine) || !machine.UnreachableSince.IsZero()
	return silent && now.Sub(machine.LastProbeAt) > p.retryDelay(machine)
}

// isEarly reports whether a machine's report is not overdue yet and nothing else speaks against it.
func (p *Prober) isEarly(machine *worker.Machine, now time.Time) bool {
	return machine.HasReported && machine.UnansweredProbes == 0 && machine.UnreachableSince.IsZero() &&
		machine.SilentFor(now) < p.reportInterval()*5/4 && !p.hasReplicas(machine)
}

// retryDelay returns after how long a machine is probed again.
func (p *Prober) retryDelay(machine *worker.Machine) time.Duration {
	delay := p.probeAfter(machine) / 2
	if !machine.HasReported {
		delay = unheardRetry
	}
	if machine.UnansweredProbes >= frequentProbes {
		delay = max(delay, p.reportInterval()/2)
	}
	return delay
}

// probeAfter returns the silence after which a machine is probed. It is short where replicas run: while a machine
// hangs, they are down, and reports may be far apart.
func (p *Prober) probeAfter(machine *worker.Machine) time.Duration {
	after := p.reportInterval() / 2
	if p.hasReplicas(machine) {
		after = min(after, provisioning.MaxReplicaSilence*5/8)
	}
	return after
}

// hasReplicas reports whether replicas run on a machine.
func (p *Prober) hasReplicas(machine *worker.Machine) bool {
	node := p.capacity.Node(machine.Name)
	return node != nil && node.Replicas > 0
}

// compareUrgency orders machines by how urgent it is to probe them.
func (p *Prober) compareUrgency(x, y *worker.Machine) int {
	if first, second := p.hasReplicas(x), p.hasReplicas(y); first != second {
		if first {
			return -1
		}
		return 1
	}
	return x.LastProbeAt.Compare(y.LastProbeAt)
}

// Answered records whether a machine answered its probe. It returns the machine; nil if it is not known any more.
func (p *Prober) Answered(name ids.Machine, answered bool) *worker.Machine {
	p.inFlight--
	machine := p.machines.Machines[name]
	if machine == nil {
		return nil
	}
	machine.ProbeInFlight = false
	if !answered {
		machine.UnansweredProbes++
	}
	return machine
}

// longestSilent keeps the few machines that have been silent for longest of the many, in a large fleet,
// whose reports are not overdue yet.
type longestSilent struct {
	limit    int
	machines []*worker.Machine // longest silent first
}

// add keeps a machine if it is among the longest silent so far.
func (l *longestSilent) add(machine *worker.Machine) {
	byLastReport := func(x, y *worker.Machine) int { return x.LastReportAt.Compare(y.LastReportAt) }
	at, _ := slices.BinarySearchFunc(l.machines, machine, byLastReport)
	if at >= l.limit {
		return
	}
	l.machines = slices.Insert(l.machines, at, machine)
	l.machines = l.machines[:min(len(l.machines), l.limit)]
}
