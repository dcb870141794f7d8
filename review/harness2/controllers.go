package harness2

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Controller is one controller, as a process of its own.
type Controller struct {
	Name, Client, Cluster string

	cluster  *Cluster
	settings string
	log      *os.File
	command  *exec.Cmd
}

// Cluster is a set of controllers with the stand-ins that they call.
type Cluster struct {
	World       *World
	State       *State
	Cloud       *Cloud
	Controllers []*Controller

	links map[string]*Proxy // between controllers, by "from to"
	run   []string
}

// Setup describes a small deployment.
type Setup struct {
	Names, Zones, ControllerZones []string
	Types                         []MachineType
	Teams                         []Team
	Timing                        Timing
	RPS, WriteRPS                 float64
	ValueKB, TxnOps               int
	Next                          string // lines of params.state.next
	Cores, RAMMB                  float64
	Folder                        string // for settings and logs
	Root                          string // the repository, with the build of the deploy file
}

// New starts the stand-ins and writes the settings files. It starts no controller.
func New(record *Record, setup *Setup) (*Cluster, error) {
	run, err := runCommand(setup.Root)
	if err != nil {
		return nil, err
	}
	c := &Cluster{World: NewWorld(record, setup.Timing, setup.Types, setup.Teams), State: NewState(setup.ValueKB<<10, setup.TxnOps), links: map[string]*Proxy{}, run: run}
	var addresses []string
	for _, name := range setup.Names {
		controller := &Controller{Name: name, Client: FreeAddress(), Cluster: FreeAddress(), cluster: c, settings: filepath.Join(setup.Folder, name+".toml")}
		if controller.log, err = os.Create(filepath.Join(setup.Folder, name+".log")); err != nil {
			return nil, err
		}
		c.Controllers = append(c.Controllers, controller)
		addresses = append(addresses, controller.Client)
	}
	c.Cloud = NewCloud(c.World, setup.Types, setup.Names, addresses)
	cloud := Serve(c.Cloud)
	for i, controller := range c.Controllers {
		if err := os.WriteFile(controller.settings, []byte(c.settings(setup, i, cloud)), 0o600); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// runCommand returns the command of the deploy file that starts a controller.
func runCommand(root string) ([]string, error) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if value, found := strings.CutPrefix(line, "run = "); found {
			words := strings.Fields(strings.Trim(value, `" `))
			words[0] = filepath.Join(root, words[0])
			return words, nil
		}
	}
	return nil, fmt.Errorf("deploy/service.toml has no run command")
}

func (c *Cluster) settings(setup *Setup, at int, cloud string) string {
	own := c.Controllers[at]
	var text strings.Builder
	fmt.Fprintf(&text, "host_name = %q\narea = %q\nclient_listen = %q\ncluster_listen = %q\n", own.Name, setup.ControllerZones[at], own.Client, own.Cluster)
	for i, other := range c.Controllers {
		if i == at {
			continue
		}
		link := NewProxy(other.Cluster)
		c.links[own.Name+" "+other.Name] = link
		fmt.Fprintf(&text, "[[others]]\nhost_name = %q\narea = %q\npeer_addr = %q\n", other.Name, setup.ControllerZones[i], link.Address())
	}
	fmt.Fprintf(&text, "[services]\ncloud = %q\nstate = %q\n", cloud, Serve(c.State.Handler(own.Name)))
	fmt.Fprintf(&text, "[params]\ninitial_size = 3\nzones = [\"%s\"]\nclock_error_ms = 100.0\n", strings.Join(setup.Zones, `", "`))
	for _, team := range setup.Teams {
		fmt.Fprintf(&text, "[[params.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = %.1f\ngpus_max = %.1f\n", team.Name, team.CPUs, team.CPUsMax, team.GPUs, team.GPUsMax)
	}
	t := setup.Timing
	fmt.Fprintf(&text, "[params.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = %.1f\ngang_peer_s = %.1f\ncancel_s = %.1f\n", t.Report, t.Lease, t.GangWait, t.GangPeer, t.Cancel)
	fmt.Fprintf(&text, "[params.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %d.0\ntxn_ops = %d\n%s\n", setup.RPS, setup.WriteRPS, setup.ValueKB, setup.TxnOps, setup.Next)
	fmt.Fprintf(&text, "[params.cloud]\nrps = 6.0\nlist_lag_s = 5.0\n[params.machine_limits]\ncores = %.2f\nram_mb = %.1f\nmax_sockets = 3500\n", setup.Cores, setup.RAMMB)
	return text.String()
}

// Start starts the controller's process.
func (c *Controller) Start() error {
	words := append(c.cluster.run[:len(c.cluster.run):len(c.cluster.run)], c.settings)
	c.command = exec.Command(words[0], words[1:]...)
	c.command.Stderr = c.log
	c.cluster.World.Record.Add("controller %s starts", c.Name)
	return c.command.Start()
}

// Kill ends the controller's process at once.
func (c *Controller) Kill() {
	if c.command == nil {
		return
	}
	_ = c.command.Process.Kill() // it may have ended
	_ = c.command.Wait()         // it was killed
	c.command = nil
	c.cluster.World.Record.Add("controller %s killed", c.Name)
}

// Running reports whether the controller's process has not ended by itself.
func (c *Controller) Running() bool {
	return c.command != nil && c.command.Process.Signal(syscall.Signal(0)) == nil
}

// Pause stops the controller's process, or lets it go on.
func (c *Controller) Pause(pause bool) {
	if pause {
		_ = c.command.Process.Signal(syscall.SIGSTOP)
	} else {
		_ = c.command.Process.Signal(syscall.SIGCONT)
	}
	c.cluster.World.Record.Add("controller %s paused: %v", c.Name, pause)
}

// CutPeers cuts a controller off from the other controllers in both directions, or ends that.
func (c *Cluster) CutPeers(name string, cut bool) {
	for ends, link := range c.links {
		if from, to, _ := strings.Cut(ends, " "); from == name || to == name {
			link.SetCut(cut)
		}
	}
}

// StartAll starts all controllers and waits until each answers that it is up.
func (c *Cluster) StartAll(within time.Duration) error {
	for _, controller := range c.Controllers {
		if err := controller.Start(); err != nil {
			return err
		}
	}
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		up := 0
		for _, controller := range c.Controllers {
			if status, _ := Call(client, http.MethodGet, "http://"+controller.Client+"/up", nil); status == http.StatusOK {
				up++
			}
		}
		if up == len(c.Controllers) && c.Leader() != nil {
			return nil
		}
	}
	return fmt.Errorf("the controllers are not up within %v", within)
}

// KillAll ends all processes.
func (c *Cluster) KillAll() {
	for _, controller := range c.Controllers {
		controller.Kill()
	}
}

// Leader returns the controller that leads the pool, as the state service says; nil if none does.
func (c *Cluster) Leader() *Controller {
	value := string(c.State.Value("pool/owner"))
	for _, controller := range c.Controllers {
		if strings.Contains(value, `"node":"`+controller.Name+`"`) {
			return controller
		}
	}
	return nil
}
