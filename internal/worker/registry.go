package worker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Registry holds all machines by name. It is guarded, like its machines, by the mutex of the cluster
// state that it belongs to.
type Registry struct {
	// Machines must be changed by Ensure and Remove only.
	Machines map[ids.Machine]*Machine
	lease    ids.Seconds
	sorted   []*Machine // sorted by name; nil if machines were added or removed since it was built
	leaving  map[ids.Machine]bool
}

// NewRegistry returns an empty registry. The workers' leases last for the given time.
func NewRegistry(lease ids.Seconds) *Registry {
	return &Registry{Machines: map[ids.Machine]*Machine{}, leaving: map[ids.Machine]bool{}, lease: lease}
}

// Ensure returns a machine, and adds it if it is not registered. notBefore is the time until which
// the worker of a machine that has not reported to this leader may still hold a lease, because an earlier
// leader may have answered its heartbeats until recently.
func (r *Registry) Ensure(name ids.Machine, now, notBefore time.Time) *Machine {
	machine := r.Machines[name]
	if machine == nil {
		machine = &Machine{
			Identity:     Identity{Name: name},
			Liveness:     Liveness{LastReportAt: now, LeaseExpiresAt: notBefore},
			Provisioning: Provisioning{DiscoveredAt: now, ProvisionedAt: now, IdleSince: now, LastNeededAt: now},
		}
		r.Machines[name] = machine
		r.sorted = nil
	}
	return machine
}

// Remove removes a machine.
func (r *Registry) Remove(name ids.Machine) {
	delete(r.Machines, name)
	r.sorted = nil
}

// Sorted returns the machines sorted by name, so that decisions do not depend on the iteration order of a
// map. Callers must not modify the slice.
func (r *Registry) Sorted() []*Machine {
	if r.sorted == nil {
		byName := func(x, y *Machine) int { return cmp.Compare(x.Name, y.Name) }
		r.sorted = slices.SortedFunc(maps.Values(r.Machines), byName)
	}
	return r.sorted
}

// ReportResult is the result of RecordReport.
type ReportResult struct {
	Fresh     bool // whether the report is newer than all earlier ones; if not, its tasks are ignored
	Restarted bool // whether the incarnation increased, so that all tasks of earlier ones have ended
}

// RecordReport updates a machine's state by a report. answered is true if the worker gets status 200 for
// it, which renews its lease from the time when the report was sent. That time is not after now, so the
// lease expires at most one lease duration from now.
// leaderToken is the first fencing token of the current leader's term: a worker that has seen it ignores the responses of
// all earlier leaders, so that only responses of this leader renew its lease.
func (r *Registry) RecordReport(machine *Machine, report *Report, now time.Time, answered bool, leaderToken ids.Generation) ReportResult {
	expiry := now.Add(r.lease.WithClockDrift())
	if machine.isOutdated(report) {
		if answered && report.Incarnation == machine.Incarnation {
			machine.LeaseExpiresAt = Later(machine.LeaseExpiresAt, expiry)
		}
		return ReportResult{}
	}
	result := ReportResult{Fresh: true, Restarted: machine.HasReported && report.Incarnation > machine.Incarnation}
	if !machine.HasReported || result.Restarted {
		// The incarnation may have begun just now. It lasts for one lease from its start even if
		// none of its heartbeats is answered.
		machine.LeaseExpiresAt = Later(machine.LeaseExpiresAt, expiry)
	}
	machine.applyReport(report, now)
	if answered {
		if report.FencingToken < leaderToken {
			expiry = Later(machine.LeaseExpiresAt, expiry)
		}
		machine.LeaseExpiresAt, machine.LastAnsweredAt = expiry, now
	}
	machine.dropRejectedStarts()
	return result
}

// isOutdated reports whether the machine has already sent this report or a newer one.
func (m *Machine) isOutdated(report *Report) bool {
	return m.HasReported && (report.Incarnation < m.Incarnation || report.Incarnation == m.Incarnation && report.Sequence <= m.Sequence)
}

// applyReport copies the contents of a report into the machine's state.
func (m *Machine) applyReport(report *Report, now time.Time) {
	m.HasReported, m.Booting = true, false
	m.Addr, m.Type, m.Zone, m.Spot = report.Addr, report.Type, report.Zone, report.Spot
	m.Incarnation, m.Sequence, m.FencingToken = report.Incarnation, report.Sequence, max(m.FencingToken, report.FencingToken)
	m.LastReportAt, m.UnansweredProbes = now, 0
	m.Tasks = report.Tasks
	m.SpotTerminationAt = time.Time{}
	if report.SpotTerminationIn != nil {
		m.SpotTerminationAt = now.Add(report.SpotTerminationIn.Duration())
	}
}

// dropRejectedStarts removes the unconfirmed starts that the worker will not execute any more, because it
// rejects those for an earlier incarnation or with a lower fencing token.
func (m *Machine) dropRejectedStarts() {
	m.UnconfirmedStarts = slices.DeleteFunc(m.UnconfirmedStarts, func(start UnconfirmedStart) bool {
		return start.Incarnation != m.Incarnation || start.FencingToken < m.FencingToken
	})
}

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// MarkLeaving records that a machine is drained, reclaimed by the cloud, or to be deleted once it is empty.
func (r *Registry) MarkLeaving(name ids.Machine) { r.leaving[name] = true }

// Leaving returns, sorted by name, the machines marked by MarkLeaving that are still drained, reclaimed
// or to be deleted. It removes the mark from all others.
func (r *Registry) Leaving() []*Machine {
	var leaving []*Machine
	for name := range r.leaving {
		machine := r.Machines[name]
		if machine == nil || machine.DrainReason == "" && machine.SpotTerminationAt.IsZero() && !machine.DeleteWhenEmpty {
			delete(r.leaving, name)
			continue
		}
		leaving = append(leaving, machine)
	}
	slices.SortFunc(leaving, func(x, y *Machine) int { return cmp.Compare(x.Name, y.Name) })
	return leaving
}

// AnyLeaving reports whether any machine is marked as leaving.
func (r *Registry) AnyLeaving() bool { return len(r.leaving) > 0 }
