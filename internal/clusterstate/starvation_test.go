package clusterstate

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Ranking jobs by the soonest completion must not starve the largest job of a class, jobs of low priority
// or the smallest team: each must start within four minutes while there is more work than capacity.
func TestNoJobStarvesUnderSteadyStreamOfSmallerJobs(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cluster := newStateWithMachines(10)
		const taskDuration = 10 * time.Second
		sequence := ids.SequenceNumber(1)
		ended := map[workload.TaskAttempt]bool{}
		startedAfter := map[ids.Job]time.Duration{}
		submittedAt := map[ids.Job]time.Time{}
		submitJob := func(id ids.Job, team string, priority record.Priority, tasks int, cores float64, estimate ids.Seconds) {
			rec := newRecord(id, team, priority, tasks, cores)
			rec.Spec.EstimatedDuration = estimate
			cluster.submit(ids.Revision(cluster.jobs.RetiredCount()+cluster.jobs.Len()+1), rec, time.Now())
		}
		for second := range 420 {
			if second == 30 {
				// Submitted in the random order of a map.
				for id, job := range map[ids.Job]struct {
					team     string
					priority record.Priority
					tasks    int
					cores    float64
					estimate ids.Seconds
				}{
					"job-90001": {"blue", record.Normal, 700, 1, 60},
					"job-90002": {"blue", record.Low, 150, 4, 180},
					"job-90003": {"red", record.Low, 2, 4, 300},
				} {
					submitJob(id, job.team, job.priority, job.tasks, job.cores, job.estimate)
					submittedAt[id] = time.Now()
				}
			}
			// This is half as much again as ten machines of four cores can run.
			for i := range 3 {
				submitJob(ids.Job(fmt.Sprintf("job-%d", second*3+i)), "blue", record.Normal, 2, 1, 10)
			}
			cluster.Plan(time.Now())
			cluster.markAllStored()
			sequence++
			cluster.runTasks(sequence, taskDuration, ended)
			for id, since := range submittedAt {
				if job := cluster.jobs.Get(id); startedAfter[id] == 0 && (job == nil || job.Record.Attempt > 0) {
					startedAfter[id] = time.Since(since) + 1
				}
			}
			time.Sleep(time.Second)
		}
		if len(ended) < 1000 {
			t.Fatalf("only %d tasks ended, so the smaller jobs did not keep the machines busy", len(ended))
		}
		for id := range submittedAt {
			if startedAfter[id] == 0 || startedAfter[id] > 4*time.Minute {
				t.Errorf("%s (%d tasks) started after %v", id, cluster.jobs.Get(id).Record.Spec.Tasks, startedAfter[id])
			}
		}
		t.Log(startedAfter)
	})
}

func TestLongestStarvingJobRanksFirst(t *testing.T) {
	t.Parallel()
	// Guards against small jobs within their teams' guarantees that get every reserved machine, one after
	// the other, while the largest job waits forever for a single machine.
	now := time.Now()
	cluster := newStateWithMachines(4)
	large := newRecord("job-1", "blue", record.Low, 150, 4)
	large.Submitted = ids.TimestampOf(now.Add(-3 * time.Minute))
	cluster.submit(1, large, now)
	for i := range 20 {
		small := newRecord(ids.Job(fmt.Sprintf("job-%d", 10+i)), "red", record.Normal, 1, 1)
		small.Submitted = ids.TimestampOf(now.Add(-2 * time.Minute))
		cluster.submit(ids.Revision(10+i), small, now)
	}
	if first := cluster.scheduler.Ranked(now)[0].Record.Spec.ID; first != "job-1" {
		t.Errorf("%s ranks first, want job-1", first)
	}
}

