package scenarios

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/intake"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// commandTimeout is how long a controller waits for a worker's response to a command.
const commandTimeout = 3 * time.Second

// process is what a controller process consists of in every kind of cluster: its settings, its
// client of the state service and its HTTP server.
type process struct {
	cluster  *testCluster
	name     string
	writer   string // names this process in the records that it writes
	settings *config.Settings
	store    *state.Client
	ctx      context.Context
	cancel   context.CancelFunc
}

// newProcess prepares a controller process, which may send as many requests to the state service
// as the budget allows.
func (c *testCluster) newProcess(name string, settings *config.Settings, budget *state.Budget) *process {
	c.processes++
	ctx, cancel := context.WithCancel(c.ctx)
	return &process{
		cluster:  c,
		name:     name,
		writer:   fmt.Sprintf("%s.%d", name, c.processes),
		settings: settings,
		store:    state.NewClient("state:1", c.network.Client(name), budget),
		ctx:      ctx,
		cancel:   cancel,
	}
}

// commander sends commands to the workers.
func (p *process) commander() *worker.Commander {
	return &worker.Commander{HTTP: p.cluster.network.Client(p.name), Timeout: commandTimeout}
}

// serve answers users and workers at the process's address.
func (p *process) serve(records *state.WatchCache, heartbeats intake.Heartbeats, notifier intake.LeaderNotifier) {
	jobs := &intake.JobService{Settings: p.settings, Store: p.store, Records: records, LeaderNotifier: notifier,
		Writer: p.writer, MachineTypes: instanceTypes}
	server := &intake.Server{
		Jobs:            jobs,
		Heartbeats:      heartbeats,
		Ready:           func() bool { return true },
		ExplainByLeader: func(context.Context, ids.Job) ([]string, ids.Node, error) { return nil, "", nil },
		NodeStatus:      func() any { return nil },
	}
	p.cluster.network.Listen(apiAddress(p.name), server.Handler())
}

// crash ends the process as a lost host does: nothing is handed over.
func (p *process) crash() {
	p.cancel()
	p.cluster.network.Listen(apiAddress(p.name), nil)
}

// apiAddress is where a controller serves users and workers.
func apiAddress(node string) string { return node + ":8080" }

// apiAddresses are those of several controllers.
func apiAddresses(nodes []string) (addresses []string) {
	for _, node := range nodes {
		addresses = append(addresses, apiAddress(node))
	}
	return addresses
}

// silentNotifier notifies nobody: the leader learns of writes by watching the state service.
type silentNotifier struct{}

// NotifyLeader returns a channel that is closed already.
func (silentNotifier) NotifyLeader(ids.Job, ids.Revision, *record.Record, json.RawMessage) <-chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}
