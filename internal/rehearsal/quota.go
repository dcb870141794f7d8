package rehearsal

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// QuotaOptions are what a rehearsal of the teams' limits may vary.
type QuotaOptions struct {
	Folder      string // for the record, the report, settings and logs
	Program     string // the controllers' program
	Seed        uint64
	Controllers int
	Machines    int
	Shards      int           // of the machine pool, each with a leader
	Jobs        int           // submitted at the same moment, twice
	Within      time.Duration // how soon a guarantee has to be reached
	Longest     time.Duration // the run ends by then, whatever happens
}

// Findings are what a rehearsal came to.
type Findings struct {
	Seed     uint64
	Teams    []Team
	Took     time.Duration
	Samples  map[string][]Sample
	Breaches []Breach
	// GuaranteeWaits are how long the guaranteed team's jobs waited for their first start.
	GuaranteeWaits []time.Duration
	Within         time.Duration
	// Doubled are tasks that ran on two machines at a time.
	Doubled []string
	// Unserved are accepted jobs of which no task has started.
	Unserved []string
	// Jobs, Accepted, Refusals, Starts and Transfers count submissions, acceptances, refusals,
	// starts and changes of ledgers.
	Jobs, Accepted, Refusals, Starts, Transfers int
	Changes                                     uint64 // of the state service
	Midway                                      string // why the run ended before its time; empty: it did not
	Events                                      []Event
}

// Failed tells whether anything went wrong that must not.
func (f *Findings) Failed() bool {
	return len(f.Breaches) > 0 || len(f.Doubled) > 0 || len(f.Unserved) > 0 || f.Midway != "" || f.slowestGuarantee() > f.Within || f.Starts == 0
}

// Print tells the outcome in a few lines.
func (f *Findings) Print(out io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%d jobs, %d accepted, %d refusals, %d starts, %d changes of the state service in %v\n",
		f.Jobs, f.Accepted, f.Refusals, f.Starts, f.Changes, f.Took.Round(time.Second))
	fmt.Fprintf(&text, "breaches of a limit: %d; tasks doubled: %d; accepted jobs never started: %d; waits within the guarantee: %v\n",
		len(f.Breaches), len(f.Doubled), len(f.Unserved), f.GuaranteeWaits)
	fmt.Fprintf(&text, "transfers of allowance: %d\n", f.Transfers)
	for _, breach := range f.Breaches {
		fmt.Fprintln(&text, breach)
	}
	if f.Midway != "" {
		fmt.Fprintln(&text, "ended before its time:", f.Midway)
	}
	_, err := io.WriteString(out, text.String())
	return err
}

func (f *Findings) slowestGuarantee() time.Duration {
	if len(f.GuaranteeWaits) == 0 {
		return 0
	}
	return f.GuaranteeWaits[len(f.GuaranteeWaits)-1]
}

// quotaTeams are teams whose limits add up to more than the machines have, so that two of
// them borrow what the third is guaranteed.
func quotaTeams() []Team {
	return []Team{
		{Name: "settlement", Guarantee: 4, Limit: 14, GuaranteeAccelerators: 1, LimitAccelerators: 3},
		{Name: "audit", Limit: 14, LimitAccelerators: 3},
		{Name: "validation", Guarantee: 6, Limit: 8, GuaranteeAccelerators: 2, LimitAccelerators: 4},
	}
}

// quotaAccelerators are those of each machine.
const quotaAccelerators = 2

// guaranteedTeam is the one whose jobs are timed.
const guaranteedTeam = "validation"

// RunQuota rehearses the teams' limits: controllers are flooded with submissions of several
// teams while they are paused, killed and refused by the state service. It always leaves a
// record and a report, also of a run that fails midway.
func RunQuota(options QuotaOptions) (*Findings, error) {
	teams := quotaTeams()
	features := ""
	if options.Shards > 1 { // earlier versions do not know features
		features = fmt.Sprintf("shards: %d\n", options.Shards)
	}
	cluster, err := NewCluster(ClusterOptions{Folder: options.Folder, Program: options.Program, Teams: teams, Controllers: options.Controllers,
		Machines: options.Machines, Accelerators: quotaAccelerators, Features: features})
	if err != nil {
		return nil, err
	}
	began := time.Now()
	submitted, midway := playQuota(cluster, options)
	findings := &Findings{Seed: options.Seed, Teams: teams, Took: time.Since(began), Within: options.Within, Events: cluster.Events(),
		Jobs: submitted, Changes: cluster.Store.Epoch()}
	if midway != nil {
		findings.Midway = midway.Error()
	}
	closed := cluster.Close()
	findings.count()
	return findings, errors.Join(closed, findings.leave(options.Folder))
}

// leave writes the record and the report.
func (f *Findings) leave(folder string) error {
	record := WriteRecord(filepath.Join(folder, "record.jsonl.zst"), f.Events)
	page, err := f.Report()
	if err != nil {
		return errors.Join(record, err)
	}
	return errors.Join(record, os.WriteFile(filepath.Join(folder, "report.html"), page, 0o600))
}

// count works out from the record what there is to find.
func (f *Findings) count() {
	f.Samples, f.Breaches = Usage(f.Events, f.Teams)
	f.Doubled = Doubled(f.Events)
	for _, event := range f.Events {
		switch event.Kind {
		case Accepted:
			f.Accepted++
		case Refused:
			f.Refusals++
		case TaskStarted:
			f.Starts++
		case Transferred:
			f.Transfers++
		}
	}
	f.GuaranteeWaits, _ = Waits(f.Events, isProbe)
	if f.Midway == "" {
		_, f.Unserved = Waits(f.Events, func(string) bool { return true })
	}
}

