package rollout

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Status is how a rollout stands, for operators.
type Status struct {
	Name    Name     `json:"name"`
	State   State    `json:"state,omitempty"`
	Why     string   `json:"why,omitempty"`
	Started ids.Wall `json:"started,omitempty"`
	Total   int      `json:"total,omitempty"`
	Done    int      `json:"done,omitempty"`
	Waiting int      `json:"waiting,omitempty"`
	Wave    int      `json:"wave,omitempty"`
	// Machines are those of the present wave.
	Machines []MachineStatus `json:"machines,omitempty"`
	// Replacements are the machines rented in this wave.
	Replacements []ReplacementStatus `json:"replacements,omitempty"`
	Note         string              `json:"note,omitempty"`
}

// MachineStatus is how a machine of the present wave stands.
type MachineStatus struct {
	Name  ids.Machine  `json:"name"`
	State MachineState `json:"state"`
	Waits []string     `json:"waits,omitempty"`
}

// ReplacementStatus is how a rental of replacements stands.
type ReplacementStatus struct {
	Kind   string `json:"kind"`
	Asked  int    `json:"asked"`
	Rented int    `json:"rented"`
	Up     int    `json:"up"`
}

// statusOf words a stored rollout; waits are what the leader says of its machines.
func statusOf(run *stored, waits map[ids.Machine][]string) *Status {
	r := run.record
	s := &Status{Name: r.Spec.Name, State: r.State, Why: r.Why, Started: r.Started, Total: r.Total, Done: r.Done}
	if !r.State.Over() {
		for part := range run.left {
			s.Waiting += run.left[part].Len()
		}
	}
	if r.Wave == nil {
		return s
	}
	s.Wave = r.Wave.Number
	for _, state := range waveStates {
		for name := range r.in(state).All() {
			s.Machines = append(s.Machines, MachineStatus{Name: name, State: state, Waits: append(r.waitsItself(state), waits[name]...)})
		}
	}
	for i := range r.Wave.Hires {
		hire := &r.Wave.Hires[i]
		s.Replacements = append(s.Replacements, ReplacementStatus{Kind: hire.Kind.String(), Asked: hire.Count, Rented: hire.Machines.Len(), Up: hire.Up.Len()})
	}
	return s
}

// waitsItself is what a machine waits for because of the rollout's own state.
func (r *Record) waitsItself(state MachineState) []string {
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

// Print writes a status, a line for each machine of the present wave.
func (s *Status) Print(out io.Writer) {
	fmt.Fprintf(out, "%s: ", s.Name)
	if s.State == "" {
		fmt.Fprintln(out, s.Note)
		return
	}
	fmt.Fprintf(out, "%s, %d of %d machines through, %d wait their turn", s.State, s.Done, s.Total, s.Waiting)
	if s.Why != "" {
		fmt.Fprintf(out, " (%s)", s.Why)
	}
	fmt.Fprintln(out)
	for _, m := range s.Machines {
		fmt.Fprintf(out, "  wave %d  %s  %s", s.Wave, m.Name, m.State)
		if len(m.Waits) > 0 {
			fmt.Fprintf(out, ": waits: %s", strings.Join(m.Waits, "; "))
		}
		fmt.Fprintln(out)
	}
	for _, r := range s.Replacements {
		fmt.Fprintf(out, "  wave %d  replacements, %s: %d asked for, %d rented, %d up\n", s.Wave, r.Kind, r.Asked, r.Rented, r.Up)
	}
	if s.Note != "" {
		fmt.Fprintf(out, "  %s\n", s.Note)
	}
}

// Print writes a plan.
func (p *Preview) Print(out io.Writer) {
	fmt.Fprintf(out, "%d machines in %d waves, about %.0f s if nothing fails; nothing was changed\n", len(p.Machines), len(p.Waves), float64(p.Takes))
	for i, wave := range p.Waves {
		names := make([]string, len(wave))
		for k, name := range wave {
			names[k] = string(name)
		}
		fmt.Fprintf(out, "  wave %d: %s\n", i+1, strings.Join(names, " "))
	}
	slices.SortFunc(p.Blocked, func(x, y BlockedMachine) int { return strings.Compare(string(x.Name), string(y.Name)) })
	for _, b := range p.Blocked {
		fmt.Fprintf(out, "  %s would wait: %s\n", b.Name, strings.Join(b.Why, "; "))
	}
}