func TestStartOfStarvedJobProtectedFromPreemptionBriefly(t *testing.T) {
	t.Parallel()
	// Guards against a task that is assigned to the machine reserved for it and preempted in the same
	// pass by work within another team's guarantee.
	synctest.Test(t, func(t *testing.T) {
		cluster := newStateWithMachines(1)
		cluster.setTeams(config.Team{Name: "red", CPUs: 4}, config.Team{Name: "blue"})
		cluster.submit(1, newRecord("job-1", "blue", record.Low, 1, 4), time.Now())
		cluster.jobs.Get("job-1").LastReservationAttempt = time.Now()
		cluster.Plan(time.Now())
		assignment := cluster.assignmentsOf("job-1")[0]
		if assignment == nil {
			t.Fatal("the starving job is not assigned")
		}
		cluster.markAllStored()
		cluster.submit(2, newRecord("job-2", "red", record.Normal, 1, 4), time.Now())
		cluster.Plan(time.Now())
		if assignment.Stopping {
			t.Error("the starved job is preempted right after its start for a guarantee")
		}
		time.Sleep(workload.StartProtectionTime + time.Second)
		cluster.runTasks(2, time.Hour, map[workload.TaskAttempt]bool{})
		cluster.Plan(time.Now())
		if !assignment.Stopping && cluster.assignmentsOf("job-1")[0] != nil {
			t.Error("the starved job is not preempted for a guarantee after its protection time")
		}
	})
}

func TestJobPreemptedRightAfterFirstStartDoesNotStarve(t *testing.T) {
	t.Parallel()
	// Guards against counting a start that was preempted at once as the job's first start: such a job
	// waited forever while smaller jobs kept arriving.
	synctest.Test(t, func(t *testing.T) {
		cluster := newStateWithMachines(10)
		sequence := ids.SequenceNumber(1)
		ended := map[workload.TaskAttempt]bool{}
		cluster.submit(1, newRecord("job-90001", "blue", record.Low, 150, 4), time.Now())
		cluster.Plan(time.Now())
		large := cluster.jobs.Get("job-90001")
		cluster.markAllStored()
		sequence++
		cluster.runTasks(sequence, time.Minute, ended)
		for _, i := range workload.SortedTasks(large.Assignments) {
			cluster.stopAssignment(large.Assignments[i], 0, "for others")
		}
		sequence++
		cluster.runTasks(sequence, time.Minute, ended)
		if large.Record.Attempt == 0 || len(large.Assignments) > 0 {
			t.Fatalf("attempt %d, %d assignments: the large job was not started and preempted", large.Record.Attempt, len(large.Assignments))
		}
		began := time.Now()
		for second := 0; len(large.Assignments) == 0 && second < 400; second++ {
			jobs := 3
			if second == 0 {
				jobs = 30 // the machines are full from now on
			}
			for i := range jobs {
				id := ids.Job(fmt.Sprintf("job-%d", second*100+i))
				cluster.submit(ids.Revision(second*100+i+2), newRecord(id, "blue", record.Normal, 2, 1), time.Now())
			}
			cluster.Plan(time.Now())
			cluster.markAllStored()
			sequence++
			cluster.runTasks(sequence, 10*time.Second, ended)
			time.Sleep(time.Second)
		}
		if took := time.Since(began); took > 4*time.Minute {
			t.Errorf("the large job ran again after %v", took)
		} else if took < 20*time.Second {
			t.Errorf("the large job ran again after %v: the smaller jobs left capacity free", took)
		}
	})
}