// playQuota carries the script out.
func playQuota(cluster *Cluster, options QuotaOptions) (submitted int, err error) {
	deadline := time.Now().Add(options.Longest)
	cluster.deadline = deadline
	for _, controller := range cluster.Controllers() {
		if err := cluster.Start(controller); err != nil {
			return 0, err
		}
	}
	if err := cluster.awaitServing(deadline); err != nil {
		return 0, err
	}
	rng := rand.New(rand.NewPCG(options.Seed, 1))
	stop := make(chan struct{})
	var disturbances sync.WaitGroup
	disturbances.Go(func() { cluster.disturb(rand.New(rand.NewPCG(options.Seed, 2)), stop) })
	var users sync.WaitGroup
	for wave := range 2 {
		jobs := quotaJobs(rng, wave, options.Jobs)
		submitted += len(jobs)
		users.Go(func() { cluster.Flood(jobs, options.Seed) })
		for probe := range 3 {
			time.Sleep(6 * time.Second)
			job := probeJob(wave, probe)
			submitted++
			users.Go(func() { cluster.Submit(job, rand.New(rand.NewPCG(options.Seed, uint64(probe)))) })
		}
	}
	users.Wait()
	close(stop)
	disturbances.Wait()
	return submitted, cluster.awaitEnd(deadline)
}

// quotaJobs is one wave of the two teams that borrow.
func quotaJobs(rng *rand.Rand, wave, count int) (jobs []Job) {
	for i := range count {
		job := Job{ID: fmt.Sprintf("job-%d%06d", wave+1, i), Team: []string{"settlement", "audit"}[i%2], Shape: "array",
			Priority: []string{"low", "normal"}[rng.IntN(2)], Tasks: 1, Cores: float64(1 + rng.IntN(2)),
			Runs: time.Duration(300+rng.IntN(1200)) * time.Millisecond}
		switch rng.IntN(20) {
		case 0:
			job.Shape, job.Tasks = "gang", 2
		case 1:
			job.Accelerators = 1
		case 2:
			job.Tasks = 4
		}
		jobs = append(jobs, job)
	}
	return jobs
}

// probePrefix begins the ids of the jobs whose wait is timed.
const probePrefix = "job-9"

func isProbe(job string) bool { return strings.HasPrefix(job, probePrefix) }

// probeJob is one job of the guaranteed team; three at a time lie within its guarantee.
func probeJob(wave, probe int) Job {
	return Job{ID: fmt.Sprintf("%s%d%05d", probePrefix, wave, probe), Team: guaranteedTeam, Shape: "array", Priority: "normal", Tasks: 2, Cores: 1,
		Runs: 3 * time.Second}
}

// disturb pauses and kills controllers and has the state service refuse or fail, until it is
// stopped; then everything runs again.
func (c *Cluster) disturb(rng *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(2000+rng.IntN(3000)) * time.Millisecond):
		}
		controller := c.controllers[rng.IntN(len(c.controllers))]
		rest := time.Duration(1500+rng.IntN(4000)) * time.Millisecond
		switch rng.IntN(5) {
		case 4:
			rest += workerLease // what the leader was about to start is long gone by then
			fallthrough
		case 0, 1:
			c.note(Event{Kind: Disturbed, Where: controller.Name, Why: "paused"})
			controller.Pause()
			time.Sleep(rest)
			controller.Resume()
			c.note(Event{Kind: Disturbed, Where: controller.Name, Why: "goes on"})
		case 2:
			c.note(Event{Kind: Disturbed, Where: controller.Name, Why: "killed"})
			controller.Kill()
			time.Sleep(rest / 4)
			c.startAgain(controller)
		case 3:
			c.note(Event{Kind: Disturbed, Where: "state service", Why: "down"})
			c.Store.SetDown(true)
			time.Sleep(rest / 2)
			c.Store.SetDown(false)
			c.note(Event{Kind: Disturbed, Where: "state service", Why: "serves again"})
		}
	}
}

// startAgain starts a controller that was killed.
func (c *Cluster) startAgain(controller *Controller) {
	why := "started again"
	if err := c.Start(controller); err != nil {
		why = "not started again: " + err.Error()
	}
	c.note(Event{Kind: Disturbed, Where: controller.Name, Why: why})
}

// errTimeUp tells that a run took longer than it may.
var errTimeUp = errors.New("the time of the run was up")

// awaitServing waits until every controller is ready.
func (c *Cluster) awaitServing(deadline time.Time) error {
	for _, controller := range c.controllers {
		for {
			res, err := c.http.Get("http://" + controller.users + "/up")
			if err == nil {
				res.Body.Close() // nothing was read
				if res.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s is not ready", errTimeUp, controller.Name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// awaitEnd waits until every accepted job has started and nothing runs any more.
func (c *Cluster) awaitEnd(deadline time.Time) error {
	for ; time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		events := c.Events()
		running := 0
		for _, event := range events {
			switch event.Kind {
			case TaskStarted:
				running++
			case TaskEnded:
				running--
			}
		}
		if _, unstarted := Waits(events, func(string) bool { return true }); len(unstarted) == 0 && running == 0 {
			return nil
		}
	}
	return fmt.Errorf("%w: not all accepted jobs have run", errTimeUp)
}
