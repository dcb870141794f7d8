package rollout

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Print writes the status as text, with one line for each machine of the current wave.
func (s *Status) Print(out io.Writer) { writeText(out, s.text()) }

func (s *Status) text() string {
	var text strings.Builder
	if s.State == "" {
		fmt.Fprintf(&text, "%s: %s\n", s.Name, s.Note)
		return text.String()
	}
	fmt.Fprintf(&text, "%s: %s, %d of %d machines through, %d wait their turn", s.Name, s.State, s.Done, s.Total, s.Waiting)
	if s.Reason != "" {
		fmt.Fprintf(&text, " (%s)", s.Reason)
	}
	text.WriteString("\n")
	for _, machine := range s.Machines {
		fmt.Fprintf(&text, "  wave %d  %s  %s", s.Wave, machine.Name, machine.State)
		if len(machine.Waits) > 0 {
			fmt.Fprintf(&text, ": waits: %s", strings.Join(machine.Waits, "; "))
		}
		text.WriteString("\n")
	}
	for _, replacement := range s.Replacements {
		fmt.Fprintf(&text, "  wave %d  replacements, %s: %d asked for, %d rented, %d up\n",
			s.Wave, replacement.Kind, replacement.Requested, replacement.Provisioned, replacement.Ready)
	}
	if s.Note != "" {
		fmt.Fprintf(&text, "  %s\n", s.Note)
	}
	return text.String()
}

// Print writes the plan as text.
func (p *Plan) Print(out io.Writer) { writeText(out, p.text()) }

func (p *Plan) text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d machines in %d waves, about %.0f s if nothing fails; nothing was changed\n",
		len(p.Machines), len(p.Waves), float64(p.Takes))
	for i, wave := range p.Waves {
		names := make([]string, len(wave))
		for k, name := range wave {
			names[k] = string(name)
		}
		fmt.Fprintf(&text, "  wave %d: %s\n", i+1, strings.Join(names, " "))
	}
	slices.SortFunc(p.Blocked, func(x, y BlockedMachine) int { return cmp.Compare(x.Name, y.Name) })
	for _, blocked := range p.Blocked {
		fmt.Fprintf(&text, "  %s would wait: %s\n", blocked.Name, strings.Join(blocked.Why, "; "))
	}
	return text.String()
}

// writeText writes to an operator's terminal and ignores errors.
func writeText(out io.Writer, text string) {
	_, _ = io.WriteString(out, text) // a failed write to the terminal cannot be reported anywhere
}
