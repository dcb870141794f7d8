package liveness

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// RedirectedWorker is a worker that another controller redirected to the leader and that may not have reached
// the leader.
type RedirectedWorker struct {
	Machine ids.Machine
	Ago     time.Duration // time since the worker was first redirected
}

// peerReportDelay bounds the time from a redirection to the arrival of the peer's message about it. A
// redirected worker often reaches the leader within a millisecond and must not count as missing because the
// peer's message took longer.
const peerReportDelay = time.Second

// IsolatedFromWorkers reports whether this controller has lost contact with most machines while other
// controllers reach them.
func IsolatedFromWorkers(machines *worker.Registry, redirected []RedirectedWorker, reportInterval ids.Seconds, now time.Time) bool {
	// Reports may be far apart, and after a takeover all workers report at the same time, so only an overdue
	// report is evidence of a lost connection. A shorter limit made leaders resign without need.
	overdue := reportInterval.Duration() * 5 / 4
	silent, reporting := 0, 0
	for _, machine := range machines.Machines {
		if machine.HasReported && machine.SilentFor(now) < overdue {
			reporting++
		}
	}
	for _, missing := range redirected {
		machine := machines.Machines[missing.Machine]
		if machine != nil && machine.SilentFor(now) >= overdue && machine.SilentFor(now) > missing.Ago+peerReportDelay {
			silent++
		}
	}
	return silent >= 2 && silent > reporting
}
