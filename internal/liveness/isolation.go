package liveness

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// RedirectedWorker is a worker that a controller redirected to the leader, and that may not have got
// there.
type RedirectedWorker struct {
	Machine ids.Machine
	Ago     time.Duration // when it was first redirected
}

// peerReportDelay bounds how late a peer's word arrives: a redirected worker is often here within a
// millisecond, and must not count as missing because the word took longer.
const peerReportDelay = time.Second

// IsolatedFromWorkers tells whether this controller has lost most machines while others reach them.
func IsolatedFromWorkers(machines *worker.Registry, redirected []RedirectedWorker, reportInterval ids.Seconds, now time.Time) bool {
	// Reports may be far apart, and after a takeover all come at once: only one that is overdue tells
	// anything. To go by less made leaders resign wrongly.
	overdue := reportInterval.Duration() * 5 / 4
	silent, heard := 0, 0
	for _, machine := range machines.Machines {
		if machine.HasReported && machine.SilentFor(now) < overdue {
			heard++
		}
	}
	for _, other := range redirected {
		machine := machines.Machines[other.Machine]
		if machine != nil && machine.SilentFor(now) >= overdue && machine.SilentFor(now) > other.Ago+peerReportDelay {
			silent++
		}
	}
	return silent >= 2 && silent > heard
}
