// Package dispatch sends commands and probes straight to the workers: starts whose markers are stored, stops,
// and probes of machines whose reports are overdue.
//
// Queue decides which commands are due and Prober which machines to probe. Neither has a lock: the lock of the
// cluster state that they belong to guards them, every method is called under it, and so are the methods of
// Jobs. Dispatcher sends what they choose. It holds no lock; the methods of Cluster lock the cluster state
// themselves.
package dispatch

import (
	"context"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/liveness"
	"github.com/pebbletrail/pebbletrail/internal/wait"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// Cluster is what the dispatcher asks of the cluster state, which locks itself.
type Cluster interface {
	// NextBatches takes the commands that may be sent now, to at most limit machines.
	NextBatches(limit int) []Batch
	// BatchAnswered records what became of a batch.
	BatchAnswered(batch Batch, outcome worker.Outcome)
	// DueProbes takes the machines to probe now, with at most limit probes in flight.
	DueProbes(now time.Time, limit int) []Probe
	// ProbeAnswered records whether a machine answered a probe.
	ProbeAnswered(machine ids.Machine, answered bool)
	// ReconcileHeartbeat reconciles a machine's report.
	ReconcileHeartbeat(report *worker.Report, answered, heartbeat bool) []worker.Command
}

// Dispatcher sends what is due, each batch and probe in a goroutine of its own. At most as many batches are in
// flight as it has slots, since each holds a socket. Nobody waits for these goroutines: each ends by itself,
// after the call's timeout or with the context of Run.
type Dispatcher struct {
	cluster   Cluster
	commander *worker.Commander
	// mayCommand reports whether this leader may still give commands.
	mayCommand func() bool
	slots      chan struct{}
	wake       chan struct{}
}

// New returns a dispatcher that has at most slots batches in flight.
func New(cluster Cluster, commander *worker.Commander, slots int, mayCommand func() bool) *Dispatcher {
	return &Dispatcher{
		cluster:    cluster,
		commander:  commander,
		mayCommand: mayCommand,
		slots:      make(chan struct{}, slots),
		wake:       make(chan struct{}, 1),
	}
}

// Wake has Run look at once at what is due.
func (d *Dispatcher) Wake() { wait.Signal(d.wake) }

// lookInterval is how often the dispatcher looks when nobody wakes it.
const lookInterval = 200 * time.Millisecond

// Run sends until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-time.After(lookInterval):
		}
		if !d.mayCommand() {
			continue
		}
		for _, probe := range d.cluster.DueProbes(time.Now(), cap(d.slots)) {
			go d.probe(ctx, probe)
		}
		for _, batch := range d.cluster.NextBatches(cap(d.slots) - len(d.slots)) {
			d.slots <- struct{}{} // only this loop takes slots, so one is free
			go d.send(ctx, batch)
		}
	}
}

// send sends a batch, and records what became of it.
func (d *Dispatcher) send(ctx context.Context, batch Batch) {
	outcome, report := d.commander.Send(ctx, batch.Address, batch.FencingToken, batch.Incarnation, batch.Commands)
	<-d.slots
	d.cluster.BatchAnswered(batch, outcome)
	if report != nil && report.Machine == batch.Machine {
		d.cluster.ReconcileHeartbeat(report, false, false)
	}
	d.Wake() // a slot is free, and more may be due there
}

// probe asks a machine for its report, and makes sure that it has seen this leader's fencing token.
func (d *Dispatcher) probe(ctx context.Context, probe Probe) {
	report := d.fetchReport(ctx, probe)
	if report != nil && report.FencingToken < probe.FencingToken {
		_, fenced := d.commander.Send(ctx, probe.Address, probe.FencingToken, report.Incarnation, nil)
		if fenced != nil && fenced.Machine == probe.Machine {
			report = fenced
		}
	}
	d.cluster.ProbeAnswered(probe.Machine, report != nil)
	if report != nil {
		d.cluster.ReconcileHeartbeat(report, false, false)
	}
}

// fetchReport asks a machine for its report; nil if it does not answer, or another one does.
func (d *Dispatcher) fetchReport(ctx context.Context, probe Probe) (report *worker.Report) {
	if probe.Incarnation > 0 {
		// No commands: only so that what earlier leaders sent is rejected from now on, and the answer tells
		// what is there.
		ctx, cancel := context.WithTimeout(ctx, liveness.ProbeTimeout)
		defer cancel()
		_, report = d.commander.Send(ctx, probe.Address, probe.FencingToken, probe.Incarnation, nil)
	} else {
		report = d.commander.FetchReport(ctx, probe.Address, liveness.ProbeTimeout)
	}
	if report != nil && report.Machine != probe.Machine {
		return nil
	}
	return report
}
