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

// TestNothingStarvesUnderASteadyStreamOfSmallerWork: "soonest complete first"
// must not leave the largest job of a class, low priority or the smallest team
// behind: each begins within four minutes, under more work than there is room.
func TestNoJobStarvesUnderSteadyStreamOfSmallerJobs(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cluster := newStateWithMachines(t, 10)
		const runs = 10 * time.Second
		sequence, ended := ids.SequenceNumber(1), map[workload.TaskAttempt]bool{}
		begun := map[ids.Job]time.Duration{}
		large := map[ids.Job]time.Time{}
		submitJob := func(id ids.Job, team string, priority record.Priority, tasks int, cores float64, estimate ids.Seconds) {
			rec := newRecord(id, team, priority, tasks, cores)
			rec.Spec.EstimatedDuration = estimate
			cluster.HandleRecord(id, ids.Revision(cluster.jobs.Retired()+cluster.jobs.Len()+1), rec, time.Now())
		}
		for second := range 420 {
			if second == 30 {
				for id, submit := range map[ids.Job]func(ids.Job){
					"job-90001": func(id ids.Job) { submitJob(id, "blue", record.Normal, 700, 1, 60) },
					"job-90002": func(id ids.Job) { submitJob(id, "blue", record.Low, 150, 4, 180) },
					"job-90003": func(id ids.Job) { submitJob(id, "red", record.Low, 2, 4, 300) },
				} {
					submit(id)
					large[id] = time.Now()
				}
			}
			// Half as much again as ten machines of four cores can do.
			for i := range 3 {
				submitJob(ids.Job(fmt.Sprintf("job-%d", second*3+i)), "blue", record.Normal, 2, 1, 10)
			}
			cluster.Plan(time.Now())
			cluster.markAllStored()
			sequence++
			cluster.runTasks(sequence, runs, ended)
			for id, since := range large {
				if job := cluster.jobs.Get(id); begun[id] == 0 && (job == nil || job.Record.Attempt > 0) {
					begun[id] = time.Since(since) + 1
				}
			}
			time.Sleep(time.Second)
		}
		if len(ended) < 1000 {
			t.Fatalf("only %d tasks ended: the stream did not flow", len(ended))
		}
		for id := range large {
			if begun[id] == 0 || begun[id] > 4*time.Minute {
				t.Errorf("%s (%d tasks) begun after %v", id, cluster.jobs.Get(id).Record.Spec.Tasks, begun[id])
			}
		}
		t.Log(begun)
	})
}

func TestLongestStarvingJobRanksFirst(t *testing.T) {
	t.Parallel()
	// Guards against small jobs within their teams' guarantees that take every machine
	// set aside, as they come, while the largest job waits for one machine for ever.
	now := time.Now()
	cluster := newStateWithMachines(t, 4)
	large := newRecord("job-1", "blue", record.Low, 150, 4)
	large.Submitted = ids.TimestampOf(now.Add(-3 * time.Minute))
	cluster.HandleRecord("job-1", 1, large, now)
	for i := range 20 {
		small := newRecord(ids.Job(fmt.Sprintf("job-%d", 10+i)), "red", record.Normal, 1, 1)
		small.Submitted = ids.TimestampOf(now.Add(-2 * time.Minute))
		cluster.submit(ids.Revision(10+i), small, now)
	}
	if first := cluster.scheduler.Ranked(now)[0].Record.Spec.ID; first != "job-1" {
		t.Errorf("%s goes first", first)
	}
}

func TestStartOfStarvedJobProtectedFromPreemptionBriefly(t *testing.T) {
	t.Parallel()
	// Guards against a task that is placed on the machine set aside for it and stopped in
	// the same pass for work within another team's guarantee.
	synctest.Test(t, func(t *testing.T) {
		cluster := newStateWithMachines(t, 1)
		cluster.setTeams(config.Team{Name: "red", CPUs: 4}, config.Team{Name: "blue"})
		cluster.submit(1, newRecord("job-1", "blue", record.Low, 1, 4), time.Now())
		cluster.jobs.Get("job-1").ReservationSoughtAt = time.Now() // machines were looked for to set aside
		cluster.Plan(time.Now())
		assignment := cluster.assignmentsOf("job-1")[0]
		if assignment == nil {
			t.Fatal("it did not begin")
		}
		cluster.markAllStored()
		cluster.submit(2, newRecord("job-2", "red", record.Normal, 1, 4), time.Now())
		cluster.Plan(time.Now())
		if assignment.Stopping {
			t.Error("it is stopped at once for a guarantee")
		}
		time.Sleep(workload.StartProtectionTime + time.Second)
		cluster.runTasks(2, time.Hour, map[workload.TaskAttempt]bool{})
		cluster.Plan(time.Now())
		if !assignment.Stopping && cluster.assignmentsOf("job-1")[0] != nil {
			t.Error("the guarantee is kept waiting for longer")
		}
	})
}

func TestJobPreemptedRightAfterFirstStartDoesNotStarve(t *testing.T) {
	t.Parallel()
	// Guards against counting a start that was taken back at once as the beginning: such
	// a job waited for ever beside a stream of smaller work.
	synctest.Test(t, func(t *testing.T) {
		cluster := newStateWithMachines(t, 10)
		sequence, ended := ids.SequenceNumber(1), map[workload.TaskAttempt]bool{}
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
			t.Fatalf("attempt %d, %d places: it did not begin and end", large.Record.Attempt, len(large.Assignments))
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
			t.Errorf("it ran again after %v", took)
		} else if took < 20*time.Second {
			t.Errorf("it ran again after %v: there was room beside the stream", took)
		}
	})
}

