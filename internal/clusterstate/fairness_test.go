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
func TestNothingStarvesUnderASteadyStreamOfSmallerWork(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cluster := fleet(t, 10)
		const runs = 10 * time.Second
		tick, ended := ids.SequenceNumber(1), map[workload.TaskAttempt]bool{}
		begun := map[ids.Job]time.Duration{}
		large := map[ids.Job]time.Time{}
		add := func(id ids.Job, team string, p record.Priority, tasks int, cores float64, est ids.Seconds) {
			rec := newRecord(id, team, p, tasks, cores)
			rec.Spec.EstimatedDuration = est
			cluster.HandleRecord(id, ids.Revision(cluster.jobs.Retired()+cluster.jobs.Len()+1), rec, time.Now())
		}
		for second := range 420 {
			if second == 30 {
				for id, f := range map[ids.Job]func(ids.Job){
					"job-90001": func(id ids.Job) { add(id, "blue", record.Normal, 700, 1, 60) },
					"job-90002": func(id ids.Job) { add(id, "blue", record.Low, 150, 4, 180) },
					"job-90003": func(id ids.Job) { add(id, "red", record.Low, 2, 4, 300) },
				} {
					f(id)
					large[id] = time.Now()
				}
			}
			// Half as much again as ten machines of four cores can do.
			for i := range 3 {
				add(ids.Job(fmt.Sprintf("job-%d", second*3+i)), "blue", record.Normal, 2, 1, 10)
			}
			cluster.Plan(time.Now())
			cluster.store()
			tick++
			cluster.serve(tick, runs, ended)
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

func TestOfThoseThatStarveTheLongestWaitingGoesFirst(t *testing.T) {
	t.Parallel()
	// Guards against small jobs within their teams' guarantees that take every machine
	// set aside, as they come, while the largest job waits for one machine for ever.
	now := time.Now()
	cluster := fleet(t, 4)
	large := newRecord("job-1", "blue", record.Low, 150, 4)
	large.Submitted = ids.TimestampOf(now.Add(-3 * time.Minute))
	cluster.HandleRecord("job-1", 1, large, now)
	for i := range 20 {
		small := newRecord(ids.Job(fmt.Sprintf("job-%d", 10+i)), "red", record.Normal, 1, 1)
		small.Submitted = ids.TimestampOf(now.Add(-2 * time.Minute))
		cluster.HandleRecord(small.Spec.ID, ids.Revision(10+i), small, now)
	}
	if first := cluster.scheduler.Ranked(now)[0].Record.Spec.ID; first != "job-1" {
		t.Errorf("%s goes first", first)
	}
}

func TestTheBeginningOfAJobThatStarvedIsKeptForAMoment(t *testing.T) {
	t.Parallel()
	// Guards against a task that is placed on the machine set aside for it and stopped in
	// the same pass for work within another team's guarantee.
	synctest.Test(t, func(t *testing.T) {
		cluster := fleet(t, 1)
		cluster.setTeams(config.Team{Name: "red", CPUs: 4}, config.Team{Name: "blue"})
		cluster.HandleRecord("job-1", 1, newRecord("job-1", "blue", record.Low, 1, 4), time.Now())
		cluster.jobs.Get("job-1").ReservationSoughtAt = time.Now() // machines were looked for to set aside
		cluster.Plan(time.Now())
		place := cluster.jobs.Get("job-1").Assignments[0]
		if place == nil {
			t.Fatal("it did not begin")
		}
		cluster.store()
		cluster.HandleRecord("job-2", 2, newRecord("job-2", "red", record.Normal, 1, 4), time.Now())
		cluster.Plan(time.Now())
		if place.Stopping {
			t.Error("it is stopped at once for a guarantee")
		}
		time.Sleep(workload.StartProtectionTime + time.Second)
		cluster.serve(2, time.Hour, map[workload.TaskAttempt]bool{})
		cluster.Plan(time.Now())
		if !place.Stopping && cluster.jobs.Get("job-1").Assignments[0] != nil {
			t.Error("the guarantee is kept waiting for longer")
		}
	})
}

func TestAJobStoppedRightAfterItsFirstStartDoesNotStarve(t *testing.T) {
	t.Parallel()
	// Guards against counting a start that was taken back at once as the beginning: such
	// a job waited for ever beside a stream of smaller work.
	synctest.Test(t, func(t *testing.T) {
		cluster := fleet(t, 10)
		tick, ended := ids.SequenceNumber(1), map[workload.TaskAttempt]bool{}
		cluster.HandleRecord("job-90001", 1, newRecord("job-90001", "blue", record.Low, 150, 4), time.Now())
		cluster.Plan(time.Now())
		large := cluster.jobs.Get("job-90001")
		cluster.store()
		tick++
		cluster.serve(tick, time.Minute, ended)
		for _, i := range workload.SortedTasks(large.Assignments) {
			cluster.stopAssignment(large.Assignments[i], 0, "for others")
		}
		tick++
		cluster.serve(tick, time.Minute, ended)
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
				cluster.HandleRecord(id, ids.Revision(second*100+i+2), newRecord(id, "blue", record.Normal, 2, 1), time.Now())
			}
			cluster.Plan(time.Now())
			cluster.store()
			tick++
			cluster.serve(tick, 10*time.Second, ended)
			time.Sleep(time.Second)
		}
		if took := time.Since(began); took > 4*time.Minute {
			t.Errorf("it ran again after %v", took)
		} else if took < 20*time.Second {
			t.Errorf("it ran again after %v: there was room beside the stream", took)
		}
	})
}

