package rehearsal

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// DrainFindings are the outcome of a rehearsal of a drain, by the workers' own record.
type DrainFindings struct {
	Seed     uint64
	Teams    []drainTeam
	Duration time.Duration
	Events   []Event
	// Down is how many of a team's replicas were down from a moment on, by team.
	Down     map[string][]DownSample
	Breaches []string
	// OnTwoMachines are tasks that ran on two machines at a time.
	OnTwoMachines []string
	// Moves are the tasks that the rollout moved, and where to.
	Moves   []Move
	LowJobs jobCounts
	// RolloutDuration is from the rollout's start to its end, 0 if it did not end; ShortestDuration
	// is the least that the same budgets allow for the same moves.
	RolloutDuration, ShortestDuration time.Duration
	// RepeatedCoreSeconds is the core-seconds of work that was thrown away by moves.
	RepeatedCoreSeconds float64
	// Halts are the reasons why the rollout halted.
	Halts []string
	// PermitCounts is how often permits were given and refused, by the names of these metrics.
	PermitCounts map[string]int
	// CordonedMachines is how many machines were left cordoned, or unknownCount.
	CordonedMachines int
	Changes          uint64 // of the state service
	// IncompleteReason is why the run ended before its time; empty: it did not.
	IncompleteReason string
}

// DownSample is what a team has down from a moment on.
type DownSample struct {
	At time.Duration
	// Down are the replicas that do not run, ByDrains those of them that a drain stopped.
	Down, ByDrains int
}

// Move is a task that a rollout stopped, and its next start.
type Move struct {
	Task, From, To string
	At             time.Duration
	// Downtime is from the stop to the start; 0 if it did not start again.
	Downtime time.Duration
	Why      string
}

// Failed tells whether anything went wrong that must not.
func (f *DrainFindings) Failed() bool {
	return len(f.Breaches) > 0 || len(f.OnTwoMachines) > 0 || f.LowJobs.unfinished() > 0 || f.CordonedMachines != 0 ||
		f.IncompleteReason != "" || len(f.Moves) == 0 || len(f.Halts) == 0
}

// Print tells the outcome in a few lines.
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

// writeFiles writes the record and the report.
func (f *DrainFindings) writeFiles(folder string) error {
	return writeFiles(folder, f.Events, f.report)
}
