// Package dispatch sends commands and probes directly to workers: starts, stops, and probes of machines
// whose reports are overdue. A start is sent only after its marker is stored; the marker of a start is its
// assignment in the stored record of the job.
//
// Queue selects the commands to send and Prober the machines to probe. Neither has a lock of its own: every
// method is called with the lock of the cluster state held, and so are the methods of Jobs. Dispatcher
// sends the selected commands and probes. It holds no lock; the methods of Cluster lock the cluster state
// themselves.
package dispatch

import (
	"context"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/liveness"
	"github.com/pebbletrail/pebbletrail/internal/wait"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// Cluster provides the operations on the cluster state that the dispatcher needs. Its methods lock that
// state.
type Cluster interface {
	// NextBatches takes from the queue the commands that may be sent now, to at most limit machines.
	NextBatches(limit int) []Batch
	// RecordBatchOutcome records the outcome of sending a batch.
	RecordBatchOutcome(batch Batch, outcome worker.Outcome)
	// SelectProbes selects the machines to probe now, with at most limit probes in flight.
	SelectProbes(now time.Time, limit int) []Probe
	// RecordProbeAnswer records whether a machine answered a probe.
	RecordProbeAnswer(machine ids.Machine, answered bool)
	// ReconcileReport reconciles the report of a machine in its response to commands or a probe.
	ReconcileReport(report *worker.Report)
}

// Dispatcher sends commands and probes, each batch and each probe in its own goroutine. The slots limit the
// batches in flight, since each uses a socket. Nothing waits for these goroutines: each ends after the
// timeout of its call or with the context of Run.
type Dispatcher struct {
	cluster   Cluster
	commander *worker.Commander
	// mayCommand reports whether this leader may still send commands.
	mayCommand func() bool
	slots      chan struct{}
	wake       chan struct{}
}

// New returns a Dispatcher with at most slots batches in flight.
func New(cluster Cluster, commander *worker.Commander, slots int, mayCommand func() bool) *Dispatcher {
	return &Dispatcher{
		cluster:    cluster,
		commander:  commander,
		mayCommand: mayCommand,
		slots:      make(chan struct{}, slots),
		wake:       make(chan struct{}, 1),
	}
}

// Wake makes Run check for commands and probes at once.
func (d *Dispatcher) Wake() { wait.Signal(d.wake) }

// pollInterval is the interval at which Run checks for commands and probes unless it is woken.
const pollInterval = 200 * time.Millisecond

// Run sends commands and probes until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-time.After(pollInterval):
		}
		if !d.mayCommand() {
			continue
		}
		for _, probe := range d.cluster.SelectProbes(time.Now(), cap(d.slots)) {
			go d.probe(ctx, probe)
		}
		for _, batch := range d.cluster.NextBatches(cap(d.slots) - len(d.slots)) {
			d.slots <- struct{}{} // does not block: only this loop acquires slots, and one is free
			go d.send(ctx, batch)
		}
	}
}

// send sends a batch and records its outcome.
func (d *Dispatcher) send(ctx context.Context, batch Batch) {
	outcome, report := d.commander.Send(ctx, batch.Address, batch.FencingToken, batch.Incarnation, batch.Commands)
	slog.Debug("direct commands sent", "machine", batch.Machine, "token", batch.FencingToken, "incarnation", batch.Incarnation,
		"commands", batch.Commands, "outcome", outcome)
	<-d.slots
	d.cluster.RecordBatchOutcome(batch, outcome)
	if report != nil && report.Machine == batch.Machine {
		d.cluster.ReconcileReport(report)
	}
	d.Wake() // a slot is free, and the machine may have more pending commands
}

// probe requests a machine's report and makes sure that the machine has seen this leader's fencing token.
func (d *Dispatcher) probe(ctx context.Context, probe Probe) {
	report := d.fetchReport(ctx, probe)
	if report != nil && report.FencingToken < probe.FencingToken {
		_, fenced := d.commander.Send(ctx, probe.Address, probe.FencingToken, report.Incarnation, nil)
		if fenced != nil && fenced.Machine == probe.Machine {
			report = fenced
		}
	}
	d.cluster.RecordProbeAnswer(probe.Machine, report != nil)
	if report != nil {
		d.cluster.ReconcileReport(report)
	}
}

// fetchReport requests a machine's report. It returns nil if the machine does not answer, or if another one
// answers.
func (d *Dispatcher) fetchReport(ctx context.Context, probe Probe) (report *worker.Report) {
	if probe.Incarnation > 0 {
		// A call without commands makes the worker reject what earlier leaders sent, and returns its
		// report.
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
