package rehearsal

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

// DrainOptions are what a rehearsal of a drain may vary.
type DrainOptions struct {
	Folder      string // for the record, the report, settings and logs
	Program     string // the controllers' program
	Seed        uint64
	Controllers int
	Machines    int           // stand-ins, all of which are replaced
	Jobs        int           // low jobs beside the services
	Longest     time.Duration // the run ends by then, whatever happens
}

// drainTeam is a team of the rehearsal: a service and its budget.
type drainTeam struct {
	Team
	Replicas int
	Budget   int // replicas that may be down at a time
	// Interrupted is how many other tasks may be interrupted at a time.
	Interrupted int
}

// drainTeams are three teams with a service each; the last one has low jobs too.
// Together they fit on the machines, so that none is rented but in place of another.
func drainTeams(machines int) []drainTeam {
	cores := float64(machines)
	return []drainTeam{
		{Team: Team{Name: "kiosk", Limit: 2 * cores}, Replicas: machines, Budget: 4, Interrupted: 1},
		{Team: Team{Name: "rates", Limit: cores}, Replicas: machines / 2, Budget: 2, Interrupted: 1},
		{Team: Team{Name: "audit", Limit: 2 * cores}, Replicas: machines / 5, Budget: 1, Interrupted: 20},
	}
}

// The rehearsed rollout.
const (
	drainName     rollout.Name = "spring"
	wavesAimed                 = 5
	drainReadyS                = 2.0
	drainDeadline              = 40 * time.Second
	drainObserve               = 5 * time.Second
	// cloudShare is how many times the machines the cloud has: a new leader, which has not heard
	// all machines yet, rents some more, and none is returned for being idle here.
	cloudShare = 4
	// lowRuns is how long a task of a low job takes at least, and again as long at most.
	lowRuns = 8 * time.Second
)

// features is the file of features with the teams' budgets.
func drainFeatures(teams []drainTeam) string {
	var text strings.Builder
	fmt.Fprintf(&text, "drains {\n  ready_s: %g\n", drainReadyS)
	for _, team := range teams {
		fmt.Fprintf(&text, "  teams { team: %q budget { replicas_down: %d tasks_interrupted: %d } }\n", team.Name, team.Budget, team.Interrupted)
	}
	text.WriteString("}\n")
	return text.String()
}

// keepIdle has machines stay that nothing needs: all of them are to be replaced, not returned.
const keepIdle = "idle_return_s: 3600\n"

// RunDrain rehearses the replacement of all machines: services and low jobs run while machines
// are replaced in waves and controllers, machines and replacements fail. It always leaves a record
// and a report, also of a run that fails midway.
func RunDrain(options DrainOptions) (*DrainFindings, error) {
	teams := drainTeams(options.Machines)
	run := &drainRun{options: options, teams: teams, evictions: map[string]string{}}
	var plain []Team
	for _, team := range teams {
		plain = append(plain, team.Team)
	}
	cluster, err := NewCluster(ClusterOptions{Folder: options.Folder, Program: options.Program, Teams: plain, Controllers: options.Controllers,
		Machines: cloudShare * options.Machines, Features: drainFeatures(teams), Operators: keepIdle, OnStored: run.noteStored})
	if err != nil {
		return nil, err
	}
	run.cluster = cluster
	began := time.Now()
	midway := run.play()
	findings := &DrainFindings{Seed: options.Seed, Teams: teams, Took: time.Since(began), Events: cluster.Events(), Changes: cluster.Store.Epoch(),
		Asked: run.counts(), Left: run.cordoned()}
	if midway != nil {
		findings.Midway = midway.Error()
	}
	closed := cluster.Close()
	findings.count()
	return findings, errors.Join(closed, findings.leave(options.Folder))
}

// drainRun is one rehearsal under way.
type drainRun struct {
	options DrainOptions
	teams   []drainTeam
	cluster *Cluster

	mu sync.Mutex
	// last is the rollout as it was last stored.
	last rollout.Record
	// evictions are the reasons of the evictions stored last, by task.
	evictions map[string]string
}

// noteStored records what the rollout became, and why tasks are evicted.
func (r *drainRun) noteStored(key string, value json.RawMessage) {
	if value == nil {
		return
	}
	if job, isJob := strings.CutPrefix(key, record.JobPrefix); isJob {
		if stored, err := record.Decode(value); err == nil {
			r.noteEvictions(job, stored)
		}
		return
	}
	var stored rollout.Record
	if !strings.HasPrefix(key, rollout.Prefix+"run/") || json.Unmarshal(value, &stored) != nil {
		return
	}
	r.mu.Lock()
	r.last = stored
	r.mu.Unlock()
	r.cluster.note(Event{Kind: RolloutStored, Where: string(stored.Spec.Name), Why: stored.Summary(), Machines: machinesByState(&stored)})
}

// noteEvictions remembers by which rollout and wave a job's tasks are moved.
func (r *drainRun) noteEvictions(job string, stored *record.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range stored.Evictions {
		e := &stored.Evictions[i]
		e.Tasks.Each(func(task int) {
			name := fmt.Sprintf("%s/%d", job, task)
			why := fmt.Sprintf("rollout %s, wave %d", e.Rollout, e.Wave)
			if r.evictions[name] != why {
				r.evictions[name] = why
				r.cluster.note(Event{Kind: Evicted, Job: job, Task: name, Why: why})
			}
		})
	}
}

// machinesByState counts a rollout's machines by their state.
func machinesByState(r *rollout.Record) map[string]int {
	counts := map[string]int{"through": r.Done}
	inWave := 0
	if r.Wave != nil {
		for state, set := range r.Wave.Machines {
			counts[string(state)] = set.Len()
			inWave += set.Len()
		}
	}
	counts[string(rollout.Waiting)] = r.Total - r.Done - inWave
	return counts
}

