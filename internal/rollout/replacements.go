package rollout

import (
	"fmt"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// maxPerRequest is the maximum number of machines that the cloud provisions in one request (protocol,
// POST /hosts).
const maxPerRequest = 50

// ReplacementPrefix is the prefix of the names of all replacement requests. No other provisioning request
// has a name with this prefix.
const ReplacementPrefix = "ro-"

// replacementsDue reports whether missing replacements are requested now: with Surge from the start of the
// wave, without it once the machines of the wave have been returned.
func (r *reconciler) replacementsDue() bool {
	spec := &r.record.Spec
	return spec.Replace && (spec.Surge || r.record.Wave.count(cordonedStates...) == 0)
}

// requestMissing adds requests for the replacements that the existing requests do not cover.
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

// updateReplacements updates the replacement requests of the wave from the fleet. It returns the reason
// why the rollout must halt, empty if it need not.
func (r *reconciler) updateReplacements() (haltReason string) {
	wave := r.record.Wave
	for i := range wave.ReplacementRequests {
		request := &wave.ReplacementRequests[i]
		r.markAnswered(request)
		if reason := r.updateReadiness(request); reason != "" {
			return reason
		}
		if reason := r.checkDeadline(request); reason != "" {
			return reason
		}
	}
	// A request that was provisioned in part, or whose machines the cloud reclaimed, keeps a lower count;
	// requestMissing makes a new request for the rest.
	wave.ReplacementRequests = slices.DeleteFunc(wave.ReplacementRequests, func(request ReplacementRequest) bool {
		return request.Answered && request.Count == 0
	})
	return ""
}

// markAnswered stores in the request which machines the cloud provisioned, once the cloud has answered.
func (r *reconciler) markAnswered(request *ReplacementRequest) {
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

// updateReadiness stores in the request which replacements are ready. It returns the reason to halt if a
// replacement has failed.
func (r *reconciler) updateReadiness(request *ReplacementRequest) (haltReason string) {
	for _, name := range slices.Collect(request.Machines.All()) {
		machine := r.view.Machine(name)
		wasReady := request.Ready.Has(name)
		switch {
		case machine.Reclaimed:
			// A reclaimed machine is no sign of a faulty replacement; another one is requested.
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

// checkDeadline returns the reason to halt if the request's replacements are not all ready in time.
func (r *reconciler) checkDeadline(request *ReplacementRequest) (haltReason string) {
	ready, deadline := request.Ready.Len(), r.record.Spec.Deadline
	if ready >= request.Count || r.now <= request.RequestedAt+timestampOffset(deadline) {
		return ""
	}
	return fmt.Sprintf("of %d replacements (%s) of wave %d the cloud has rented %d and %d are up, %.0f s after they were asked for",
		request.Count, request.Class, r.record.Wave.Number, request.Machines.Len(), ready, float64(deadline))
}

// replacementsReady reports whether all replacements that the wave needs are ready; also true if the rollout
// replaces no machines.
func (r *reconciler) replacementsReady() bool {
	if !r.record.Spec.Replace {
		return true
	}
	wave := r.record.Wave
	return !slices.ContainsFunc(wave.Needed, func(needed ClassCount) bool {
		return wave.countReady(needed.Class) < needed.Count
	})
}

// verifyReplacements moves returned machines to state Replaced once the replacements are ready, and to
// Verified once these were observed for long enough. It reports whether all machines are verified.
func (r *reconciler) verifyReplacements() bool {
	wave := r.record.Wave
	if !r.replacementsReady() || r.transitionAll(Returned, Replaced) != nil {
		return false
	}
	if wave.ObservingSince == 0 {
		wave.ObservingSince, r.changed = r.now, true
	}
	if r.now < wave.ObservingSince+timestampOffset(r.record.Spec.Observe) {
		return false
	}
	return r.transitionAll(Replaced, Verified) == nil
}

// transitionAll moves all machines of the wave in one state to another.
func (r *reconciler) transitionAll(from, to MachineState) error {
	for _, name := range r.machinesIn(from) {
		if err := r.transitionMachine(name, from, to); err != nil {
			return err
		}
	}
	return nil
}

// adjustNeeded changes the number of replacements of a class that the wave needs.
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

// countRequested returns the number of replacements of a class that have been requested.
func (w *Wave) countRequested(class InstanceClass) (n int) {
	for i := range w.ReplacementRequests {
		if w.ReplacementRequests[i].Class == class {
			n += w.ReplacementRequests[i].Count
		}
	}
	return n
}

// countReady returns the number of replacements of a class that are ready.
func (w *Wave) countReady(class InstanceClass) (n int) {
	for i := range w.ReplacementRequests {
		if w.ReplacementRequests[i].Class == class {
			n += w.ReplacementRequests[i].Ready.Len()
		}
	}
	return n
}

// discardFailedReplacements prepares the wave of a halted rollout for resumption. It removes replacements
// that were not ready or have failed, and restarts the deadlines, so that the time of the halt does not
// count. The observation of the remaining ones starts again.
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

// restartDeadlines restarts all deadlines of the wave, so that the time for which the rollout was paused or
// halted does not count.
func (w *Wave) restartDeadlines(now ids.Timestamp) {
	if w.DrainingSince > 0 {
		w.DrainingSince = now
	}
	for i := range w.ReplacementRequests {
		w.ReplacementRequests[i].RequestedAt = now
	}
}

// remove removes a replacement from the request.
func (r *ReplacementRequest) remove(name ids.Machine) {
	r.Machines.Remove(name)
	r.Ready.Remove(name)
}