// serve lets a second pass on every machine: tasks placed run for a while, and
// end done.
func (c *State) serve(tick ids.SequenceNumber, runs time.Duration, ended map[workload.TaskAttempt]bool) {
	for name := range c.machines.Machines {
		var ps []worker.TaskStatus
		for assignment := range c.capacity.AssignmentsOn(name) {
			pc := worker.TaskStatus{Task: assignment.Task().String(), Attempt: assignment.Attempt, State: worker.StateRunning}
			if assignment.Stopping {
				pc.State, pc.Cause = worker.StateExited, worker.CauseStopped
			} else if time.Since(assignment.AssignedAt) >= runs {
				pc.State, pc.Cause = worker.StateExited, worker.CauseDone
				ended[assignment.Key()] = true
			}
			ps = append(ps, pc)
		}
		c.hear(name, c.machines.Machines[name].Zone, tick, ps...)
	}
	for _, job := range c.changes.All() {
		if job.Record.Status.IsTerminal() {
			job.StoredVersion = job.Version
			c.retireJob(job)
		}
	}
}

func TestInABurstAfterALossEveryTeamAndTheLargestBegin(t *testing.T) {
	t.Parallel()
	// A third of the machines is lost with all that ran there, and three times as
	// much comes in as fits: each class, team and largest job, a gang over half of
	// what is left too, begins within four minutes.
	synctest.Test(t, func(t *testing.T) {
		cluster := fleet(t, 30)
		var teams []config.Team
		for i := range 10 {
			teams = append(teams, config.Team{Name: fmt.Sprint("team-", i), CPUs: 4})
		}
		cluster.setTeams(teams...)
		n, begun := 0, map[string]time.Duration{}
		last := map[string]time.Time{} // when a class or team last submitted
		jobs := map[ids.Job]string{}
		add := func(what string, team int, shape record.Shape, p record.Priority, tasks int, cores float64) {
			n++
			rec := newRecord(ids.Job(fmt.Sprint("job-", n)), fmt.Sprint("team-", team), p, tasks, cores)
			rec.Spec.Shape, rec.Spec.Class, rec.Spec.Image = shape, what, "image-"+what
			if shape == record.Service {
				rec.Spec.EstimatedDuration = 0
			}
			cluster.HandleRecord(rec.Spec.ID, ids.Revision(n), rec, time.Now())
			jobs[rec.Spec.ID] = what
			for _, of := range []string{what, rec.Spec.Team} {
				begun[of], last[of] = 0, time.Now()
			}
		}
		ended := map[workload.TaskAttempt]bool{}
		pass := func(second int) {
			cluster.Plan(time.Now())
			cluster.store()
			cluster.serve(ids.SequenceNumber(second+2), 10*time.Second, ended)
			time.Sleep(time.Second)
		}
		for i := range 40 {
			add("array", i%10, record.Array, record.Normal, 6, 1)
		}
		for second := range 20 {
			pass(second)
		}
		for i := range 10 {
			cluster.MachineTerminated(ids.Machine(fmt.Sprintf("host-%06d", i)))
		}
		clear(begun)
		add("largest array", 0, record.Array, record.Low, 150, 4)
		add("largest gang", 1, record.Gang, record.High, 10, 4)
		for second := range 120 + 240 { // the last of each has its four minutes too
			if second < 120 {
				for i := range 10 {
					add("array", i, record.Array, record.Normal, 3, 1)
				}
				if second%10 == 0 {
					add("service", second/10%10, record.Service, record.Critical, 2, 1)
					add("low", second/10%10, record.Array, record.Low, 4, 2)
				}
			}
			pass(20 + second)
			for id, what := range jobs {
				if job := cluster.jobs.Get(id); job != nil && job.Record.Attempt > 0 && len(job.Assignments) > 0 {
					for _, of := range []string{what, job.Record.Spec.Team} {
						if begun[of] == 0 {
							begun[of] = time.Since(last[of])
						}
					}
				}
			}
		}
		for of, after := range begun {
			if after == 0 || after > 4*time.Minute {
				t.Errorf("%s: nothing begun (%v)", of, after)
			}
		}
		if len(begun) != 15 {
			t.Errorf("looked at %d classes and teams", len(begun))
		}
	})
}

func TestAGangOfTwoBeginsBesideAStreamOfGangsOfOne(t *testing.T) {
	t.Parallel()
	// Found on a day of the ops deployments: gangs that need two large machines of one
	// zone at once waited for up to six minutes, since each that became free was
	// taken by a gang of one, just as high.
	synctest.Test(t, func(t *testing.T) {
		cluster := fleet(t, 8) // four in each zone
		cluster.settings.Params.Teams[1].CPUs = 0
		gang := func(id ids.Job, tasks int) {
			rec := newRecord(id, "blue", record.High, tasks, 4)
			rec.Spec.Shape, rec.Spec.SingleZone, rec.Spec.EstimatedDuration = record.Gang, true, 100
			cluster.HandleRecord(id, 1, rec, time.Now())
		}
		began, submitted := time.Duration(0), time.Now()
		left := map[*workload.Assignment]time.Duration{}
		for sec := range 400 {
			if sec%9 == 0 { // more than fits, all the time
				gang(ids.Job(fmt.Sprintf("job-%d", 100+sec)), 1)
			}
			if sec == 60 {
				gang("job-2", 2)
				submitted = time.Now()
			}
			cluster.Plan(time.Now())
			cluster.store()
			cluster.play(ids.SequenceNumber(sec+2), func(assignment *workload.Assignment) string {
				if _, ok := left[assignment]; !ok {
					left[assignment] = time.Duration(70+assignment.Job.Record.Submitted.Time().Second()) * time.Second // 70 to 130 s
				}
				if left[assignment] -= time.Second; left[assignment] <= 0 {
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
