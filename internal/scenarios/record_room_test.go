package scenarios

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// longestWait is how long a job may wait while machines that fit have room and its team is under its limit.
const longestWait = 90 * time.Second

// TestJobsOfEveryTypeStartWhateverTheValueLimit submits a gang, a service and an array to machines with room for
// all of their tasks, under both limits of values, and checks that all tasks start. It guards against jobs
// that wait forever because their records are estimated to be too large: a gang did under announced limits,
// whether they came into force or not, and a larger one without any announcement.
func TestJobsOfEveryTypeStartWhateverTheValueLimit(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		announced string
		tasks     int
		lowered   bool // the limits fall after the submissions
	}{
		"8 KiB":                        {tasks: 300},
		"2 KiB announced":              {announced: lowerLimitSettings, tasks: 100},
		"2 KiB announced and in force": {announced: lowerLimitSettings, tasks: 100, lowered: true},
	} {
		parallelScenario(t, name, func(t *testing.T, c *testCluster) {
			c.upcomingLimits = test.announced
			c.startNode("a")
			c.startNode("b")
			c.startWorkers("north", "south", "north", "south")
			for _, jobType := range []string{"gang", "standing", "array"} {
				job := newJob(jobIDs[jobType], jobType, test.tasks).with("cores", 0.005, "ramGb", 0.01)
				c.submit("a", job)
			}
			if test.lowered {
				c.store.SetLimits(lowerValueBytes, lowerTxnOps)
			}
			for _, job := range jobIDs {
				c.awaitRunning(longestWait, job, test.tasks)
			}
			if c.store.TooLarge > 0 {
				t.Errorf("%d writes exceeded the limits of the state service", c.store.TooLarge)
			}
		})
	}
}

// jobIDs are the IDs of jobs by type.
var jobIDs = map[string]string{"gang": "job-1", "standing": "job-2", "array": "job-3"}

// TestWaitingGangNamesTheMeasuredSizes checks that a gang whose record can't be stored with all of its tasks
// on machines starts no task, and explains the wait with the sizes that were measured.
func TestWaitingGangNamesTheMeasuredSizes(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		const tasks = 80
		c.upcomingLimits = "\n[params.state.next]\nvalue_kb = 0.75\ntxn_ops = 4\n"
		c.startNode("a")
		c.startNode("b")
		for i := range tasks {
			c.startWorker(fmt.Sprintf("m%d", i), zones[i%len(zones)])
		}
		time.Sleep(settleTime)
		// The memory of a machine holds one task.
		c.submit("a", newJob("job-1", "gang", tasks).with("cores", 0.01, "ramGb", 9))
		c.consistently(20*time.Second, "no task of it starts", func() bool { return c.noneRunning("job-1/0", "job-1/79") })
		explanation := fmt.Sprint(c.leader().elector.Cluster().Explain("job-1"))
		for _, want := range []string{"its 80 tasks need at least 80 machines", "holds 768"} {
			if !strings.Contains(explanation, want) {
				t.Errorf("%q is missing in the explanation %s", want, explanation)
			}
		}
	})
}
