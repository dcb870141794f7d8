package rehearsal

import (
	"reflect"
	"testing"
	"time"
)

// breachEvents returns events in which team red, with a limit of four cores, briefly uses five.
func breachEvents() []Event {
	newEvent := func(s int, kind EventKind, job string, cores float64) Event {
		return Event{At: time.Duration(s) * time.Second, Kind: kind, Team: "red", Job: job, Task: job + "/0", Cores: cores}
	}
	return []Event{
		newEvent(1, JobRefused, "job-1", 0), newEvent(2, JobAccepted, "job-1", 0), newEvent(2, JobAccepted, "job-2", 0), newEvent(3, JobAccepted, "job-3", 0),
		newEvent(4, TaskStarted, "job-1", 3), newEvent(6, TaskEnded, "job-1", 3), newEvent(5, TaskStarted, "job-2", 2),
		{At: 5 * time.Second, Kind: FaultInjected, Where: "controller-1", Why: "paused"},
	}
}

var redTeam = Team{Name: "red", Guarantee: 2, Limit: 4}

func TestUsageOverTimeReportsLimitBreaches(t *testing.T) {
	t.Parallel()
	samples, breaches := usageOverTime(breachEvents(), []Team{redTeam})
	if len(breaches) != 1 || breaches[0].Task != "job-2/0" || breaches[0].Cores != 5 {
		t.Errorf("breaches %v, want one of 5 cores at the start of job-2/0", breaches)
	}
	if last := samples["red"][len(samples["red"])-1]; last.Cores != 2 {
		t.Errorf("last sample %v, want 2 cores", last)
	}
	if _, breaches := usageOverTime(breachEvents(), []Team{{Name: "red", Limit: 5}}); len(breaches) != 0 {
		t.Errorf("breaches %v with a limit that is not exceeded, want none", breaches)
	}
	waits, unstarted := startWaits(breachEvents(), func(string) bool { return true })
	if !reflect.DeepEqual(waits, []time.Duration{3 * time.Second, 3 * time.Second}) || !reflect.DeepEqual(unstarted, []string{"job-3"}) {
		t.Errorf("waits %v, unstarted %v", waits, unstarted)
	}
}
