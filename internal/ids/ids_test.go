package ids

import (
	"testing"
	"time"
)

func TestParseJobAcceptsOnlyTheJobIDFormat(t *testing.T) {
	for text, ok := range map[string]bool{
		"job-000412": true,
		"job-":       false,
		"job-1/2":    false,
		"Job-1":      false,
		"job-1 ":     false,
		"":           false,
		"job-x":      false,
	} {
		if _, err := ParseJob(text); (err == nil) != ok {
			t.Errorf("ParseJob(%q) returned the error %v", text, err)
		}
	}
}

func TestParseTaskReversesString(t *testing.T) {
	task := Task{Job: "job-7", Index: 12}
	if parsed, err := ParseTask(task.String()); err != nil || parsed != task {
		t.Errorf("%v is parsed back as %v, error %v", task, parsed, err)
	}
	for _, bad := range []string{"", "job-7", "job-7/", "job-7/x", "job-7/-1", "job-7/1/2"} {
		if task, err := ParseTask(bad); err == nil {
			t.Errorf("malformed %q is parsed as %v", bad, task)
		}
	}
}

func TestShardOfSpreadsJobsOverAllShards(t *testing.T) {
	counts := map[Shard]int{}
	for _, job := range []Job{"job-1", "job-2", "job-3", "job-4", "job-5", "job-6", "job-7", "job-8", "job-9"} {
		if shard := ShardOf(job, 1); shard != 0 {
			t.Errorf("ShardOf(%s, 1) is %d, want 0", job, shard)
		}
		counts[ShardOf(job, 3)]++
	}
	if counts[0] == 0 || counts[1] == 0 || counts[2] == 0 || len(counts) != 3 {
		t.Errorf("not every shard has a job; jobs per shard: %v", counts)
	}
	// Guards against a change of the hash: all versions of the program must agree on the shard of a job.
	if shard := ShardOf("job-000412", 5); shard != 1 {
		t.Errorf("job-000412 is in shard %d of 5, want 1", shard)
	}
}

func TestWithClockDriftAddsDriftAndOffset(t *testing.T) {
	if got, want := Seconds(10).WithClockDrift(), 10*time.Second+111*time.Millisecond; got != want {
		t.Errorf("10 s with clock drift is %v, want %v", got, want)
	}
}
