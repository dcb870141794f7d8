package rehearsal

import (
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// story is a record in which team red, with a limit of four cores, uses five for a moment.
func story() []Event {
	at := func(s int, kind Kind, job string, cores float64) Event {
		return Event{At: time.Duration(s) * time.Second, Kind: kind, Team: "red", Job: job, Task: job + "/0", Cores: cores}
	}
	return []Event{
		at(1, Refused, "job-1", 0), at(2, Accepted, "job-1", 0), at(2, Accepted, "job-2", 0), at(3, Accepted, "job-3", 0),
		at(4, TaskStarted, "job-1", 3), at(6, TaskEnded, "job-1", 3), at(5, TaskStarted, "job-2", 2),
		{At: 5 * time.Second, Kind: Disturbed, Where: "controller-1", Why: "paused"},
	}
}

var red = Team{Name: "red", Guarantee: 2, Limit: 4}

func TestTheWorkersRecordShowsEachBreach(t *testing.T) {
	t.Parallel()
	samples, breaches := Usage(story(), []Team{red})
	if len(breaches) != 1 || breaches[0].Task != "job-2/0" || breaches[0].Cores != 5 {
		t.Errorf("breaches %v", breaches)
	}
	if last := samples["red"][len(samples["red"])-1]; last.Cores != 2 {
		t.Errorf("%v in use at the end", last)
	}
	if _, breaches := Usage(story(), []Team{{Name: "red", Limit: 5}}); len(breaches) != 0 {
		t.Errorf("within the limit: %v", breaches)
	}
	waits, unstarted := Waits(story(), func(string) bool { return true })
	if !reflect.DeepEqual(waits, []time.Duration{3 * time.Second, 3 * time.Second}) || !reflect.DeepEqual(unstarted, []string{"job-3"}) {
		t.Errorf("waits %v, unstarted %v", waits, unstarted)
	}
}

func TestARunThatEndsMidwayLeavesItsRecordAndReport(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	f := &Findings{Teams: []Team{red}, Took: 10 * time.Second, Within: time.Second, Events: story(), Midway: "the time was up"}
	f.count()
	if !f.Failed() {
		t.Error("it does not count as failed")
	}
	if err := f.leave(folder); err != nil {
		t.Fatal(err)
	}
	events, err := ReadRecord(filepath.Join(folder, "record.jsonl.zst"))
	if err != nil || !reflect.DeepEqual(events, story()) {
		t.Errorf("record %v, %v", events, err)
	}
	page, err := f.Report()
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"This run failed", "the time was up", "team red used 5 cores", "controller-1", "<svg"} {
		if !strings.Contains(string(page), want) {
			t.Errorf("the report does not tell of %q", want)
		}
	}
}

func TestTheStandInOfTheCloudRentsWhatItHas(t *testing.T) {
	t.Parallel()
	// Machines that have booted are real listeners; all end with the cluster.
	c, err := NewCluster(ClusterOptions{Folder: t.TempDir(), Program: "/nonexistent", Teams: []Team{red}, Controllers: 2, Machines: 2})
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(c.Controllers()[0]); err == nil {
		t.Error("a program that is not there was started")
	}
	name, ok := c.cloud.start("north")
	if !ok || len(c.cloud.list("")) != 1 || c.cloud.room != 1 {
		t.Errorf("%q, %v", name, c.cloud.list(""))
	}
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}

func TestTheRecordOfADrainShowsEachBreach(t *testing.T) {
	// Two replicas of a team that may have one down; a stop without a stored permit; and a replica
	// that failed long before counts as well.
	second := time.Second
	start := func(at time.Duration, task, where string) Event {
		return Event{At: at, Kind: TaskStarted, Team: "kiosk", Job: "job-000001", Task: task, Where: where}
	}
	end := func(at time.Duration, task, where, why string) Event {
		return Event{At: at, Kind: TaskEnded, Team: "kiosk", Job: "job-000001", Task: task, Where: where, Why: why}
	}
	permit := func(at time.Duration, task string) Event {
		return Event{At: at, Kind: Evicted, Job: "job-000001", Task: task, Why: "rollout spring, wave 1"}
	}
	up := []Event{start(0, "job-000001/0", "m1"), start(0, "job-000001/1", "m2"), permit(second, "job-000001/0"), permit(second, "job-000001/1")}
	for name, c := range map[string]struct {
		events []Event
		breach string
	}{
		"within the budget":       {[]Event{end(2*second, "job-000001/0", "m1", "stopped"), start(3*second, "job-000001/0", "m3"), end(4*second, "job-000001/1", "m2", "stopped")}, ""},
		"two at a time":           {[]Event{end(2*second, "job-000001/0", "m1", "stopped"), end(3*second, "job-000001/1", "m2", "stopped")}, "2 replicas down (2 stopped by drains) of at most 1"},
		"one failed long before":  {[]Event{end(2*second, "job-000001/0", "m1", "killed"), end(20*second, "job-000001/1", "m2", "stopped")}, "2 replicas down (1 stopped by drains) of at most 1"},
		"one failed a moment ago": {[]Event{end(2*second, "job-000001/0", "m1", "killed"), end(3*second, "job-000001/1", "m2", "stopped")}, ""},
		"a stop without a permit": {[]Event{start(2*second, "job-000001/2", "m1"), end(3*second, "job-000001/2", "m1", "stopped")}, "no permit was stored"},
	} {
		f := DrainFindings{Teams: []drainTeam{{Team: Team{Name: "kiosk"}, Replicas: 2, Budget: 1}}, Events: append(slices.Clone(up), c.events...), Midway: "the time was up"}
		f.count()
		if breaches := strings.Join(f.Breaches, "; "); c.breach == "" && breaches != "" || !strings.Contains(breaches, c.breach) {
			t.Errorf("%s: %q, not %q", name, breaches, c.breach)
		}
		page, err := f.Report()
		if err != nil || !f.Failed() || !strings.Contains(string(page), "The run ended before its time: the time was up") {
			t.Errorf("%s: failed %v: %v", name, f.Failed(), err)
		}
	}
}
