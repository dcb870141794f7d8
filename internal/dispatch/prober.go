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

// Probe is a request for a machine's report.
type Probe struct {
	Machine      ids.Machine
	Address      string
	FencingToken ids.Generation
	Incarnation  ids.Incarnation // as hinted, for a machine that has not reported yet; otherwise 0
}

// Prober selects the machines to probe for their reports. A machine that hangs, is partitioned or is dead
// does not answer; one that only lost its connection to the leader does. After a failover all known
// machines are probed, which shows them the new leader's fencing token without waiting until their workers
// find the new leader. The lock of the cluster state guards a Prober.
type Prober struct {
	machines   *worker.Registry
	capacity   *capacity.Index
	settings   *config.Settings
	selectedAt time.Time // when machines were last selected
	inFlight   int
	// earlyTokens is the number of probes that may be sent now to machines whose reports are not overdue.
	earlyTokens float64
}

// NewProber returns a Prober of the machines in a registry.
func NewProber(settings *config.Settings, machines *worker.Registry, index *capacity.Index) *Prober {
	return &Prober{settings: settings, machines: machines, capacity: index}
}

// reportInterval returns the interval at which workers report.
func (p *Prober) reportInterval() time.Duration { return p.settings.Params.Workers.ReportS.Duration() }

const (
	// selectionInterval is the minimum time between two selections of machines to probe.
	selectionInterval = 100 * time.Millisecond
	// unreportedRetryDelay is the delay before a machine that never reported is probed again.
	unreportedRetryDelay = time.Second
	// maxFrequentProbes is the number of consecutive probes that are sent at short intervals. A machine
	// that left that many unanswered is already treated as suspect, and its worker sends a heartbeat on its
	// own once it is back.
	maxFrequentProbes = 4
	// earlyProbesPerSecond limits how many machines without replicas are probed per second before their
	// reports are overdue. Reports may arrive a quarter of their interval late. At any time, half of
	// the machines of a large fleet have been silent for long enough to be probed, and probing each of them
	// would cost the leader as much as their reports do.
	earlyProbesPerSecond = 30.0
)

// SelectProbes selects the machines to probe now, with at most limit probes in flight. Machines with replicas
// come first, then those whose last probe was longest ago, so that hundreds of silent machines take turns.
func (p *Prober) SelectProbes(now time.Time, limit int, tokens ids.TokenRange) (probes []Probe) {
	if now.Sub(p.selectedAt) < selectionInterval {
		return nil
	}
	p.earlyTokens = min(earlyProbesPerSecond, p.earlyTokens+earlyProbesPerSecond*now.Sub(p.selectedAt).Seconds())
	p.selectedAt = now
	machines := p.silentMachines(now)
	slices.SortFunc(machines, p.compareUrgency)
	for _, machine := range machines[:max(0, min(len(machines), limit-p.inFlight))] {
		p.inFlight++
		machine.ProbeInFlight, machine.LastProbeAt = true, now
		if machine.UnansweredProbes == 0 {
			machine.SuspectSince = now
		}
		probe := Probe{Machine: machine.Name, Address: machine.Addr, FencingToken: machine.CommandToken(tokens)}
		if !machine.HasReported {
			probe.Incarnation = machine.HintedIncarnation
		}
		probes = append(probes, probe)
	}
	return probes
}

// silentMachines returns the machines to probe: all that are due for a probe, except that of the early ones,
// as defined by isEarly, only the few that have been silent for longest are included.
func (p *Prober) silentMachines(now time.Time) (silent []*worker.Machine) {
	early := longestSilentMachines{limit: int(p.earlyTokens)}
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

// isDue reports whether a machine has been silent for long enough to be probed and was not probed recently.
func (p *Prober) isDue(machine *worker.Machine, now time.Time) bool {
	if !machine.HasReported {
		return !machine.Booting && now.Sub(machine.LastProbeAt) > p.retryDelay(machine)
	}
	silent := machine.SilentFor(now) > p.probeAfter(machine) || !machine.UnreachableSince.IsZero()
	return silent && now.Sub(machine.LastProbeAt) > p.retryDelay(machine)
}

// isEarly reports whether a machine has no replicas, its report is not overdue yet, and it shows no sign of a
// failure.
func (p *Prober) isEarly(machine *worker.Machine, now time.Time) bool {
	return machine.HasReported && machine.UnansweredProbes == 0 && machine.UnreachableSince.IsZero() &&
		machine.SilentFor(now) < p.reportInterval()*5/4 && !p.hasReplicas(machine)
}

// retryDelay returns the delay before a machine is probed again.
func (p *Prober) retryDelay(machine *worker.Machine) time.Duration {
	delay := p.probeAfter(machine) / 2
	if !machine.HasReported {
		delay = unreportedRetryDelay
	}
	if machine.UnansweredProbes >= maxFrequentProbes {
		delay = max(delay, p.reportInterval()/2)
	}
	return delay
}

// probeAfter returns the silence after which a machine is probed. It is short for a machine with replicas,
// because they are unavailable while the machine hangs, and the report interval may be long.
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

// compareUrgency orders machines by the urgency of a probe.
func (p *Prober) compareUrgency(x, y *worker.Machine) int {
	if first, second := p.hasReplicas(x), p.hasReplicas(y); first != second {
		if first {
			return -1
		}
		return 1
	}
	return x.LastProbeAt.Compare(y.LastProbeAt)
}

// RecordAnswer records whether a machine answered its probe. It returns the machine, or nil if it is not
// known any more.
func (p *Prober) RecordAnswer(name ids.Machine, answered bool) *worker.Machine {
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

// longestSilentMachines collects at most limit machines, those that have been silent for longest. It
// selects among the machines whose reports are not overdue yet, of which a large fleet has many.
type longestSilentMachines struct {
	limit    int
	machines []*worker.Machine // longest silent first
}

// add adds a machine if it is among the longest silent so far.
func (l *longestSilentMachines) add(machine *worker.Machine) {
	byLastReport := func(x, y *worker.Machine) int { return x.LastReportAt.Compare(y.LastReportAt) }
	at, _ := slices.BinarySearchFunc(l.machines, machine, byLastReport)
	if at >= l.limit {
		return
	}
	l.machines = slices.Insert(l.machines, at, machine)
	l.machines = l.machines[:min(len(l.machines), l.limit)]
}
