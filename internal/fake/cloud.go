package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxPage is the most machines that the cloud lists in one answer.
const maxPage = 500

// Cloud is a stand-in of the cloud's interface. It rents names only; a test
// starts the workers that it wants to come up.
type Cloud struct {
	mu      sync.Mutex
	Types   json.RawMessage
	hires   map[string][]string
	hosts   []map[string]any
	Deleted []string
	next    int
	Room    int // machines left to rent
	Down    bool
	// onDelete is told of each machine before its deletion is confirmed; nil: nobody is.
	onDelete func(name string)
}

// NewCloud makes a cloud with one small machine type and room for n machines.
func NewCloud(n int) *Cloud {
	return &Cloud{Room: n, hires: map[string][]string{}, Types: json.RawMessage(
		`{"builds":[{"label":"small","cores":4,"accelerators":0,"ramGb":16,"localGb":20,"pullGbPerS":1,"price":1,"marketPrice":0.4,"bootS":30,"yards":["north","south"]}]}`)}
}

// Hires is what each request name rented.
func (c *Cloud) Hires() map[string][]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string][]string{}
	for k, v := range c.hires {
		out[k] = v
	}
	return out
}

// SetDown begins or ends an outage.
func (c *Cloud) SetDown(d bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Down = d
}

// Host is a machine that the cloud has rented.
type Host struct{ Name, Zone string }

// Hosts lists the machines rented and not deleted, in order.
func (c *Cloud) Hosts() (hosts []Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		hosts = append(hosts, Host{h["uid"].(string), h["yard"].(string)})
	}
	return hosts
}

// NotifyDeletions has f told of each machine that is deleted from now on, before the deletion is
// confirmed and under the cloud's lock.
func (c *Cloud) NotifyDeletions(f func(name string)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onDelete = f
}

// SetRoom sets how many more machines it rents.
func (c *Cloud) SetRoom(machines int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Room = machines
}

// Gone lists the machines deleted.
func (c *Cloud) Gone() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.Deleted...)
}

// page lists the machines that follow a name, as many as are asked for.
func (c *Cloud) page(after, most string) (hosts []map[string]any, more bool) {
	limit, err := strconv.Atoi(most)
	if err != nil || limit > maxPage {
		limit = maxPage
	}
	hosts = []map[string]any{}
	for _, h := range c.hosts {
		if h["uid"].(string) <= after {
			continue
		}
		if len(hosts) == limit {
			return hosts, true
		}
		h["heldS"] = time.Since(h["since"].(time.Time)).Seconds()
		hosts = append(hosts, h)
	}
	return hosts, false
}

// ServeHTTP answers like the cloud.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Down {
		reply(w, 503, map[string]string{"error": "trouble"})
		return
	}
	switch {
	case r.URL.Path == "/machine_types":
		reply(w, 200, c.Types)
	case r.URL.Path == "/hosts" && r.Method == "GET":
		hs, more := c.page(r.URL.Query().Get("after"), r.URL.Query().Get("most"))
		reply(w, 200, map[string]any{"hosts": hs, "more": more})
	case r.URL.Path == "/hosts":
		var in struct {
			Hire, Build, Yard string
			Loaners           bool
			Count             int
		}
		json.NewDecoder(r.Body).Decode(&in)
		if got, ok := c.hires[in.Hire]; ok {
			reply(w, 200, map[string]any{"hosts": got})
			return
		}
		n := min(in.Count, c.Room)
		if n == 0 {
			reply(w, 503, map[string]string{"error": "no capacity"})
			return
		}
		c.Room -= n
		names := []string{}
		for range n {
			c.next++
			name := fmt.Sprintf("host-%06d", c.next)
			names = append(names, name)
			c.hosts = append(c.hosts, map[string]any{"uid": name, "endpoint": name + ":9000", "build": in.Build,
				"yard": in.Yard, "loaners": in.Loaners, "status": "booting", "since": time.Now()})
		}
		c.hires[in.Hire] = names
		reply(w, 200, map[string]any{"hosts": names})
	case r.URL.Path == "/hosts/delete":
		var in struct{ Hosts []string }
		json.NewDecoder(r.Body).Decode(&in)
		for _, h := range in.Hosts {
			c.Deleted = append(c.Deleted, h)
			if c.onDelete != nil {
				c.onDelete(h)
			}
			for i := range c.hosts {
				if c.hosts[i]["uid"] == h {
					c.hosts = append(c.hosts[:i], c.hosts[i+1:]...)
					break
				}
			}
		}
		reply(w, 200, map[string]any{})
	}
}
