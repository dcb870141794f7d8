package rehearsal

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// QuotaFindings are the outcome of a rehearsal of the teams' limits.
type QuotaFindings struct {
	Seed     uint64
	Teams    []Team
	Duration time.Duration
	Samples  map[string][]Sample
	Breaches []Breach
	// GuaranteeWaits are how long the guaranteed team's jobs waited for their first start, shortest
	// first; each has to be at most Within.
	GuaranteeWaits []time.Duration
	Within         time.Duration
	// OnTwoMachines are tasks that ran on two machines at a time.
	OnTwoMachines []string
	// NeverStarted are accepted jobs of which no task has started.
	NeverStarted []string
	// Jobs, Accepted, Refusals, Starts and Transfers count submissions, acceptances, refusals,
	// starts and changes of ledgers.
	Jobs, Accepted, Refusals, Starts, Transfers int
	Changes                                     uint64 // of the state service
	// IncompleteReason is why the run ended before its time; empty: it did not.
	IncompleteReason string
	Events           []Event
}

// Failed tells whether anything went wrong that must not.
func (f *QuotaFindings) Failed() bool {
	return len(f.Breaches) > 0 || len(f.OnTwoMachines) > 0 || len(f.NeverStarted) > 0 || f.IncompleteReason != "" ||
		f.slowestGuarantee() > f.Within || f.Starts == 0
}

// Print tells the outcome in a few lines.
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

// slowestGuarantee is the longest wait of the guaranteed team, 0 if none of its jobs started.
func (f *QuotaFindings) slowestGuarantee() time.Duration {
	if len(f.GuaranteeWaits) == 0 {
		return 0
	}
	return f.GuaranteeWaits[len(f.GuaranteeWaits)-1]
}

// writeFiles writes the record and the report.
func (f *QuotaFindings) writeFiles(folder string) error {
	return writeFiles(folder, f.Events, f.report)
}

// analyze works out from the record what there is to find.
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
