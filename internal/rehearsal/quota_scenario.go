package rehearsal

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// The load: waves of jobs of the borrowing teams, and during each some of the guaranteed team.
const (
	waves         = 2
	probesPerWave = 3
	probeInterval = 6 * time.Second
	probeDuration = 3 * time.Second
)

// Streams of the random numbers that a seed gives.
const (
	loadStream  = 1
	faultStream = 2
)

// runQuotaScenario floods the controllers twice while faults are injected, waits until all accepted
// jobs have run, and returns how many jobs were submitted.
func runQuotaScenario(cluster *localCluster, options QuotaOptions) (submitted int, err error) {
	deadline := time.Now().Add(options.Longest)
	cluster.deadline = deadline
	if err := cluster.startAll(deadline); err != nil {
		return 0, err
	}
	rng := rand.New(rand.NewPCG(options.Seed, loadStream))
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() { cluster.injectFaults(rand.New(rand.NewPCG(options.Seed, faultStream)), stop) })
	var users sync.WaitGroup
	for wave := range waves {
		jobs := borrowingJobs(rng, wave, options.Jobs)
		submitted += len(jobs)
		users.Go(func() { cluster.submitAll(jobs, options.Seed) })
		for probe := range probesPerWave {
			time.Sleep(probeInterval)
			job := guaranteeProbe(wave, probe)
			submitted++
			users.Go(func() { cluster.submit(job, rand.New(rand.NewPCG(options.Seed, uint64(probe)))) })
		}
	}
	users.Wait()
	close(stop)
	faults.Wait()
	return submitted, cluster.awaitEnd(deadline)
}

// borrowingJobs is one wave of the two teams that borrow.
func borrowingJobs(rng *rand.Rand, wave, count int) (jobs []submission) {
	for i := range count {
		job := submission{ID: fmt.Sprintf("job-%d%06d", wave+1, i), Team: borrowingTeams[i%len(borrowingTeams)], Shape: shapeArray,
			Priority: []string{priorityLow, priorityNormal}[rng.IntN(2)], Tasks: 1, Cores: float64(1 + rng.IntN(2)),
			TaskDuration: time.Duration(300+rng.IntN(1200)) * time.Millisecond}
		switch rng.IntN(20) {
		case 0:
			job.Shape, job.Tasks = shapeGang, 2
		case 1:
			job.Accelerators = 1
		case 2:
			job.Tasks = 4
		}
		jobs = append(jobs, job)
	}
	return jobs
}

// guaranteeProbePrefix begins the ids of the jobs whose wait is timed.
const guaranteeProbePrefix = "job-9"

// isGuaranteeProbe tells whether a job's wait is timed.
func isGuaranteeProbe(job string) bool { return strings.HasPrefix(job, guaranteeProbePrefix) }

// guaranteeProbe is one job of the guaranteed team; three at a time lie within its guarantee.
func guaranteeProbe(wave, probe int) submission {
	return submission{ID: fmt.Sprintf("%s%d%05d", guaranteeProbePrefix, wave, probe), Team: guaranteedTeam, Shape: shapeArray, Priority: priorityNormal,
		Tasks: 2, Cores: 1, TaskDuration: probeDuration}
}

// endPollInterval spaces the looks at whether all jobs have run.
const endPollInterval = 500 * time.Millisecond

// awaitEnd waits until every accepted job has started and nothing runs any more.
func (c *localCluster) awaitEnd(deadline time.Time) error {
	for ; time.Now().Before(deadline); time.Sleep(endPollInterval) {
		events := c.recorded()
		if _, unstarted := startWaits(events, anyJob); len(unstarted) == 0 && runningTasks(events, anyJob) == 0 {
			return nil
		}
	}
	return fmt.Errorf("%w: not all accepted jobs have run", errDeadlineExceeded)
}
