package rehearsal

import (
	"errors"
	"fmt"
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

// borrowingTeams flood the controllers and use what guaranteedTeam, whose jobs are timed, leaves.
var borrowingTeams = [2]string{"settlement", "audit"}

const guaranteedTeam = "validation"

// quotaTeams are teams whose limits add up to more than the machines have, so that two of
// them borrow what the third is guaranteed.
func quotaTeams() []Team {
	return []Team{
		{Name: borrowingTeams[0], Guarantee: 4, Limit: 14, GuaranteeAccelerators: 1, LimitAccelerators: 3},
		{Name: borrowingTeams[1], Limit: 14, LimitAccelerators: 3},
		{Name: guaranteedTeam, Guarantee: 6, Limit: 8, GuaranteeAccelerators: 2, LimitAccelerators: 4},
	}
}

// quotaAccelerators are those of each machine.
const quotaAccelerators = 2

// RunQuota rehearses the teams' limits: controllers are flooded with submissions of several
// teams while they are paused, killed and refused by the state service. It always leaves a
// record and a report, also of a run that fails midway.
func RunQuota(options QuotaOptions) (*QuotaFindings, error) {
	teams := quotaTeams()
	features := ""
	if options.Shards > 1 { // earlier versions do not know features
		features = fmt.Sprintf("shards: %d\n", options.Shards)
	}
	cluster, err := newLocalCluster(clusterOptions{Folder: options.Folder, Program: options.Program, Teams: teams, Controllers: options.Controllers,
		Machines: options.Machines, Accelerators: quotaAccelerators, Features: features})
	if err != nil {
		return nil, err
	}
	started := time.Now()
	submitted, incomplete := runQuotaScenario(cluster, options)
	findings := &QuotaFindings{Seed: options.Seed, Teams: teams, Duration: time.Since(started), Within: options.Within, Events: cluster.recorded(),
		Jobs: submitted, Changes: cluster.store.Epoch()}
	if incomplete != nil {
		findings.IncompleteReason = incomplete.Error()
	}
	closeErr := cluster.close()
	findings.analyze()
	return findings, errors.Join(closeErr, findings.writeFiles(options.Folder))
}
