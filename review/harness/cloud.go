package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// MachineType is a machine type of the cloud, as GET /machine_types describes it.
type MachineType struct {
	Label       string   `json:"label"`
	Cores       float64  `json:"cores"`
	Accels      float64  `json:"accelerators"`
	RAMGB       float64  `json:"ramGb"`
	LocalGB     float64  `json:"localGb"`
	PullGBPerS  float64  `json:"pullGbPerS"`
	Price       float64  `json:"price"`
	MarketPrice float64  `json:"marketPrice"`
	BootS       float64  `json:"bootS"`
	Zones       []string `json:"yards"`
}

type host struct {
	Name     string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Type     string  `json:"build"`
	Zone     string  `json:"yard"`
	Spot     bool    `json:"loaners"`
	Status   string  `json:"status"`
	HeldS    float64 `json:"heldS"`
	rentedAt time.Time
	worker   *fake.Worker
	stop     func()
	dead     bool
}

// Cloud is a stand-in of the cloud and of the machines' workers.
type Cloud struct {
	Types []MachineType
	// Capacity is how many machines of each type may be rented beyond those there at the start.
	Capacity map[string]int
	// Boot is how long a rented machine takes to come up; ListLag how long it is missing in the list.
	Boot, ListLag time.Duration
	// Report and Lease are the workers' report interval and lease.
	Report, Lease time.Duration
	// OnEvent is called with each start and end of a task, under the worker's lock.
	OnEvent func(fake.Event)

	network *fake.Network
	client  *http.Client
	names   []string
	addrs   []string

	mu     sync.Mutex
	hosts  []*host
	hired  map[string][]string
	number int
}

// start connects the cloud's workers with the controllers.
func (c *Cloud) start(names, addrs []string) {
	c.network = fake.NewNetwork()
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	c.names, c.addrs, c.hired = names, addrs, map[string][]string{}
	if c.Capacity == nil {
		c.Capacity = map[string]int{}
	}
}

// AddRunning adds a machine that is up at the start, and returns its name.
func (c *Cloud) AddRunning(machineType, zone string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.rent(machineType, zone, false)
	h.rentedAt = time.Now().Add(-time.Hour)
	c.boot(h)
	return h.Name
}

// rent adds a booting machine.
func (c *Cloud) rent(machineType, zone string, spot bool) *host {
	c.number++
	h := &host{Name: fmt.Sprintf("host-%06d", c.number), Type: machineType, Zone: zone, Spot: spot, Status: "booting", rentedAt: time.Now()}
	c.hosts = append(c.hosts, h)
	return h
}

// boot starts a machine's worker.
func (c *Cloud) boot(h *host) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return // the machine never comes up
	}
	h.Endpoint, h.Status = listener.Addr().String(), "running"
	h.worker = &fake.Worker{Name: h.Name, Address: h.Endpoint, Type: h.Type, Zone: h.Zone, Spot: h.Spot, Network: c.network, HTTP: c.client,
		HeartbeatInterval: c.Report, LeaseDuration: c.Lease, Controllers: c.addrs, ControllerNames: c.names}
	h.worker.NotifyEvents(c.OnEvent)
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{Handler: h.worker, ReadHeaderTimeout: 10 * time.Second}
	h.stop = func() {
		cancel()
		_ = server.Close() // the listener is closed with the process in any case
		h.worker.Terminate()
	}
	go h.worker.Run(ctx)
	go func() { _ = server.Serve(listener) }() // returns an error when it is closed
}

// Host is a machine as the cloud sees it.
type Host struct {
	Name, Type, Zone string
	Up               bool
	// Tasks are the tasks on the machine that have not ended.
	Tasks []string
}

// Hosts returns the machines.
func (c *Cloud) Hosts() (all []Host) {
	c.mu.Lock()
	hosts := slices.Clone(c.hosts)
	c.mu.Unlock()
	for _, h := range hosts {
		described := Host{Name: h.Name, Type: h.Type, Zone: h.Zone, Up: h.worker != nil && !h.dead}
		if h.worker != nil {
			described.Tasks = h.worker.ActiveTasks()
		}
		all = append(all, described)
	}
	return all
}

// ServeHTTP implements the cloud's interface.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.Method + " " + r.URL.Path {
	case "GET /machine_types":
		reply(w, http.StatusOK, map[string]any{"builds": c.Types})
	case "GET /hosts":
		reply(w, http.StatusOK, map[string]any{"hosts": c.listed(r.URL.Query().Get("after")), "more": false})
	case "POST /hosts":
		c.hire(w, r)
	case "POST /hosts/delete":
		c.remove(w, r)
	default:
		reply(w, http.StatusBadRequest, problem("no such path"))
	}
}

func (c *Cloud) listed(after string) []host {
	listed := []host{}
	for _, h := range c.hosts {
		if age := time.Since(h.rentedAt); h.Name > after && age > c.ListLag {
			h.HeldS = age.Seconds()
			listed = append(listed, *h)
		}
	}
	return listed
}

func (c *Cloud) hire(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Name  string `json:"hire"`
		Type  string `json:"build"`
		Zone  string `json:"yard"`
		Spot  bool   `json:"loaners"`
		Count int    `json:"count"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.Name == "" || request.Count < 1 || request.Count > 50 {
		reply(w, http.StatusBadRequest, problem("malformed"))
		return
	}
	names, repeated := c.hired[request.Name]
	if !repeated {
		for range min(request.Count, c.Capacity[request.Type]) {
			h := c.rent(request.Type, request.Zone, request.Spot)
			c.Capacity[request.Type]--
			names = append(names, h.Name)
			time.AfterFunc(c.Boot, func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				if slices.Contains(c.hosts, h) {
					c.boot(h)
				}
			})
		}
	}
	if len(names) == 0 {
		reply(w, http.StatusServiceUnavailable, problem("no capacity"))
		return
	}
	c.hired[request.Name] = names
	reply(w, http.StatusOK, map[string]any{"hosts": names})
}

func (c *Cloud) remove(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Hosts []string `json:"hosts"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || len(request.Hosts) > 100 {
		reply(w, http.StatusBadRequest, problem("malformed"))
		return
	}
	for _, name := range request.Hosts {
		at := slices.IndexFunc(c.hosts, func(h *host) bool { return h.Name == name })
		if at < 0 {
			continue
		}
		if c.hosts[at].stop != nil {
			c.hosts[at].stop()
		}
		if !c.hosts[at].dead {
			c.Capacity[c.hosts[at].Type]++
		}
		c.hosts = slices.Delete(c.hosts, at, at+1)
	}
	reply(w, http.StatusOK, struct{}{})
}

// JobOf returns the job of a task.
func JobOf(task string) string {
	job, _, _ := strings.Cut(task, "/")
	return job
}

// listedAfterDeath is how long a machine that died is still listed as running.
const listedAfterDeath = 30 * time.Second

// Die stops a machine with all that is on it. The cloud can't rent it out again.
func (c *Cloud) Die(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		if h.Name != name || h.stop == nil {
			continue
		}
		h.dead = true
		h.stop()
		time.AfterFunc(listedAfterDeath, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			h.Status = "failed"
		})
	}
}