func TestEveryTeamAndLargestJobStartInBurstAfterMachineLoss(t *testing.T) {
	t.Parallel()
	// A third of the machines is lost with all that ran there, and three times as
	// much comes in as fits: each class, team and largest job, a gang over half of
	// what is left too, begins within four minutes.
	synctest.Test(t, func(t *testing.T) {
		cluster := newStateWithMachines(t, 30)
		var teams []config.Team
		for i := range 10 {
			teams = append(teams, config.Team{Name: fmt.Sprint("team-", i), CPUs: 4})
		}
		cluster.setTeams(teams...)
		submitted, started := 0, map[string]time.Duration{}
		lastSubmitted := map[string]time.Time{} // when a class or team last submitted
		jobs := map[ids.Job]string{}
		submitJob := func(class string, team int, shape record.Shape, priority record.Priority, tasks int, cores float64) {
			submitted++
			rec := newRecord(ids.Job(fmt.Sprint("job-", submitted)), fmt.Sprint("team-", team), priority, tasks, cores)
			rec.Spec.Shape = shape
			rec.Spec.Class = class
			rec.Spec.Image = "image-" + class
			if shape == record.Service {
				rec.Spec.EstimatedDuration = 0
			}
			cluster.submit(ids.Revision(submitted), rec, time.Now())
			jobs[rec.Spec.ID] = class
			for _, group := range []string{class, rec.Spec.Team} {
				started[group], lastSubmitted[group] = 0, time.Now()
			}
		}
		ended := map[workload.TaskAttempt]bool{}
		pass := func(second int) {
			cluster.Plan(time.Now())
			cluster.markAllStored()
			cluster.runTasks(ids.SequenceNumber(second+2), 10*time.Second, ended)
			time.Sleep(time.Second)
		}
		for i := range 40 {
			submitJob("array", i%10, record.Array, record.Normal, 6, 1)
		}
		for second := range 20 {
			pass(second)
		}
		for i := range 10 {
			cluster.MachineTerminated(ids.Machine(fmt.Sprintf("host-%06d", i)))
		}
		clear(started)
		submitJob("largest array", 0, record.Array, record.Low, 150, 4)
		submitJob("largest gang", 1, record.Gang, record.High, 10, 4)
		for second := range 120 + 240 { // the last of each has its four minutes too
			if second < 120 {
				for i := range 10 {
					submitJob("array", i, record.Array, record.Normal, 3, 1)
				}
				if second%10 == 0 {
					submitJob("service", second/10%10, record.Service, record.Critical, 2, 1)
					submitJob("low", second/10%10, record.Array, record.Low, 4, 2)
				}
			}
			pass(20 + second)
			for id, class := range jobs {
				if job := cluster.jobs.Get(id); job != nil && job.Record.Attempt > 0 && len(job.Assignments) > 0 {
					for _, group := range []string{class, job.Record.Spec.Team} {
						if started[group] == 0 {
							started[group] = time.Since(lastSubmitted[group])
						}
					}
				}
			}
		}
		for group, after := range started {
			if after == 0 || after > 4*time.Minute {
				t.Errorf("%s: nothing begun (%v)", group, after)
			}
		}
		if len(started) != 15 {
			t.Errorf("looked at %d classes and teams", len(started))
		}
	})
}

func TestGangOfTwoStartsDespiteStreamOfSingleTaskGangs(t *testing.T) {
	t.Parallel()
	// Found on a day of the ops deployments: gangs that need two large machines of one
	// zone at once waited for up to six minutes, since each that became free was
	// taken by a gang of one, just as high.
	synctest.Test(t, func(t *testing.T) {
		cluster := newStateWithMachines(t, 8) // four in each zone
		cluster.settings.Params.Teams[1].CPUs = 0
		gang := func(id ids.Job, tasks int) {
			rec := newGangRecord(id, "blue", record.High, tasks, 4)
			rec.Spec.SingleZone = true
			rec.Spec.EstimatedDuration = 100
			cluster.HandleRecord(id, 1, rec, time.Now())
		}
		began, submitted := time.Duration(0), time.Now()
		remaining := map[*workload.Assignment]time.Duration{}
		for second := range 400 {
			if second%9 == 0 { // more than fits, all the time
				gang(ids.Job(fmt.Sprintf("job-%d", 100+second)), 1)
			}
			if second == 60 {
				gang("job-2", 2)
				submitted = time.Now()
			}
			cluster.Plan(time.Now())
			cluster.markAllStored()
			cluster.heartbeatAll(ids.SequenceNumber(second+2), func(assignment *workload.Assignment) string {
				if _, ok := remaining[assignment]; !ok {
					remaining[assignment] = time.Duration(70+assignment.Job.Record.Submitted.Time().Second()) * time.Second // 70 to 130 s
				}
				if remaining[assignment] -= time.Second; remaining[assignment] <= 0 {
					return worker.CauseDone
				}
				return ""
			})
			if job := cluster.jobs.Get("job-2"); began == 0 && job != nil && len(job.Assignments) == 2 {
				began = time.Since(submitted)
			}
			time.Sleep(time.Second)
		}
		if began == 0 || began > 3*time.Minute {
			t.Errorf("it began after %v", began)
		}
	})
}
