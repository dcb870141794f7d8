package rollout

import (
	"fmt"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// maxPerRequest is the most machines that the cloud provisions in one request (protocol,
// POST /hosts).
const maxPerRequest = 50

// ReplacementPrefix begins the names of all requests for replacements; no other provisioning request's
// name begins so.
const ReplacementPrefix = "ro-"

// replacementsDue reports whether missing replacements are to be requested now: with a surge from
// the beginning, without one when the machines of the wave have been returned.
func (r *reconciler) replacementsDue() bool {
	spec := &r.record.Spec
	return spec.Replace && (spec.Surge || r.record.Wave.count(cordonedStates...) == 0)
}

// requestMissing requests the replacements that no request covers yet.
func (r *reconciler) requestMissing() {
	wave := r.record.Wave
	for _, needed := range wave.Needed {
		missing := needed.Count - wave.countRequested(needed.Class)
		for ; missing > 0; missing -= maxPerRequest {
			r.changed = true
			wave.RequestCount++
			wave.ObservingSince = 0
			wave.ReplacementRequests = append(wave.ReplacementRequests, ReplacementRequest{
				Name:        ids.ProvisioningRequest(fmt.Sprintf("%s%s-%d-%d", ReplacementPrefix, r.record.ID, wave.Number, wave.RequestCount)),
				ClassCount:  ClassCount{needed.Class, min(missing, maxPerRequest)},
				RequestedAt: r.now,
			})
		}
	}
}

// updateReplacements records what became of the replacements. It returns why the rollout has to
// halt, empty if it need not.
func (r *reconciler) updateReplacements() (haltReason string) {
	wave := r.record.Wave
	for i := range wave.ReplacementRequests {
		request := &wave.ReplacementRequests[i]
		r.recordAnswer(request)
		if reason := r.updateReadiness(request); reason != "" {
			return reason
		}
		if reason := r.checkDeadline(request); reason != "" {
			return reason
		}
	}
	// One that was provisioned in part, or lost machines to the cloud, leaves the rest to a new one.
	wave.ReplacementRequests = slices.DeleteFunc(wave.ReplacementRequests, func(request ReplacementRequest) bool {
		return request.Answered && request.Count == 0
	})
	return ""
}

// recordAnswer notes which machines the cloud provisioned.
func (r *reconciler) recordAnswer(request *ReplacementRequest) {
	if request.Answered {
		return
	}
	machines, answered := r.view.ProvisionedMachines(request.Name)
	if !answered {
		return
	}
	r.changed = true
	request.Answered = true
	request.Machines = NewMachineSet(machines...)
	request.Count = len(machines)
}

// updateReadiness notes which replacements are ready, and finds those that failed.
func (r *reconciler) updateReadiness(request *ReplacementRequest) (haltReason string) {
	for _, name := range slices.Collect(request.Machines.All()) {
		machine := r.view.Machine(name)
		wasReady := request.Ready.Has(name)
		switch {
		case machine.Reclaimed:
			// This says nothing of the replacement; another one is requested.
			r.changed = true
			request.remove(name)
			request.Count--
		case machine.Failed != "":
			return fmt.Sprintf("replacement %s of wave %d failed: %s", name, r.record.Wave.Number, machine.Failed)
		case machine.Deleted && wasReady:
			return fmt.Sprintf("replacement %s of wave %d came up and is gone", name, r.record.Wave.Number)
		case machine.Deleted:
			return fmt.Sprintf("replacement %s of wave %d is gone and never came up", name, r.record.Wave.Number)
		case machine.Ready && !wasReady:
			r.changed = true
			request.Ready.Add(name)
		}
	}
	return ""
}

// checkDeadline finds a request whose replacements are not all ready in time.
func (r *reconciler) checkDeadline(request *ReplacementRequest) (haltReason string) {
	ready, deadline := request.Ready.Len(), r.record.Spec.Deadline
	if ready >= request.Count || r.now <= request.RequestedAt+wallOf(deadline) {
		return ""
	}
	return fmt.Sprintf("of %d replacements (%s) of wave %d the cloud has rented %d and %d are up, %.0f s after they were asked for",
		request.Count, request.Class, r.record.Wave.Number, request.Machines.Len(), ready, float64(deadline))
}

// replacementsReady reports whether every replacement that the wave needs is ready.
func (r *reconciler) replacementsReady() bool {
	if !r.record.Spec.Replace {
		return true
	}
	wave := r.record.Wave
	return !slices.ContainsFunc(wave.Needed, func(needed ClassCount) bool {
		return wave.countReady(needed.Class) < needed.Count
	})
}

// verifyReplacements carries returned machines on to replaced and verified; it tells whether all
// are.
func (r *reconciler) verifyReplacements() bool {
	wave := r.record.Wave
	if !r.replacementsReady() || r.transitionAll(Returned, Replaced) != nil {
		return false
	}
	if wave.ObservingSince == 0 {
		wave.ObservingSince, r.changed = r.now, true
	}
	if r.now < wave.ObservingSince+wallOf(r.record.Spec.Observe) {
		return false
	}
	return r.transitionAll(Replaced, Verified) == nil
}

// transitionAll takes all machines of the wave in one state to another.
func (r *reconciler) transitionAll(from, to MachineState) error {
	for _, name := range r.machinesIn(from) {
		if err := r.transitionMachine(name, from, to); err != nil {
			return err
		}
	}
	return nil
}

// adjustNeeded changes how many replacements of a class the wave needs.
func (w *Wave) adjustNeeded(class InstanceClass, change int) {
	for i := range w.Needed {
		if w.Needed[i].Class == class {
			w.Needed[i].Count = max(0, w.Needed[i].Count+change)
			return
		}
	}
	if change > 0 {
		w.Needed = append(w.Needed, ClassCount{class, change})
	}
}

// countRequested is how many replacements of a class have been requested.
func (w *Wave) countRequested(class InstanceClass) (n int) {
	for i := range w.ReplacementRequests {
		if w.ReplacementRequests[i].Class == class {
			n += w.ReplacementRequests[i].Count
		}
	}
	return n
}

// countReady is how many replacements of a class are ready.
func (w *Wave) countReady(class InstanceClass) (n int) {
	for i := range w.ReplacementRequests {
		if w.ReplacementRequests[i].Class == class {
			n += w.ReplacementRequests[i].Ready.Len()
		}
	}
	return n
}

// discardFailedReplacements prepares a halted wave for being resumed: replacements that were not
// ready are given up, and the time for which the rollout was halted counts against no deadline.
// Whether those that were ready still are, the leader looks at again.
func (w *Wave) discardFailedReplacements(now ids.Timestamp, failed func(ids.Machine) bool) {
	w.ObservingSince = 0
	w.restartDeadlines(now)
	for i := range w.ReplacementRequests {
		request := &w.ReplacementRequests[i]
		if !request.Answered {
			continue
		}
		for _, name := range slices.Collect(request.Machines.All()) {
			if !request.Ready.Has(name) || failed(name) {
				request.remove(name)
			}
		}
		request.Count = request.Machines.Len()
	}
}

// restartDeadlines has the time for which a rollout did not go on count against no deadline.
func (w *Wave) restartDeadlines(now ids.Timestamp) {
	if w.DrainingSince > 0 {
		w.DrainingSince = now
	}
	for i := range w.ReplacementRequests {
		w.ReplacementRequests[i].RequestedAt = now
	}
}

// remove takes a replacement off the request.
func (q *ReplacementRequest) remove(name ids.Machine) {
	q.Machines.Remove(name)
	q.Ready.Remove(name)
}
