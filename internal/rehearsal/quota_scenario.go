package rehearsal

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Size of the load: the borrowing teams submit waves of jobs, and during each wave the guaranteed team
// submits a few probe jobs.
const (
	loadWaves     = 2
	probesPerWave = 3
	probeInterval = 6 * time.Second
	probeDuration = 3 * time.Second
)

// Stream numbers of the random generators that share the run's seed.
const (
	loadStream  = 1
	faultStream = 2
)

// runQuotaScenario submits the waves of jobs while faults are injected, waits until all accepted
// jobs have run, and returns the number of submitted jobs.
func runQuotaScenario(cluster *localCluster, options QuotaOptions) (submitted int, err error) {
	deadline := time.Now().Add(options.MaxDuration)
	cluster.deadline = deadline
	if err := cluster.startAll(deadline); err != nil {
		return 0, err
	}
	rng := rand.New(rand.NewPCG(options.Seed, loadStream))
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() { cluster.injectFaults(rand.New(rand.NewPCG(options.Seed, faultStream)), stop) })
	var users sync.WaitGroup
	for wave := range loadWaves {
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
	return submitted, cluster.awaitAllJobs(deadline)
}

// borrowingJobs returns one wave of jobs of the two borrowing teams.
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

// guaranteeProbePrefix is the prefix of the IDs of probe jobs, whose waits are measured.
const guaranteeProbePrefix = "job-9"

// isGuaranteeProbe reports whether a job is a probe of the guaranteed team.
func isGuaranteeProbe(job string) bool { return strings.HasPrefix(job, guaranteeProbePrefix) }

// guaranteeProbe returns one probe job of the guaranteed team, whose guarantee covers three at a time.
func guaranteeProbe(wave, probe int) submission {
	return submission{ID: fmt.Sprintf("%s%d%05d", guaranteeProbePrefix, wave, probe), Team: guaranteedTeam, Shape: shapeArray, Priority: priorityNormal,
		Tasks: 2, Cores: 1, TaskDuration: probeDuration}
}

// jobsPollInterval is the interval at which awaitAllJobs checks whether all jobs have run.
const jobsPollInterval = 500 * time.Millisecond

// awaitAllJobs waits until every accepted job has started and no task is running.
func (c *localCluster) awaitAllJobs(deadline time.Time) error {
	for ; time.Now().Before(deadline); time.Sleep(jobsPollInterval) {
		events := c.recordedEvents()
		if _, unstarted := startWaits(events, anyJob); len(unstarted) == 0 && countRunningTasks(events, anyJob) == 0 {
			return nil
		}
	}
	return fmt.Errorf("%w: not all accepted jobs have started and ended", errDeadlineExceeded)
}
