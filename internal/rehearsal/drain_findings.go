package rehearsal

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// DrainFindings is the outcome of a drain rehearsal, derived from the task events that workers reported.
type DrainFindings struct {
	Seed     uint64
	Teams    []drainTeam
	Duration time.Duration
	Events   []Event
	// Down holds, by team, the number of replicas that were down after each change.
	Down     map[string][]DownSample
	Breaches []string
	// OnTwoMachines lists the tasks that ran on two machines at the same time.
	OnTwoMachines []string
	// Moves lists the tasks that the rollout stopped, each with the machine where it started again.
	Moves   []Relocation
	LowJobs jobCounts
	// RolloutDuration is the time from the start of the rollout to its end, or 0 if it did not end.
	// ShortestDuration is a lower bound for the same moves under the same budgets.
	RolloutDuration, ShortestDuration time.Duration
	// RepeatedCoreSeconds is the work, in core-seconds, that was lost because tasks were moved.
	RepeatedCoreSeconds float64
	// Halts lists the reasons for which the rollout halted.
	Halts []string
	// PermitCounts holds the numbers of eviction permits granted and refused, by metric name.
	PermitCounts map[string]int
	// CordonedMachines is the number of machines still cordoned at the end, or unknownCount.
	CordonedMachines int
	Changes          uint64 // number of changes stored by the state service
	// IncompleteReason is the reason why the run ended early; empty if the run is complete.
	IncompleteReason string
}

// DownSample is the number of a team's replicas that are down from a point in time on.
type DownSample struct {
	At time.Duration
	// Down counts the replicas that do not run, and ByDrains those of them that a drain stopped.
	Down, ByDrains int
}

// Relocation is the stop of a task by a rollout, with the task's next start.
type Relocation struct {
	Task, From, To string
	At             time.Duration
	// Downtime is the time from the stop to the next start; 0 if the task did not start again.
	Downtime time.Duration
	Why      string
}

// Failed reports whether the run violated a requirement, did not exercise the rollout, or is incomplete.
func (f *DrainFindings) Failed() bool {
	return len(f.Breaches) > 0 || len(f.OnTwoMachines) > 0 || f.LowJobs.unfinished() > 0 || f.CordonedMachines != 0 ||
		f.IncompleteReason != "" || len(f.Moves) == 0 || len(f.Halts) == 0
}

// Print writes a summary of the outcome.
func (f *DrainFindings) Print(out io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%d tasks moved in %v of %v; least under the same budgets %v; %.0f core-seconds repeated; permits %v; %d changes of the state service\n",
		len(f.Moves), f.RolloutDuration.Round(time.Second), f.Duration.Round(time.Second), f.ShortestDuration.Round(time.Second), f.RepeatedCoreSeconds, f.PermitCounts, f.Changes)
	fmt.Fprintf(&text, "breaches of a budget: %d; tasks doubled: %d; machines left cordoned: %d; halts: %d\n", len(f.Breaches), len(f.OnTwoMachines), f.CordonedMachines, len(f.Halts))
	fmt.Fprintf(&text, "low jobs: %d accepted, %d done, %d running, %d waiting, %d moved\n", f.LowJobs.Accepted, f.LowJobs.Done, f.LowJobs.Running, f.LowJobs.Waiting, f.LowJobs.Moved)
	for _, breach := range f.Breaches {
		fmt.Fprintln(&text, breach)
	}
	if f.IncompleteReason != "" {
		fmt.Fprintln(&text, "ended before its time:", f.IncompleteReason)
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// writeFiles writes the record and the report to a folder.
func (f *DrainFindings) writeFiles(folder string) error {
	return writeFiles(folder, f.Events, f.report)
}
