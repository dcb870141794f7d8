package harness

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Options describe a deployment.
type Options struct {
	// Root is the root of the repository.
	Root        string
	Controllers int
	Zones       []string
	// ControllerZones are the zones of the controllers, in turn.
	ControllerZones []string
	// Params is the text of the settings from [[params.teams]] on; State are the limits of the state
	// service at the start.
	Params string
	State  StoreLimits
	// InitialSize is the number of machines up at the start.
	InitialSize int
	Cloud       *Cloud
}

// Controller is one controller with its process.
type Controller struct {
	Name, Zone, Users, Peers string
	settings, log            string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// Cluster is a deployment on loopback addresses.
type Cluster struct {
	Store       *Store
	Cloud       *Cloud
	Controllers []*Controller
	Folder      string
	run         []string
	root        string
	rec         *Recorder
}

// NewCluster starts the stand-ins and writes the settings; it starts no controller.
func NewCluster(rec *Recorder, options Options) (*Cluster, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &Cluster{Store: NewStore(options.State), Cloud: options.Cloud, Folder: folder, root: options.Root, rec: rec}
	if c.run, err = runCommand(options.Root); err != nil {
		return nil, err
	}
	state, err := serveOnLoopback(c.Store)
	if err != nil {
		return nil, err
	}
	cloud, err := serveOnLoopback(c.Cloud)
	if err != nil {
		return nil, err
	}
	var names, addrs []string
	for i := range options.Controllers {
		controller, err := c.newController(fmt.Sprintf("cairn-%d", i), options.ControllerZones[i%len(options.ControllerZones)])
		if err != nil {
			return nil, err
		}
		names, addrs = append(names, controller.Name), append(addrs, controller.Users)
	}
	c.Cloud.start(names, addrs)
	for _, controller := range c.Controllers {
		text := c.settings(controller, &options, state, cloud)
		if err := os.WriteFile(controller.settings, []byte(text), 0o600); err != nil {
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
	var deploy struct {
		Run string `toml:"run"`
	}
	if err := toml.Unmarshal(raw, &deploy); err != nil {
		return nil, err
	}
	if deploy.Run == "" {
		return nil, errors.New("the deploy file names no run command")
	}
	return strings.Fields(deploy.Run), nil
}

func serveOnLoopback(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }() // ends with the process
	return listener.Addr().String(), nil
}

func (c *Cluster) newController(name, zone string) (*Controller, error) {
	controller := &Controller{Name: name, Zone: zone, settings: filepath.Join(c.Folder, name+".toml"), log: filepath.Join(c.Folder, name+".log")}
	for _, address := range []*string{&controller.Users, &controller.Peers} {
		var err error
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	c.Controllers = append(c.Controllers, controller)
	return controller, nil
}

func (c *Cluster) settings(own *Controller, options *Options, state, cloud string) string {
	var text strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&text, format+"\n", args...) }
	line("host_name = %q\narea = %q\nclient_listen = %q\ncluster_listen = %q", own.Name, own.Zone, own.Users, own.Peers)
	for _, other := range c.Controllers {
		if other != own {
			line("[[others]]\nhost_name = %q\narea = %q\npeer_addr = %q", other.Name, other.Zone, other.Peers)
		}
	}
	line("[services]\ncloud = %q\nstate = %q", cloud, state)
	line("[params]\ninitial_size = %d\nzones = [\"%s\"]\nclock_error_ms = 100.0", options.InitialSize, strings.Join(options.Zones, `", "`))
	line("%s", options.Params)
	line("[params.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d", options.State.RPS, options.State.WriteRPS,
		options.State.ValueKB, options.State.TxnOps)
	return text.String()
}

// Start starts a controller's process with the command of the deploy file.
func (c *Cluster) Start(controller *Controller) error {
	log, err := os.OpenFile(controller.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has a descriptor of its own
	process := exec.Command(c.run[0], append(c.run[1:len(c.run):len(c.run)], controller.settings)...)
	process.Dir, process.Stdout, process.Stderr = c.root, log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	controller.mu.Lock()
	controller.process, controller.exited = process, exited
	controller.mu.Unlock()
	go func() {
		err := process.Wait()
		c.rec.Printf("process of %s ended: %v", controller.Name, err)
		close(exited)
	}()
	c.rec.Printf("started %s", controller.Name)
	return nil
}

// StartAll starts all controllers and waits until each answers /up with 200.
func (c *Cluster) StartAll(longest time.Duration) error {
	for _, controller := range c.Controllers {
		if err := c.Start(controller); err != nil {
			return err
		}
	}
	until := time.Now().Add(longest)
	for _, controller := range c.Controllers {
		for !c.Ready(controller) {
			if time.Now().After(until) {
				return errors.New(controller.Name + " did not become ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Ready reports whether a controller answers /up with 200.
func (c *Cluster) Ready(controller *Controller) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + controller.Users + "/up")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // nothing is read from it
	return response.StatusCode == http.StatusOK
}

// Signal sends a signal to a controller's process.
func (c *Cluster) Signal(controller *Controller, signal syscall.Signal) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	if controller.process != nil {
		c.rec.Printf("%v to %s", signal, controller.Name)
		_ = controller.process.Process.Signal(signal) // fails if it has ended
	}
}

// Kill ends a controller's process at once and waits for its end.
func (c *Cluster) Kill(controller *Controller) {
	c.Signal(controller, syscall.SIGKILL)
	controller.mu.Lock()
	exited := controller.exited
	controller.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// Close ends all controllers. Unless KEEP is set in the environment, it removes the temporary folder.
func (c *Cluster) Close() {
	for _, controller := range c.Controllers {
		c.Kill(controller)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.Folder) // it is in the system's temporary folder
	}
}

// Leader returns the controller named in the state service as the leader; nil if there is none.
func (c *Cluster) Leader() *Controller {
	value := string(c.Store.Value("pool/owner"))
	for _, controller := range c.Controllers {
		if strings.Contains(value, `"`+controller.Name+`"`) {
			return controller
		}
	}
	return nil
}

// The ports of the controllers lie below those that the system hands out, so that nothing else takes the port of
// a controller while it is down.
const (
	firstPort = 20000
	ports     = 12000
	portTries = 100
)

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	var lastErr error
	for range portTries {
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports)))
		if err != nil {
			lastErr = err
			continue
		}
		return listener.Addr().String(), listener.Close()
	}
	return "", lastErr
}
