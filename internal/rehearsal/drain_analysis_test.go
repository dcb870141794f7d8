package rehearsal

import (
	"slices"
	"strings"
	"testing"
	"time"
)

func TestDrainAnalysisReportsBudgetBreaches(t *testing.T) {
	// The team has two replicas, of which one may be down. A stop needs a stored permit, and a replica
	// that failed long before counts against the budget.
	second := time.Second
	start := func(at time.Duration, task, where string) Event {
		return Event{At: at, Kind: TaskStarted, Team: "kiosk", Job: "job-000001", Task: task, Where: where}
	}
	end := func(at time.Duration, task, where, why string) Event {
		return Event{At: at, Kind: TaskEnded, Team: "kiosk", Job: "job-000001", Task: task, Where: where, Why: why}
	}
	permit := func(at time.Duration, task string) Event {
		return Event{At: at, Kind: EvictionStored, Job: "job-000001", Task: task, Why: "rollout spring, wave 1"}
	}
	initialEvents := []Event{start(0, "job-000001/0", "m1"), start(0, "job-000001/1", "m2"), permit(second, "job-000001/0"), permit(second, "job-000001/1")}
	for name, test := range map[string]struct {
		events []Event
		breach string
	}{
		"within the budget":       {[]Event{end(2*second, "job-000001/0", "m1", "stopped"), start(3*second, "job-000001/0", "m3"), end(4*second, "job-000001/1", "m2", "stopped")}, ""},
		"two at a time":           {[]Event{end(2*second, "job-000001/0", "m1", "stopped"), end(3*second, "job-000001/1", "m2", "stopped")}, "2 replicas down (2 stopped by drains) of at most 1"},
		"one failed long before":  {[]Event{end(2*second, "job-000001/0", "m1", "killed"), end(20*second, "job-000001/1", "m2", "stopped")}, "2 replicas down (1 stopped by drains) of at most 1"},
		"one failed a moment ago": {[]Event{end(2*second, "job-000001/0", "m1", "killed"), end(3*second, "job-000001/1", "m2", "stopped")}, ""},
		"a stop without a permit": {[]Event{start(2*second, "job-000001/2", "m1"), end(3*second, "job-000001/2", "m1", "stopped")}, "no permit was stored"},
	} {
		findings := DrainFindings{Teams: []drainTeam{{Team: Team{Name: "kiosk"}, Replicas: 2, ReplicasDown: 1}},
			Events: append(slices.Clone(initialEvents), test.events...), IncompleteReason: "the time was up"}
		findings.analyze()
		if breaches := strings.Join(findings.Breaches, "; "); test.breach == "" && breaches != "" || !strings.Contains(breaches, test.breach) {
			t.Errorf("%s: breaches %q, want %q", name, breaches, test.breach)
		}
		page, err := findings.report()
		if err != nil || !findings.Failed() || !strings.Contains(string(page), "The run ended before its time: the time was up") {
			t.Errorf("%s: Failed returned %v; report error %v", name, findings.Failed(), err)
		}
	}
}