// stored is the rollout as it was last stored.
func (r *drainRun) stored() rollout.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}

// play carries the script out.
func (r *drainRun) play() error {
	c := r.cluster
	deadline := time.Now().Add(r.options.Longest)
	c.deadline = deadline
	c.cloud.rent("north", r.options.Machines/2)
	c.cloud.rent("south", r.options.Machines-r.options.Machines/2)
	for _, controller := range c.Controllers() {
		if err := c.Start(controller); err != nil {
			return err
		}
	}
	if err := c.awaitServing(deadline); err != nil {
		return err
	}
	if err := r.awaitMachines(deadline); err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(r.options.Seed, 1))
	for i, team := range r.teams {
		c.Submit(Job{ID: fmt.Sprintf("job-%06d", i+1), Team: team.Name, Shape: "standing", Priority: "normal", Tasks: team.Replicas, Cores: 2}, rng)
	}
	if err := r.awaitReplicas(deadline); err != nil {
		return err
	}
	var users sync.WaitGroup
	users.Go(func() { c.Flood(lowJobs(rng, r.options.Jobs, r.teams[len(r.teams)-1].Name), r.options.Seed) })
	if err := r.start(deadline); err != nil {
		return err
	}
	var operator sync.WaitGroup
	stop := make(chan struct{})
	operator.Go(func() { r.resumeHalted(deadline, stop) })
	defer operator.Wait()
	defer close(stop)
	if err := r.disturb(rand.New(rand.NewPCG(r.options.Seed, 2)), deadline); err != nil {
		return err
	}
	if err := r.await(deadline, "the rollout has ended", func(stored rollout.Record) bool { return stored.State == rollout.Ended }); err != nil {
		return err
	}
	users.Wait()
	if err := r.awaitReplicas(deadline); err != nil {
		return err
	}
	return r.awaitJobs(deadline)
}

// lowJobs are jobs of several short tasks that may be interrupted.
func lowJobs(rng *rand.Rand, count int, team string) (jobs []Job) {
	for i := range count {
		jobs = append(jobs, Job{ID: fmt.Sprintf("job-1%06d", i), Team: team, Shape: "array", Priority: "low", Tasks: 1 + rng.IntN(3), Cores: 1,
			Runs: lowRuns + time.Duration(rng.Int64N(int64(lowRuns)))})
	}
	return jobs
}

// start asks a controller to replace all machines.
func (r *drainRun) start(deadline time.Time) error {
	spec := rollout.Spec{Name: drainName, Select: rollout.Selection{Older: true}, Replace: true, Surge: true,
		WaveSize: max(1, r.options.Machines/wavesAimed), Deadline: seconds(drainDeadline), AtDeadline: rollout.Stop, Observe: seconds(drainObserve)}
	return r.command(deadline, rollout.Path, &spec)
}

// command calls one controller after the other until one carries a command out.
func (r *drainRun) command(deadline time.Time, path string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	var last error
	for at := 0; time.Now().Before(deadline); at++ {
		controller := r.cluster.controllers[at%len(r.cluster.controllers)]
		last = r.call(controller, path, raw)
		if last == nil {
			r.cluster.note(Event{Kind: Commanded, Where: controller.Name, Why: path})
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("%w: %s: %v", errTimeUp, path, last)
}

// call has one controller carry out a command.
func (r *drainRun) call(controller *Controller, path string, body []byte) error {
	res, err := r.cluster.http.Post("http://"+controller.users+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	answer, _ := io.ReadAll(res.Body) // only told
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answers %d %s", controller.Name, res.StatusCode, answer)
	}
	return nil
}

// pollEvery spaces the looks at what a run waits for.
const pollEvery = 200 * time.Millisecond

// until waits for a condition, at most until the run's deadline.
func until(deadline time.Time, what string, reached func() bool) error {
	for !reached() {
		if time.Now().After(deadline) {
			return fmt.Errorf("%w before %s", errTimeUp, what)
		}
		time.Sleep(pollEvery)
	}
	return nil
}

// await waits for the rollout to come to something.
func (r *drainRun) await(deadline time.Time, what string, reached func(rollout.Record) bool) error {
	return until(deadline, what, func() bool { return reached(r.stored()) })
}

// awaitMachines waits until the leader has heard of all machines: what is submitted before has
// others rented.
func (r *drainRun) awaitMachines(deadline time.Time) error {
	return until(deadline, "all machines were heard", func() bool {
		for _, controller := range r.cluster.controllers {
			var status struct {
				Pool *struct {
					Heard int `json:"heard"`
				} `json:"pool"`
			}
			if r.status(controller, &status) == nil && status.Pool != nil && status.Pool.Heard >= r.options.Machines {
				return true
			}
		}
		return false
	})
}

// awaitReplicas waits until every replica runs, and for as long as it takes to count as ready.
func (r *drainRun) awaitReplicas(deadline time.Time) error {
	wanted := 0
	for _, team := range r.teams {
		wanted += team.Replicas
	}
	err := until(deadline, fmt.Sprintf("all %d replicas ran", wanted), func() bool { return replicasUp(r.cluster.Events()) == wanted })
	if err == nil {
		time.Sleep(time.Duration(drainReadyS * float64(time.Second)))
	}
	return err
}

// awaitJobs waits until every task of the low jobs that were accepted is done.
func (r *drainRun) awaitJobs(deadline time.Time) error {
	return until(deadline, "all low jobs were done", func() bool {
		accounted := jobFates(r.cluster.Events())
		return accounted.unfinished() == 0
	})
}
