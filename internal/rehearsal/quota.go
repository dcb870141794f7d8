package rehearsal

import (
	"errors"
	"fmt"
	"time"
)

// QuotaOptions configures a rehearsal of the teams' limits.
type QuotaOptions struct {
	Folder           string // receives the record, the report, settings and logs
	Program          string // path of the controller executable
	Seed             uint64
	Controllers      int
	Machines         int
	Shards           int           // shards of the machine pool, each with its own leader
	Jobs             int           // number of jobs submitted at once in each of two waves
	GuaranteeTimeout time.Duration // maximum wait of a job within its team's guarantee
	MaxDuration      time.Duration // maximum duration; the run is aborted after it
	LateCopies       float64       // share of the direct commands to machines of which a copy arrives later
}

// borrowingTeams submit many jobs at once and use the capacity that guaranteedTeam leaves idle.
// The waits of guaranteedTeam's jobs are measured.
var borrowingTeams = [2]string{"settlement", "audit"}

const guaranteedTeam = "validation"

// quotaTeams returns teams whose limits add up to more than the capacity of the machines, so that
// two of them borrow the capacity that is guaranteed to the third.
func quotaTeams() []Team {
	return []Team{
		{Name: borrowingTeams[0], Guarantee: 4, Limit: 14, GuaranteeAccelerators: 1, LimitAccelerators: 3},
		{Name: borrowingTeams[1], Limit: 14, LimitAccelerators: 3},
		{Name: guaranteedTeam, Guarantee: 6, Limit: 8, GuaranteeAccelerators: 2, LimitAccelerators: 4},
	}
}

// quotaAccelerators is the number of accelerators of each machine.
const quotaAccelerators = 2

// RunQuota checks the teams' limits: several teams submit many jobs at once while controllers are
// paused and killed and the state service fails. It writes a record and a report even if the run
// fails midway.
func RunQuota(options QuotaOptions) (*QuotaFindings, error) {
	teams := quotaTeams()
	features := ""
	if options.Shards > 1 { // earlier versions do not support a features file
		features = fmt.Sprintf("shards: %d\n", options.Shards)
	}
	cluster, err := newLocalCluster(clusterOptions{Folder: options.Folder, Program: options.Program, Teams: teams, Controllers: options.Controllers,
		Machines: options.Machines, Accelerators: quotaAccelerators, Features: features, LateCopies: options.LateCopies, Seed: options.Seed})
	if err != nil {
		return nil, err
	}
	started := time.Now()
	submitted, scenarioErr := runQuotaScenario(cluster, options)
	findings := &QuotaFindings{Seed: options.Seed, Teams: teams, Duration: time.Since(started), Within: options.GuaranteeTimeout, Events: cluster.recordedEvents(),
		Jobs: submitted, Changes: cluster.store.Epoch()}
	if scenarioErr != nil {
		findings.IncompleteReason = scenarioErr.Error()
	}
	closeErr := cluster.close()
	findings.analyze()
	return findings, errors.Join(closeErr, findings.writeFiles(options.Folder))
}
