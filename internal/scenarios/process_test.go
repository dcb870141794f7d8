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

// commandTimeout is the time that a controller waits for a worker's response to a command.
const commandTimeout = 3 * time.Second

// process is the part of a controller process that every kind of cluster has: its settings, its
// client of the state service and its HTTP server.
type process struct {
	cluster  *testCluster
	name     string
	writer   string // identifies this process in the records that it writes
	settings *config.Settings
	store    *state.Client
	ctx      context.Context
	cancel   context.CancelFunc
}

// newProcess returns a controller process that does not serve yet. The budget limits its requests
// to the state service.
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

// commander returns a client that sends commands to the workers.
func (p *process) commander() *worker.Commander {
	return &worker.Commander{HTTP: p.cluster.network.Client(p.name), Timeout: commandTimeout}
}

// serve makes the process answer users and workers at its address.
func (p *process) serve(records *state.WatchCache, heartbeats intake.HeartbeatHandler, notifier intake.LeaderNotifier) {
	jobs := &intake.JobService{Settings: p.settings, Store: p.store, RecordCache: records, LeaderNotifier: notifier,
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

// crash ends the process without a handover, as the loss of its host would.
func (p *process) crash() {
	p.cancel()
	p.cluster.network.Listen(apiAddress(p.name), nil)
}

// apiAddress returns the address at which a controller serves users and workers.
func apiAddress(node string) string { return node + ":8080" }

// apiAddresses returns the addresses at which several controllers serve users and workers.
func apiAddresses(nodes []string) (addresses []string) {
	for _, node := range nodes {
		addresses = append(addresses, apiAddress(node))
	}
	return addresses
}

// noopNotifier is a LeaderNotifier that sends no notification: the leader learns of writes by
// watching the state service.
type noopNotifier struct{}

// NotifyLeader returns a channel that is closed already.
func (noopNotifier) NotifyLeader(ids.Job, ids.Revision, *record.Record, json.RawMessage) <-chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}
