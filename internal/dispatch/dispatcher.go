// Package dispatch sends commands and probes straight to the workers: starts whose markers are stored,
// stops, and questions to machines whose reports are overdue. Which of them are due follows from the
// cluster state, whose lock guards Queue and Prober; Dispatcher runs beside it and holds no lock.
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
	// NextBatches takes what may go out now, for at most so many machines.
	NextBatches(limit int) []Batch
	// BatchAnswered takes in what became of a batch.
	BatchAnswered(batch Batch, outcome worker.Outcome)
	// DueProbes takes the machines to probe now, with at most so many probes in flight.
	DueProbes(now time.Time, limit int) []Probe
	// ProbeAnswered takes in whether a machine answered a probe.
	ProbeAnswered(machine ids.Machine, answered bool)
	// ReconcileHeartbeat takes in a machine's report.
	ReconcileHeartbeat(report *worker.Report, answered, heartbeat bool) []worker.Command
}

// Dispatcher sends what is due, in calls of their own. At most as many batches are under way as it has
// slots, since each holds a socket; each call ends by itself after its timeout or with the context.
type Dispatcher struct {
	cluster   Cluster
	commander *worker.Commander
	// mayCommand tells whether this leader may still give commands.
	mayCommand func() bool
	slots      chan struct{}
	wake       chan struct{}
}

// New makes a dispatcher with so many slots.
func New(cluster Cluster, commander *worker.Commander, slots int, mayCommand func() bool) *Dispatcher {
	return &Dispatcher{cluster: cluster, commander: commander, mayCommand: mayCommand, slots: make(chan struct{}, slots), wake: make(chan struct{}, 1)}
}

// Wake asks for a look at what may go out.
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

// send sends a batch and takes in what became of it.
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
		if _, fenced := d.commander.Send(ctx, probe.Address, probe.FencingToken, report.Incarnation, nil); fenced != nil && fenced.Machine == probe.Machine {
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
		// No commands: only so that what earlier leaders sent is turned away from here on, and the
		// answer tells what is there.
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
