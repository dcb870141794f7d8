package rehearsal

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

// DrainOptions configures a drain rehearsal.
type DrainOptions struct {
	Folder      string // receives the record, the report, settings and logs
	Program     string // path of the controller executable
	Seed        uint64
	Controllers int
	Machines    int           // number of machines, all of which the rollout replaces
	Jobs        int           // number of low-priority jobs that run beside the services
	MaxDuration time.Duration // maximum duration; the run is aborted after it
	LateCopies  float64       // share of the direct commands to machines of which a copy arrives later
}

// drainTeam is a team with one service and a disruption budget.
type drainTeam struct {
	Team
	Replicas int
	// ReplicasDown is the maximum number of replicas that may be down at the same time, and
	// TasksInterrupted the maximum number of other tasks that may be interrupted at the same time.
	ReplicasDown, TasksInterrupted int
}

// drainTeams returns three teams with one service each; the last team also runs low-priority jobs.
// The sum of their limits fits on the given number of machines, so that machines are provisioned
// only as replacements.
func drainTeams(machines int) []drainTeam {
	cores := float64(machines)
	return []drainTeam{
		{Team: Team{Name: "kiosk", Limit: 2 * cores}, Replicas: machines, ReplicasDown: 4, TasksInterrupted: 1},
		{Team: Team{Name: "rates", Limit: cores}, Replicas: machines / 2, ReplicasDown: 2, TasksInterrupted: 1},
		{Team: Team{Name: "audit", Limit: 2 * cores}, Replicas: machines / 5, ReplicasDown: 1, TasksInterrupted: 20},
	}
}

const rolloutName rollout.Name = "spring"

// Parameters of the rollout, its load and the fake cloud.
const (
	targetWaves        = 5
	rolloutDeadline    = 40 * time.Second
	rolloutObservation = 5 * time.Second
	// readyTime is how long a replica has to run before it counts as up.
	readyTime = 2 * time.Second
	// cloudCapacityFactor is the capacity of the cloud as a multiple of the machines in use: a new
	// leader that has not yet received a heartbeat from every machine provisions more machines, and
	// idle machines are not returned during this rehearsal.
	cloudCapacityFactor = 4
	// minLowPriorityTaskDuration is the minimum duration of a task of a low-priority job; the maximum is
	// twice that.
	minLowPriorityTaskDuration = 8 * time.Second
)

// drainFeatures returns the content of the features file, which sets the teams' disruption budgets.
func drainFeatures(teams []drainTeam) string {
	var text strings.Builder
	fmt.Fprintf(&text, "drains {\n  ready_s: %g\n", readyTime.Seconds())
	for _, team := range teams {
		fmt.Fprintf(&text, "  teams { team: %q budget { replicas_down: %d tasks_interrupted: %d } }\n", team.Name, team.ReplicasDown, team.TasksInterrupted)
	}
	text.WriteString("}\n")
	return text.String()
}

// keepIdleMachinesSettings is the content of the operators' settings file. It prevents the return of
// idle machines, because the rollout has to replace every machine.
const keepIdleMachinesSettings = "idle_return_s: 3600\n"

// RunDrain runs a rollout that replaces all machines in waves while services and low-priority jobs
// run and controllers, machines and replacements fail. It writes a record and a report even if the
// run fails midway.
func RunDrain(options DrainOptions) (*DrainFindings, error) {
	teams := drainTeams(options.Machines)
	run := &drainRun{options: options, teams: teams, evictions: map[string]string{}}
	quotas := make([]Team, 0, len(teams))
	for _, team := range teams {
		quotas = append(quotas, team.Team)
	}
	cluster, err := newLocalCluster(clusterOptions{
		Folder: options.Folder, Program: options.Program, Teams: quotas, Controllers: options.Controllers,
		Machines: cloudCapacityFactor * options.Machines, Features: drainFeatures(teams), Operators: keepIdleMachinesSettings,
		OnChange: run.observeChange, LateCopies: options.LateCopies, Seed: options.Seed,
	})
	if err != nil {
		return nil, err
	}
	run.cluster = cluster
	started := time.Now()
	scenarioErr := run.runScenario()
	findings := &DrainFindings{Seed: options.Seed, Teams: teams, Duration: time.Since(started), Events: cluster.recordedEvents(), Changes: cluster.store.Epoch(),
		PermitCounts: run.permitCounts(), CordonedMachines: run.cordonedMachines()}
	if scenarioErr != nil {
		findings.IncompleteReason = scenarioErr.Error()
	}
	closeErr := cluster.close()
	findings.analyze()
	return findings, errors.Join(closeErr, findings.writeFiles(options.Folder))
}

// drainRun is a drain rehearsal in progress.
type drainRun struct {
	options DrainOptions
	teams   []drainTeam
	cluster *localCluster

	// mu guards the fields below. It is acquired while the fake store's lock is held, and the
	// cluster's lock is acquired while mu is held.
	mu sync.Mutex
	// rollout is the rollout record that was stored last.
	rollout rollout.Record
	// evictions maps each task to the reason of its eviction that was stored last.
	evictions map[string]string
}
