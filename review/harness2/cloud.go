package harness2

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

// host is a machine of the cloud.
type host struct {
	worker  *Worker // nil while it boots
	name    string
	build   string
	zone    string
	spot    bool
	created time.Time
}

// Cloud is a stand-in of the cloud. It rents up to a number of machines of each type and zone.
type Cloud struct {
	// Boot is how long a machine takes to come up.
	Boot time.Duration

	world     *World
	types     []MachineType
	names     []string
	addresses []string

	mu       sync.Mutex
	number   int
	hosts    map[string]*host
	hires    map[string][]string
	capacity map[string]int // by type and zone
}

// NewCloud returns a cloud whose machines report to the controllers with these names and addresses.
func NewCloud(world *World, types []MachineType, names, addresses []string) *Cloud {
	return &Cloud{Boot: 2 * time.Second, world: world, types: types, names: names, addresses: addresses, hosts: map[string]*host{}, hires: map[string][]string{},
		capacity: map[string]int{}}
}

// SetCapacity sets how many more machines of a type can be rented in a zone.
func (c *Cloud) SetCapacity(build, zone string, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capacity[build+" "+zone] = count
}

// Up adds a machine that is up already.
func (c *Cloud) Up(build, zone string, spot bool) *Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.add(build, zone, spot)
	h.worker = c.world.Start(h.name, build, zone, spot, c.names, c.addresses)
	return h.worker
}

// Running returns how many machines are up.
func (c *Cloud) Running() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		if h.worker != nil {
			n++
		}
	}
	return n
}

func (c *Cloud) add(build, zone string, spot bool) *host {
	c.number++
	h := &host{name: fmt.Sprintf("host-%06d", c.number), build: build, zone: zone, spot: spot, created: time.Now()}
	c.hosts[h.name] = h
	return h
}

func (c *Cloud) bootLater(h *host) {
	time.Sleep(c.Boot)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hosts[h.name] == h {
		h.worker = c.world.Start(h.name, h.build, h.zone, h.spot, c.names, c.addresses)
	}
}

// ServeHTTP serves the cloud's interface.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.Method + " " + r.URL.Path {
	case "GET /machine_types":
		reply(w, http.StatusOK, map[string]any{"builds": c.types})
	case "GET /hosts":
		reply(w, http.StatusOK, map[string]any{"hosts": c.list(r.URL.Query().Get("after")), "more": false})
	case "POST /hosts":
		c.hire(w, body)
	case "POST /hosts/delete":
		c.remove(w, body)
	default:
		reply(w, http.StatusNotFound, map[string]string{"error": "no such path"})
	}
}

func (c *Cloud) list(after string) []map[string]any {
	listed := []map[string]any{}
	for _, h := range c.hosts {
		if h.name <= after {
			continue
		}
		status, endpoint := "booting", ""
		if h.worker != nil {
			status, endpoint = "running", h.worker.Endpoint
		}
		listed = append(listed, map[string]any{"uid": h.name, "endpoint": endpoint, "build": h.build, "yard": h.zone, "loaners": h.spot, "status": status,
			"heldS": time.Since(h.created).Seconds()})
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i]["uid"].(string) < listed[j]["uid"].(string) })
	return listed
}

func (c *Cloud) hire(w http.ResponseWriter, body []byte) {
	var in struct {
		Hire  string `json:"hire"`
		Build string `json:"build"`
		Yard  string `json:"yard"`
		Spot  bool   `json:"loaners"`
		Count int    `json:"count"`
	}
	if json.Unmarshal(body, &in) != nil || in.Hire == "" || in.Count < 1 || in.Count > 50 {
		reply(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	if names := c.hires[in.Hire]; names != nil {
		reply(w, http.StatusOK, map[string]any{"hosts": names})
		return
	}
	var names []string
	for key := in.Build + " " + in.Yard; len(names) < in.Count && c.capacity[key] > 0; c.capacity[key]-- {
		h := c.add(in.Build, in.Yard, in.Spot)
		names = append(names, h.name)
		go c.bootLater(h)
	}
	if len(names) == 0 {
		reply(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
		return
	}
	c.hires[in.Hire] = names
	c.world.Record.Add("cloud rents %v for %s", names, in.Hire)
	reply(w, http.StatusOK, map[string]any{"hosts": names})
}

func (c *Cloud) remove(w http.ResponseWriter, body []byte) {
	var in struct {
		Hosts []string `json:"hosts"`
	}
	if json.Unmarshal(body, &in) != nil || len(in.Hosts) > 100 {
		reply(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	for _, name := range in.Hosts {
		if h := c.hosts[name]; h != nil {
			delete(c.hosts, name)
			c.capacity[h.build+" "+h.zone]++
			if h.worker != nil {
				h.worker.Kill()
			}
		}
	}
	c.world.Record.Add("cloud takes back %v", in.Hosts)
	reply(w, http.StatusOK, map[string]any{})
}
