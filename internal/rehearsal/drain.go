package rehearsal

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

// DrainOptions are what a rehearsal of a drain may vary.
type DrainOptions struct {
	Folder      string // for the record, the report, settings and logs
	Program     string // the controllers' program
	Seed        uint64
	Controllers int
	Machines    int           // all of which are replaced
	Jobs        int           // low jobs beside the services
	Longest     time.Duration // the run ends by then, whatever happens
}

// drainTeam is a team of the rehearsal: a service and its budget.
type drainTeam struct {
	Team
	Replicas int
	// ReplicasDown is how many replicas may be down at a time, TasksInterrupted how many other
	// tasks may be interrupted at a time.
	ReplicasDown, TasksInterrupted int
}

// drainTeams are three teams with a service each; the last one has low jobs too.
// Together they fit on the machines, so that none is provisioned but in place of another.
func drainTeams(machines int) []drainTeam {
	cores := float64(machines)
	return []drainTeam{
		{Team: Team{Name: "kiosk", Limit: 2 * cores}, Replicas: machines, ReplicasDown: 4, TasksInterrupted: 1},
		{Team: Team{Name: "rates", Limit: cores}, Replicas: machines / 2, ReplicasDown: 2, TasksInterrupted: 1},
		{Team: Team{Name: "audit", Limit: 2 * cores}, Replicas: machines / 5, ReplicasDown: 1, TasksInterrupted: 20},
	}
}

// rolloutName is the name of the rehearsed rollout.
const rolloutName rollout.Name = "spring"

// The rehearsed rollout.
const (
	targetWaves        = 5
	rolloutDeadline    = 40 * time.Second
	rolloutObservation = 5 * time.Second
	// readyTime is how long a replica has to run to count as up.
	readyTime = 2 * time.Second
	// cloudCapacityFactor is how many times the machines the cloud has: a new leader, which has not
	// had a heartbeat of all machines yet, provisions some more, and none is returned for being idle here.
	cloudCapacityFactor = 4
	// minLowTaskDuration is how long a task of a low job takes at least, and again as long at most.
	minLowTaskDuration = 8 * time.Second
)

// drainFeatures is the content of the file of features with the teams' budgets.
func drainFeatures(teams []drainTeam) string {
	var text strings.Builder
	fmt.Fprintf(&text, "drains {\n  ready_s: %g\n", readyTime.Seconds())
	for _, team := range teams {
		fmt.Fprintf(&text, "  teams { team: %q budget { replicas_down: %d tasks_interrupted: %d } }\n", team.Name, team.ReplicasDown, team.TasksInterrupted)
	}
	text.WriteString("}\n")
	return text.String()
}

// keepIdleMachines has machines stay that nothing needs: all of them are to be replaced, not returned.
const keepIdleMachines = "idle_return_s: 3600\n"

// RunDrain rehearses the replacement of all machines: services and low jobs run while machines
// are replaced in waves and controllers, machines and replacements fail. It always leaves a record
// and a report, also of a run that fails midway.
func RunDrain(options DrainOptions) (*DrainFindings, error) {
	teams := drainTeams(options.Machines)
	run := &drainRun{options: options, teams: teams, evictions: map[string]string{}}
	quotas := make([]Team, 0, len(teams))
	for _, team := range teams {
		quotas = append(quotas, team.Team)
	}
	cluster, err := newLocalCluster(clusterOptions{
		Folder: options.Folder, Program: options.Program, Teams: quotas, Controllers: options.Controllers,
		Machines: cloudCapacityFactor * options.Machines, Features: drainFeatures(teams), Operators: keepIdleMachines,
		OnChange: run.observeChange,
	})
	if err != nil {
		return nil, err
	}
	run.cluster = cluster
	started := time.Now()
	incomplete := run.runScenario()
	findings := &DrainFindings{Seed: options.Seed, Teams: teams, Duration: time.Since(started), Events: cluster.recorded(), Changes: cluster.store.Epoch(),
		PermitCounts: run.permitCounts(), CordonedMachines: run.cordonedMachines()}
	if incomplete != nil {
		findings.IncompleteReason = incomplete.Error()
	}
	closeErr := cluster.close()
	findings.analyze()
	return findings, errors.Join(closeErr, findings.writeFiles(options.Folder))
}

// drainRun is one rehearsal of a drain under way.
type drainRun struct {
	options DrainOptions
	teams   []drainTeam
	cluster *localCluster

	// mu guards the fields below. It is taken under the fake store's lock, and the cluster's is
	// taken under it.
	mu sync.Mutex
	// rollout is the rollout as it was last stored.
	rollout rollout.Record
	// evictions are the reasons of the evictions stored last, by task.
	evictions map[string]string
}
