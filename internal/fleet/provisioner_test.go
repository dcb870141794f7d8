package fleet

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// requestStore is a store that keeps the names of provisioning requests. A request must be stored before
// it is sent.
type requestStore struct {
	names      map[string]bool
	down       bool
	loseWrites int // number of next writes that get no answer and are not executed
}

func (s *requestStore) Apply(_ context.Context, ops []state.Op) error {
	if s.down {
		return state.ErrRefused
	}
	if s.loseWrites > 0 {
		s.loseWrites--
		return state.ErrOutcomeUnknown
	}
	for _, op := range ops {
		if op.Put != "" {
			s.names[strings.TrimPrefix(op.Put, record.KeysOf(0, 1).ProvisioningRequests())] = true
		} else {
			delete(s.names, strings.TrimPrefix(op.Remove, record.KeysOf(0, 1).ProvisioningRequests()))
		}
	}
	return nil
}

func testSettings() *config.Settings {
	settings := &config.Settings{Operator: config.DefaultOperator()}
	settings.Params.Workers = config.WorkerIntervals{ReportS: 2, LeaseS: 20, GangWaitS: 30, GangPeerS: 5, CancelS: 40}
	settings.Params.State = config.StateLimits{RPS: 100, WriteRPS: 100, ValueKB: 8, TxnOps: 12}
	settings.Params.Teams = []config.Team{{Name: "red"}}
	settings.Params.Zones = []string{"north", "south"}
	return settings
}

func newJob(id ids.Job, tasks int) *record.Record {
	return record.New(record.Spec{ID: id, Class: "c", Team: "red", JobType: record.Array, Tasks: tasks, EstimatedDuration: 100,
		Resources: placement.Resources{Cores: 4, RAM: 4}}, ids.TimestampOf(time.Now()), "user")
}

// newTestProvisioner returns a provisioner with its dependencies, for a cloud with capacity for the given
// number of machines.
func newTestProvisioner(capacity int) (*fake.Network, *fake.Cloud, *clusterstate.State, *requestStore, *Provisioner) {
	network, cloud := fake.NewNetwork(), fake.NewCloud(capacity)
	network.Listen("cloud:1", cloud)
	cluster := clusterstate.New(testSettings(), "w", 7, time.Now())
	store := &requestStore{names: map[string]bool{}}
	provisioner := &Provisioner{Cloud: NewCloud("cloud:1", network.Client("a"), 50), Cluster: cluster, Store: store,
		Keys: record.KeysOf(0, 1), Generation: 7, ListInterval: time.Second}
	return network, cloud, cluster, store, provisioner
}

// stepEverySecond calls Step the given number of times, a second apart.
func stepEverySecond(ctx context.Context, provisioner *Provisioner, rounds int) {
	for range rounds {
		provisioner.Step(ctx)
		time.Sleep(time.Second)
	}
}

func TestRequestIsStoredBeforeItIsSentAndNeverDuplicated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		network, cloud, cluster, store, provisioner := newTestProvisioner(10)
		cluster.HandleRecord("job-1", 1, newJob("job-1", 2), time.Now())
		sent := map[string]int{}
		network.SetRule(func(_, _ string, request *http.Request, body []byte) fake.Outcome {
			if request.Method == "POST" && request.URL.Path == "/hosts" {
				for name := range store.names {
					if strings.Contains(string(body), `"`+name+`"`) {
						sent[name]++
						if sent[name] == 1 {
							return fake.DropResponse
						}
						return fake.Deliver
					}
				}
				t.Errorf("request was sent before it was stored: %s", body)
			}
			return fake.Deliver
		})
		store.down = true
		provisioner.Step(ctx)
		if len(cloud.ProvisioningRequests()) != 0 {
			t.Fatal("request was sent although the store refused it")
		}
		store.down = false
		store.loseWrites = 2 // a write without an answer is not a confirmed write
		provisioner.Step(ctx)
		if len(cloud.ProvisioningRequests()) != 0 {
			t.Fatal("request was sent although its write was not confirmed")
		}
		stepEverySecond(ctx, provisioner, 6)
		if total := countProvisioned(cloud); total != 2 || len(store.names) != 0 {
			t.Fatalf("%d machines provisioned, want 2 for two tasks; requests still stored: %v, want none", total, store.names)
		}
	})
}

