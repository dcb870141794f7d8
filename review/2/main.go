// Command 2 is the review case of a gang that never starts once lower limits of the state service are
// announced. See claim.txt.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/review/harness"
)

const (
	gangID    = "job-000040"
	gangTasks = 40
	machines  = 14
	// waitLimit is the bound of the page: no job is left waiting for 90 s while a machine that fits has room.
	waitLimit = 90 * time.Second
	totalTime = 116 * time.Second
)

// params are the settings of the kiosk deployment, from the teams on, without the machines' own table.
const params = `[[params.teams]]
name = "kioskops-00"
cpus = 16.0
cpus_max = 48.0
gpus = 0.0
gpus_max = 0.0
[[params.teams]]
name = "kioskops-01"
cpus = 16.0
cpus_max = 48.0
gpus = 0.0
gpus_max = 0.0
[[params.teams]]
name = "kioskops-02"
cpus = 16.0
cpus_max = 48.0
gpus = 0.0
gpus_max = 0.0
[params.workers]
report_s = 3.0
lease_s = 45.0
gang_wait_s = 35.0
gang_peer_s = 6.0
cancel_s = 65.0
[params.cloud]
rps = 5.0
list_lag_s = 5.0
[params.machine_limits]
cores = 0.48
ram_mb = 234.0
max_sockets = 5000
`

// next announces the lower limits of the kiosk deployment with pipelines.
const next = `[params.state.next]
rps = 200.0
write_rps = 35.0
value_kb = 2.0
txn_ops = 4
`

// gangRun makes the tasks of the gang wait for one another, run together and be done together.
type gangRun struct {
	mu      sync.Mutex
	workers map[string]*fake.Worker
	began   bool
}

func (g *gangRun) event(rec *harness.Recorder, event fake.Event) {
	what := "ended: " + event.Cause
	if event.Start {
		what = "started"
	}
	rec.Printf("%s: %s#%d %s", event.Worker.Name, event.Task, event.Attempt, what)
	if harness.JobOf(event.Task) != gangID {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !event.Start {
		delete(g.workers, event.Task)
		return
	}
	g.workers[event.Task] = event.Worker
	go event.Worker.SetTaskStatus(event.Task, "waiting")
	if len(g.workers) == gangTasks && !g.began {
		g.began = true
		go g.runAll()
	}
}

func (g *gangRun) runAll() {
	time.Sleep(time.Second)
	g.mu.Lock()
	workers := map[string]*fake.Worker{}
	for task, worker := range g.workers {
		workers[task] = worker
	}
	g.mu.Unlock()
	for task, worker := range workers {
		worker.SetTaskStatus(task, "running")
	}
	time.Sleep(10 * time.Second)
	for task, worker := range workers {
		worker.EndTask(task, "done")
	}
}

func main() { os.Exit(run()) }

func run() int {
	folder, root := os.Args[1], os.Args[2]
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := harness.NewRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		return harness.ExitNoRun
	}
	defer rec.Close()
	gang := &gangRun{workers: map[string]*fake.Worker{}}
	cloud := &harness.Cloud{
		Types: []harness.MachineType{{Label: "croft", Cores: 8, RAMGB: 32, LocalGB: 60, PullGBPerS: 0.2, Price: 0.36, MarketPrice: 0.12,
			BootS: 30, Zones: []string{"leith", "govan", "dundee", "inverness"}}},
		Boot: 25 * time.Second, ListLag: 5 * time.Second, Report: 3 * time.Second, Lease: 45 * time.Second,
		OnEvent: func(event fake.Event) { gang.event(rec, event) },
	}
	settings := params
	if trouble {
		settings += next
	}
	cluster, err := harness.NewCluster(rec, harness.Options{Root: root, Controllers: 3, Zones: []string{"leith", "govan", "dundee", "inverness"},
		ControllerZones: []string{"leith", "govan", "dundee"}, Params: settings, InitialSize: machines, Cloud: cloud,
		State: harness.StoreLimits{RPS: 200, WriteRPS: 50, ValueKB: 8, TxnOps: 12}})
	if err != nil {
		rec.Printf("could not run: %v", err)
		return harness.ExitNoRun
	}
	defer cluster.Close()
	code, why := play(rec, cluster, trouble)
	rec.Printf("exit code %d: %s", code, why)
	fmt.Println(why)
	return code
}

