package rollout

import (
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Status is the state of a rollout as shown to operators.
type Status struct {
	Name      Name          `json:"name"`
	State     State         `json:"state,omitempty"`
	Reason    string        `json:"why,omitempty"`
	StartedAt ids.Timestamp `json:"started,omitempty"`
	Total     int           `json:"total,omitempty"`
	Done      int           `json:"done,omitempty"`
	Waiting   int           `json:"waiting,omitempty"`
	Wave      int           `json:"wave,omitempty"`
	// Machines are the machines of the current wave.
	Machines []MachineStatus `json:"machines,omitempty"`
	// Replacements are the replacement requests of the current wave.
	Replacements []ReplacementStatus `json:"replacements,omitempty"`
	// Note says which information is missing, or why the rollout cannot be read.
	Note string `json:"note,omitempty"`
}

// MachineStatus is the state of a machine of the current wave.
type MachineStatus struct {
	Name  ids.Machine  `json:"name"`
	State MachineState `json:"state"`
	Waits []string     `json:"waits,omitempty"`
}

// ReplacementStatus is the state of a replacement request: the numbers of machines requested, provisioned
// and ready.
type ReplacementStatus struct {
	Kind        string `json:"kind"`
	Requested   int    `json:"asked"`
	Provisioned int    `json:"rented"`
	Ready       int    `json:"up"`
}

// statusOf returns the status of a stored rollout; waits are the leader's reasons why machines wait.
func statusOf(rollout *storedRollout, waits map[ids.Machine][]string) *Status {
	record := rollout.record
	status := &Status{
		Name:      record.Spec.Name,
		State:     record.State,
		Reason:    record.Reason,
		StartedAt: record.StartedAt,
		Total:     record.Total,
		Done:      record.Done,
	}
	if !record.State.isFinal() {
		for part := range rollout.waiting {
			status.Waiting += rollout.waiting[part].Len()
		}
	}
	if record.Wave != nil {
		status.addWave(record, waits)
	}
	return status
}

// addWave adds the machines and the replacement requests of the current wave.
func (s *Status) addWave(record *Record, waits map[ids.Machine][]string) {
	s.Wave = record.Wave.Number
	for _, state := range waveStates {
		for name := range record.machinesIn(state).All() {
			machine := MachineStatus{Name: name, State: state, Waits: append(record.waitReasons(state), waits[name]...)}
			s.Machines = append(s.Machines, machine)
		}
	}
	for i := range record.Wave.ReplacementRequests {
		request := &record.Wave.ReplacementRequests[i]
		s.Replacements = append(s.Replacements, ReplacementStatus{
			Kind:        request.Class.String(),
			Requested:   request.Count,
			Provisioned: request.Machines.Len(),
			Ready:       request.Ready.Len(),
		})
	}
}

// waitReasons returns the reasons why a machine in a state waits that follow from the rollout's own
// state.
func (r *Record) waitReasons(state MachineState) []string {
	switch {
	case r.State == Paused && (state == Cordoned || state == Draining):
		return []string{"the rollout is paused"}
	case state == Cordoned && r.Spec.Replace && r.Spec.Surge:
		return []string{"its replacement is not up yet"}
	case state == Returned && r.Spec.Replace:
		return []string{"its replacement is not up yet"}
	case state == Replaced:
		return []string{"its replacement is observed"}
	}
	return nil
}