func TestNextLeaderRecoversProvisionedMachines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		_, cloud, cluster, _, provisioner := newTestProvisioner(10)
		provisioner.LoadRequests([]state.Entry{{Value: []byte(`{"hire":"h-3-1","build":"small","yard":"north","loaners":false,"count":2}`)}})
		provisioner.Step(ctx)
		if len(cloud.ProvisioningRequests()["h-3-1"]) != 2 || cluster.Summary()["machines"] != 2 {
			t.Fatalf("cloud received requests %v, cluster has %v machines; want request h-3-1 and 2 machines", cloud.ProvisioningRequests(), cluster.Summary()["machines"])
		}
	})
}

func TestStuckBootsAndUnknownMachinesAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		_, cloud, cluster, _, provisioner := newTestProvisioner(3)
		cluster.HandleRecord("job-1", 1, newJob("job-1", 1), time.Now())
		stepEverySecond(ctx, provisioner, 250)
		if deleted := cloud.DeletedMachines(); len(deleted) == 0 || deleted[0] != "host-000001" {
			t.Fatalf("deleted machines %v, want first host-000001, which never came up", deleted)
		}
		// A machine that no request provisioned sends heartbeats, has no tasks and is deleted.
		cluster.ReconcileHeartbeat(&worker.Report{Machine: "host-000777", Type: "small", Zone: "north", Incarnation: 1, Sequence: 1})
		cluster.HandleRecord("job-1", 99, nil, time.Now())
		for i := range 90 {
			cluster.ReconcileHeartbeat(&worker.Report{Machine: "host-000777", Type: "small", Zone: "north", Incarnation: 1, Sequence: ids.SequenceNumber(i + 2)})
			provisioner.Step(ctx)
			time.Sleep(time.Second)
		}
		if !strings.Contains(strings.Join(cloud.DeletedMachines(), " "), "host-000777") {
			t.Fatalf("deleted machines %v, want also the unknown host-000777", cloud.DeletedMachines())
		}
	})
}

func TestLeaderWithoutConfirmedLeadershipSendsNoDeletionOrRequest(t *testing.T) {
	// Guards against a leader that was paused between its decision and the call. The cloud does not check
	// fencing tokens, and the successor may have started tasks on the machine in the meantime.
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		_, cloud, cluster, _, provisioner := newTestProvisioner(10)
		cluster.HandleRecord("job-1", 1, newJob("job-1", 2), time.Now())
		provisioner.Step(ctx)
		if len(cloud.ProvisioningRequests()) == 0 {
			t.Fatal("no request was sent for the first job")
		}
		time.Sleep(5 * time.Minute) // the machines never come up
		leadershipChecks := 0
		provisioner.ConfirmLeadership = func() bool { leadershipChecks++; return false }
		cluster.HandleRecord("job-2", 2, newJob("job-2", 4), time.Now())
		requests := len(cloud.ProvisioningRequests())
		stepEverySecond(ctx, provisioner, 5)
		if leadershipChecks == 0 || len(cloud.DeletedMachines()) != 0 || len(cloud.ProvisioningRequests()) != requests {
			t.Errorf("unconfirmed leader: leadership checked %d times, deleted %v, %d new requests; want checks only", leadershipChecks, cloud.DeletedMachines(), len(cloud.ProvisioningRequests())-requests)
		}
		provisioner.ConfirmLeadership = func() bool { return true }
		stepEverySecond(ctx, provisioner, 5)
		if len(cloud.DeletedMachines()) == 0 || len(cloud.ProvisioningRequests()) == requests {
			t.Errorf("confirmed leader: deleted %v, %d new requests; want both", cloud.DeletedMachines(), len(cloud.ProvisioningRequests())-requests)
		}
	})
}

// heartbeat returns a heartbeat of a machine with a sequence number.
func heartbeat(machine ids.Machine, sequence ids.SequenceNumber) *worker.Report {
	return &worker.Report{Machine: machine, Addr: string(machine) + ":1", Type: "small", Zone: "north", Incarnation: 1, Sequence: sequence}
}

// countProvisioned returns the number of machines that the cloud has provisioned in total.
func countProvisioned(cloud *fake.Cloud) (count int) {
	for _, machines := range cloud.ProvisioningRequests() {
		count += len(machines)
	}
	return count
}
