package election

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

func TestExplainReturnsReasonsOnlyWhileTheyAreCurrent(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		elector := NewElector(testSettings(), nil, nil, "a.1")
		cluster := clusterWithMachines(t, 1)
		cluster.HandleRecord("job-1", 1, record.New(record.Spec{ID: "job-1", Class: "c", Team: "blue", JobType: record.Array, Priority: record.Normal, Tasks: 40, EstimatedDuration: 10,
			Resources: placement.Resources{Cores: 1, RAM: 1}, Image: "i", ImageGB: 1}, ids.TimestampOf(time.Now()), "user"), time.Now())
		cluster.Plan(time.Now())
		if _, err := elector.Explain("job-1"); err == nil {
			t.Error("Explain succeeded on a node that does not lead the shard")
		}
		term := startTestTerm(elector, cluster)
		for _, step := range []struct {
			want string
			id   ids.Job
			then func()
		}{
			{"still reading the records", "job-1", func() { close(term.loaded) }},
			{"no machine has room", "job-1", func() {}},
			{"has not read of this job", "job-9", func() { time.Sleep(3 * time.Second) }},
			{"the state service has not answered", "job-1", func() {}},
		} {
			lines, err := elector.Explain(step.id)
			if err != nil || len(lines) == 0 || !strings.Contains(lines[0], step.want) {
				t.Errorf("Explain: want a first line with %q; got %v, error %v", step.want, lines, err)
			}
			step.then()
		}
	})
}
