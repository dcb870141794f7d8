package worker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Registry is all machines by name. Like its machines it is guarded by the lock of the cluster
// state that it belongs to.
type Registry struct {
	// Machines is added to by Ensure and taken from by Remove alone.
	Machines map[ids.Machine]*Machine
	lease    ids.Seconds
	sorted   []*Machine // by name; nil when machines have come or gone since
	leaving  map[ids.Machine]bool
}

// NewRegistry makes an empty registry for workers with leases of a duration.
func NewRegistry(lease ids.Seconds) *Registry {
	return &Registry{Machines: map[ids.Machine]*Machine{}, leaving: map[ids.Machine]bool{}, lease: lease}
}

// Ensure finds or adds a machine. notBefore is the earliest time at which the lease of a machine
// that has not reported can be trusted to have expired: an earlier leader may still have been
// answering it.
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

// Remove drops a machine.
func (r *Registry) Remove(name ids.Machine) {
	delete(r.Machines, name)
	r.sorted = nil
}

// Sorted lists the machines by name, so that decisions do not hang on the order of a map. Callers
// must not change the list.
func (r *Registry) Sorted() []*Machine {
	if r.sorted == nil {
		byName := func(x, y *Machine) int { return cmp.Compare(x.Name, y.Name) }
		r.sorted = slices.SortedFunc(maps.Values(r.Machines), byName)
	}
	return r.sorted
}

// ReportResult is what a report means beside its list of tasks.
type ReportResult struct {
	Fresh     bool // newer than all before; only then its list counts
	Restarted bool // the incarnation rose: all tasks of earlier ones are gone
}

// RecordReport takes in a report. answered tells that the worker gets a 200 for it, which gives its lease
// full time from when it was sent, so at most from now. leaderToken is the present leader's fencing
// token: a worker that has seen it drops the answers of every earlier leader, so that only ours
// renew its lease.
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
		// The incarnation may have begun just now, and lasts a lease from then on even if none of
		// its heartbeats is ever answered.
		machine.LeaseExpiresAt = Later(machine.LeaseExpiresAt, expiry)
	}
	machine.update(report, now)
	if answered {
		if report.FencingToken < leaderToken {
			expiry = Later(machine.LeaseExpiresAt, expiry)
		}
		machine.LeaseExpiresAt, machine.LastAnsweredAt = expiry, now
	}
	machine.dropRejectedStarts()
	return result
}

// isOutdated tells that a report was overtaken by another one and says nothing new.
func (m *Machine) isOutdated(report *Report) bool {
	return m.HasReported && (report.Incarnation < m.Incarnation || report.Incarnation == m.Incarnation && report.Sequence <= m.Sequence)
}

// update takes over what a report says.
func (m *Machine) update(report *Report, now time.Time) {
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

// dropRejectedStarts drops unanswered starts that the worker will not execute any more: it rejects
// those of an earlier incarnation or with a lower fencing token.
func (m *Machine) dropRejectedStarts() {
	m.UnconfirmedStarts = slices.DeleteFunc(m.UnconfirmedStarts, func(start UnconfirmedStart) bool {
		return start.Incarnation != m.Incarnation || start.FencingToken < m.FencingToken
	})
}

// Later is the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// MarkLeaving notes that a machine is drained, reclaimed by the cloud, or to be deleted once it is empty.
func (r *Registry) MarkLeaving(name ids.Machine) { r.leaving[name] = true }

// Leaving lists, by name, the machines that were marked as leaving and are so still; the others lose the
// mark.
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

// AnyLeaving tells whether a machine is marked as leaving.
func (r *Registry) AnyLeaving() bool { return len(r.leaving) > 0 }
