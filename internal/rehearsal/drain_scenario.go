package rehearsal

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

// replicaCores is the number of cores that each service replica uses.
const replicaCores = 2

// runScenario starts the machines, the controllers and the services, then replaces all machines
// while faults are injected and low-priority jobs run. It returns when the rollout has ended, all
// replicas run again and all low-priority jobs are done, or when the run's deadline has passed.
func (r *drainRun) runScenario() error {
	c := r.cluster
	deadline := time.Now().Add(r.options.MaxDuration)
	c.deadline = deadline
	c.cloud.provision("north", r.options.Machines/2)
	c.cloud.provision("south", r.options.Machines-r.options.Machines/2)
	if err := c.startAll(deadline); err != nil {
		return err
	}
	if err := r.awaitMachines(deadline); err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(r.options.Seed, loadStream))
	r.submitServices(rng)
	if err := r.awaitReplicas(deadline); err != nil {
		return err
	}
	var users sync.WaitGroup
	users.Go(func() {
		c.submitAll(lowPriorityJobs(rng, r.options.Jobs, r.teams[len(r.teams)-1].Name), r.options.Seed)
	})
	if err := r.startRollout(deadline); err != nil {
		return err
	}
	var operator sync.WaitGroup
	stop := make(chan struct{})
	operator.Go(func() { r.resumeHaltedRollout(deadline, stop) })
	defer operator.Wait()
	defer close(stop)
	if err := r.injectFaults(rand.New(rand.NewPCG(r.options.Seed, faultStream)), deadline); err != nil {
		return err
	}
	if err := r.awaitRollout(deadline, "the rollout has ended", func(stored rollout.Record) bool { return stored.State == rollout.Ended }); err != nil {
		return err
	}
	users.Wait()
	if err := r.awaitReplicas(deadline); err != nil {
		return err
	}
	return r.awaitLowPriorityJobs(deadline)
}

func (r *drainRun) submitServices(rng *rand.Rand) {
	for i, team := range r.teams {
		r.cluster.submit(submission{ID: fmt.Sprintf("job-%06d", i+1), Team: team.Name, Shape: shapeService, Priority: priorityNormal,
			Tasks: team.Replicas, Cores: replicaCores}, rng)
	}
}

// lowPriorityJobs returns low-priority jobs of one to three short tasks, which rollouts may interrupt.
func lowPriorityJobs(rng *rand.Rand, count int, team string) (jobs []submission) {
	for i := range count {
		jobs = append(jobs, submission{ID: fmt.Sprintf("job-1%06d", i), Team: team, Shape: shapeArray, Priority: priorityLow,
			Tasks: 1 + rng.IntN(3), Cores: 1, TaskDuration: minLowPriorityTaskDuration + time.Duration(rng.Int64N(int64(minLowPriorityTaskDuration)))})
	}
	return jobs
}

// startRollout asks a controller to replace all machines.
func (r *drainRun) startRollout(deadline time.Time) error {
	spec := rollout.Spec{Name: rolloutName, Select: rollout.Selection{Older: true}, Replace: true, Surge: true,
		WaveSize: max(1, r.options.Machines/targetWaves), Deadline: asSeconds(rolloutDeadline), DeadlineAction: rollout.StopAtDeadline, Observe: asSeconds(rolloutObservation)}
	return r.sendCommand(deadline, rollout.Path, &spec)
}

// awaitRollout waits until the stored rollout record satisfies a condition.
func (r *drainRun) awaitRollout(deadline time.Time, condition string, reached func(rollout.Record) bool) error {
	return waitUntil(deadline, condition, func() bool { return reached(r.storedRollout()) })
}

// awaitMachines waits until the leader has received a heartbeat from every machine: for jobs
// submitted earlier than that, it would provision additional machines.
func (r *drainRun) awaitMachines(deadline time.Time) error {
	return waitUntil(deadline, "all machines were heard", func() bool {
		for _, controller := range r.cluster.controllers {
			var status reportingStatus
			if r.fetchStatus(controller, &status) == nil && status.Pool != nil && status.Pool.Reporting >= r.options.Machines {
				return true
			}
		}
		return false
	})
}

// awaitReplicas waits until every replica runs, and then for the time after which a replica counts as up.
func (r *drainRun) awaitReplicas(deadline time.Time) error {
	wanted := 0
	for _, team := range r.teams {
		wanted += team.Replicas
	}
	err := waitUntil(deadline, fmt.Sprintf("all %d replicas ran", wanted), func() bool { return countRunningTasks(r.cluster.recordedEvents(), isService) == wanted })
	if err == nil {
		time.Sleep(readyTime)
	}
	return err
}

// awaitLowPriorityJobs waits until every accepted low-priority job is done.
func (r *drainRun) awaitLowPriorityJobs(deadline time.Time) error {
	return waitUntil(deadline, "all low jobs were done", func() bool {
		return countJobs(r.cluster.recordedEvents()).unfinished() == 0
	})
}