func TestEveryTeamAndLargestJobStartInBurstAfterMachineLoss(t *testing.T) {
	t.Parallel()
	// A third of the machines is lost with all their tasks, and the submitted work is three times what the
	// other machines can run. A task of each class and of each team must start within four minutes. The
	// largest array, and a gang that needs half of the remaining machines, are classes of their own.
	synctest.Test(t, func(t *testing.T) {
		cluster := newStateWithMachines(30)
		var teams []config.Team
		for i := range 10 {
			teams = append(teams, config.Team{Name: fmt.Sprint("team-", i), CPUs: 4})
		}
		cluster.setTeams(teams...)
		submitted := 0
		startedAfter := map[string]time.Duration{} // by class and by team: time from its last submission
		lastSubmitted := map[string]time.Time{}
		classes := map[ids.Job]string{}
		submitJob := func(class string, team int, jobType record.JobType, priority record.Priority, tasks int, cores float64) {
			submitted++
			rec := newRecord(ids.Job(fmt.Sprint("job-", submitted)), fmt.Sprint("team-", team), priority, tasks, cores)
			rec.Spec.JobType = jobType
			rec.Spec.Class = class
			rec.Spec.Image = "image-" + class
			if jobType == record.Service {
				rec.Spec.EstimatedDuration = 0
			}
			cluster.submit(ids.Revision(submitted), rec, time.Now())
			classes[rec.Spec.ID] = class
			for _, group := range []string{class, rec.Spec.Team} {
				startedAfter[group] = 0
				lastSubmitted[group] = time.Now()
			}
		}
		ended := map[workload.TaskAttempt]bool{}
		runPass := func(second int) {
			cluster.Plan(time.Now())
			cluster.markAllStored()
			cluster.runTasks(ids.SequenceNumber(second+2), 10*time.Second, ended)
			time.Sleep(time.Second)
		}
		for i := range 40 {
			submitJob("array", i%10, record.Array, record.Normal, 6, 1)
		}
		for second := range 20 {
			runPass(second)
		}
		for i := range 10 {
			cluster.MachineTerminated(ids.Machine(fmt.Sprintf("host-%06d", i)))
		}
		clear(startedAfter)
		submitJob("largest array", 0, record.Array, record.Low, 150, 4)
		submitJob("largest gang", 1, record.Gang, record.High, 10, 4)
		for second := range 120 + 240 { // four minutes more for the last submissions
			if second < 120 {
				for i := range 10 {
					submitJob("array", i, record.Array, record.Normal, 3, 1)
				}
				if second%10 == 0 {
					submitJob("service", second/10%10, record.Service, record.Critical, 2, 1)
					submitJob("low", second/10%10, record.Array, record.Low, 4, 2)
				}
			}
			runPass(20 + second)
			for id, class := range classes {
				if job := cluster.jobs.Get(id); job != nil && job.Record.Attempt > 0 && len(job.Assignments) > 0 {
					for _, group := range []string{class, job.Record.Spec.Team} {
						if startedAfter[group] == 0 {
							startedAfter[group] = time.Since(lastSubmitted[group])
						}
					}
				}
			}
		}
		for group, after := range startedAfter {
			if after == 0 || after > 4*time.Minute {
				t.Errorf("%s: nothing started within four minutes (%v)", group, after)
			}
		}
		if len(startedAfter) != 15 {
			t.Errorf("checked %d classes and teams, want 15", len(startedAfter))
		}
	})
}

func TestGangOfTwoStartsDespiteStreamOfSingleTaskGangs(t *testing.T) {
	t.Parallel()
	// Regression: gangs that need two large machines of one zone at once waited for up to six minutes,
	// since each machine that became free was taken by a single-task gang of the same priority.
	synctest.Test(t, func(t *testing.T) {
		cluster := newStateWithMachines(8) // four in each zone
		cluster.settings.Params.Teams[1].CPUs = 0
		submitGang := func(id ids.Job, tasks int) {
			rec := newGangRecord(id, "blue", record.High, tasks, 4)
			rec.Spec.SingleZone = true
			rec.Spec.EstimatedDuration = 100
			cluster.submit(1, rec, time.Now())
		}
		startedAfter, submitted := time.Duration(0), time.Now()
		remaining := map[*workload.Assignment]time.Duration{}
		for second := range 400 {
			if second%9 == 0 { // more than fits at any time
				submitGang(ids.Job(fmt.Sprintf("job-%d", 100+second)), 1)
			}
			if second == 60 {
				submitGang("job-2", 2)
				submitted = time.Now()
			}
			cluster.Plan(time.Now())
			cluster.markAllStored()
			cluster.heartbeatAll(ids.SequenceNumber(second+2), func(assignment *workload.Assignment) string {
				if _, ok := remaining[assignment]; !ok {
					// Durations of 70 to 130 s.
					seconds := 70 + assignment.Job.Record.Submitted.Time().Second()
					remaining[assignment] = time.Duration(seconds) * time.Second
				}
				if remaining[assignment] -= time.Second; remaining[assignment] <= 0 {
					return worker.CauseDone
				}
				return ""
			})
			if job := cluster.jobs.Get("job-2"); startedAfter == 0 && job != nil && len(job.Assignments) == 2 {
				startedAfter = time.Since(submitted)
			}
			time.Sleep(time.Second)
		}
		if startedAfter == 0 || startedAfter > 3*time.Minute {
			t.Errorf("the gang of two started after %v", startedAfter)
		}
	})
}