// play submits the jobs and watches the gang. It returns the exit code with its reason.
func play(rec *harness.Recorder, cluster *harness.Cluster, trouble bool) (code int, why string) {
	for i := range machines {
		cluster.Cloud.AddRunning("croft", []string{"leith", "govan", "dundee"}[i%3])
	}
	if err := cluster.StartAll(20 * time.Second); err != nil {
		return harness.ExitNoRun, err.Error()
	}
	user := harness.NewUser(rec, "user")
	user.ConnectTo(cluster.Controllers[0])
	// One replica of five cores on each machine keeps the machines in use, and three cores of each free.
	for i, team := range []string{"kioskops-00", "kioskops-02"} {
		service := &harness.Job{ID: fmt.Sprintf("job-%06d", i+1), Class: "ratefeed", Team: team, Shape: "standing", Priority: "critical",
			Tasks: machines / 2, Cores: 5, RAMGB: 3.4, Image: "img-1", ImageGB: 0.1}
		if answer := user.SubmitUntilAccepted(service); answer.Status != 201 {
			return harness.ExitNoRun, "a service was not accepted"
		}
	}
	for len(roomyMachines(cluster)) < machines {
		if rec.Elapsed() > 20*time.Second {
			return harness.ExitNoRun, "the services did not start"
		}
		time.Sleep(200 * time.Millisecond)
	}
	job := &harness.Job{ID: gangID, Class: "floatplan", Team: "kioskops-01", Shape: "gang", Priority: "normal", Tasks: gangTasks, Cores: 1, RAMGB: 1,
		Image: "img-2", ImageGB: 0.1, EstimateS: 10}
	if answer := user.SubmitUntilAccepted(job); answer.Status != 201 {
		return harness.ExitNoRun, "the gang was not accepted"
	}
	if trouble {
		cluster.Store.SetLimits(harness.StoreLimits{RPS: 200, WriteRPS: 35, ValueKB: 2, TxnOps: 4})
		rec.Printf("the state service has its lower limits now")
	}
	return watch(rec, cluster, user)
}

// roomyMachines returns the machines with a replica and three free cores.
func roomyMachines(cluster *harness.Cluster) (names []string) {
	for _, host := range cluster.Cloud.Hosts() {
		if host.Up && len(host.Tasks) == 1 {
			names = append(names, host.Name)
		}
	}
	return names
}

// watch polls the gang until it is done, or has waited for longer than the limit while there was room for all
// of its tasks without a break.
func watch(rec *harness.Recorder, cluster *harness.Cluster, user *harness.User) (code int, why string) {
	roomSince, lastPoll := time.Now(), time.Time{}
	for rec.Elapsed() < totalTime {
		hosts := cluster.Cloud.Hosts()
		started := slices.ContainsFunc(hosts, func(host harness.Host) bool {
			return slices.ContainsFunc(host.Tasks, func(task string) bool { return harness.JobOf(task) == gangID })
		})
		if started || len(roomyMachines(cluster))*3 < gangTasks {
			roomSince = time.Now()
		}
		if time.Since(lastPoll) > 5*time.Second {
			lastPoll = time.Now()
			if user.Poll(gangID).State == "done" {
				return harness.ExitHeld, "the gang ran and is done"
			}
			rec.Printf("machines with three free cores: %d; room for the gang for %.0f s", len(roomyMachines(cluster)), time.Since(roomSince).Seconds())
		}
		if waited := time.Since(roomSince); waited > waitLimit {
			return harness.ExitBroken, fmt.Sprintf("the gang has waited for %.0f s with room for all its tasks", waited.Seconds())
		}
		time.Sleep(250 * time.Millisecond)
	}
	return harness.ExitNoRun, "the time is over without a result"
}
