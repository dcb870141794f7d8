package rehearsal

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// QuotaFindings is the outcome of a rehearsal of the teams' limits.
type QuotaFindings struct {
	Seed     uint64
	Teams    []Team
	Duration time.Duration
	Samples  map[string][]UsageSample
	Breaches []Breach
	// GuaranteeWaits holds the times that the guaranteed team's jobs waited for their first start,
	// in ascending order. None may exceed Within.
	GuaranteeWaits []time.Duration
	Within         time.Duration
	// OnTwoMachines lists the tasks that ran on two machines at the same time.
	OnTwoMachines []string
	// NeverStarted lists the accepted jobs of which no task has started.
	NeverStarted []string
	// Jobs, Accepted, Refusals, Starts and Transfers count submitted jobs, accepted jobs, refused
	// submissions, task starts and changes of ledgers.
	Jobs, Accepted, Refusals, Starts, Transfers int
	Changes                                     uint64 // number of changes stored by the state service
	// IncompleteReason is the reason why the run ended early; empty if the run is complete.
	IncompleteReason string
	Events           []Event
}

// Failed reports whether the run violated a requirement, started no task, or is incomplete.
func (f *QuotaFindings) Failed() bool {
	return len(f.Breaches) > 0 || len(f.OnTwoMachines) > 0 || len(f.NeverStarted) > 0 || f.IncompleteReason != "" ||
		f.longestGuaranteeWait() > f.Within || f.Starts == 0
}

// Print writes a summary of the outcome.
func (f *QuotaFindings) Print(out io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%d jobs, %d accepted, %d refusals, %d starts, %d changes of the state service in %v\n",
		f.Jobs, f.Accepted, f.Refusals, f.Starts, f.Changes, f.Duration.Round(time.Second))
	fmt.Fprintf(&text, "breaches of a limit: %d; tasks doubled: %d; accepted jobs never started: %d; waits within the guarantee: %v\n",
		len(f.Breaches), len(f.OnTwoMachines), len(f.NeverStarted), f.GuaranteeWaits)
	fmt.Fprintf(&text, "transfers of allowance: %d\n", f.Transfers)
	for _, breach := range f.Breaches {
		fmt.Fprintln(&text, breach)
	}
	if f.IncompleteReason != "" {
		fmt.Fprintln(&text, "ended before its time:", f.IncompleteReason)
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// longestGuaranteeWait returns the longest wait of the guaranteed team's jobs, or 0 if none of them started.
func (f *QuotaFindings) longestGuaranteeWait() time.Duration {
	if len(f.GuaranteeWaits) == 0 {
		return 0
	}
	return f.GuaranteeWaits[len(f.GuaranteeWaits)-1]
}

// writeFiles writes the record and the report to a folder.
func (f *QuotaFindings) writeFiles(folder string) error {
	return writeFiles(folder, f.Events, f.report)
}

// analyze derives the findings from the recorded events.
func (f *QuotaFindings) analyze() {
	f.Samples, f.Breaches = usageOverTime(f.Events, f.Teams)
	f.OnTwoMachines = tasksOnTwoMachines(f.Events)
	for _, event := range f.Events {
		switch event.Kind {
		case JobAccepted:
			f.Accepted++
		case JobRefused:
			f.Refusals++
		case TaskStarted:
			f.Starts++
		case LedgerChanged:
			f.Transfers++
		}
	}
	f.GuaranteeWaits, _ = startWaits(f.Events, isGuaranteeProbe)
	if f.IncompleteReason == "" {
		_, f.NeverStarted = startWaits(f.Events, anyJob)
	}
}
