package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// maxListed is the most machines that the cloud lists in one answer.
const maxListed = 500

// machineBooting is the status of all machines of a Cloud.
const machineBooting = "booting"

// defaultTypes is the machine type that a Cloud provisions.
const defaultTypes = `{"builds":[{"label":"small","cores":4,"accelerators":0,"ramGb":16,"localGb":20,"pullGbPerS":1,"price":1,"marketPrice":0.4,"bootS":30,"yards":["north","south"]}]}`

// The cloud's messages.
type (
	// cloudMachine is a provisioned machine.
	cloudMachine struct {
		Name          string  `json:"uid"`
		Endpoint      string  `json:"endpoint"`
		Type          string  `json:"build"`
		Zone          string  `json:"yard"`
		Spot          bool    `json:"loaners"`
		Status        string  `json:"status"`
		HeldSeconds   float64 `json:"heldS"`
		provisionedAt time.Time
	}
	// machineList is a page of the machines provisioned.
	machineList struct {
		Machines []*cloudMachine `json:"hosts"`
		More     bool            `json:"more"`
	}
	// provisioningRequest asks for machines; the same name again provisions nothing more.
	provisioningRequest struct {
		Name  string `json:"hire"`
		Type  string `json:"build"`
		Zone  string `json:"yard"`
		Spot  bool   `json:"loaners"`
		Count int    `json:"count"`
	}
	// machineNames names machines that were provisioned, or are to be deleted.
	machineNames struct {
		Names []string `json:"hosts"`
	}
)

// Cloud is a fake of the cloud's interface. It provisions names only; a test starts the workers that it
// wants to come up.
type Cloud struct {
	// mu guards the fields below. onDelete is called under it.
	mu    sync.Mutex
	types json.RawMessage
	// provisioned are the machines provisioned, by name of the request.
	provisioned map[string][]string
	machines    []*cloudMachine
	deleted     []string
	lastNumber  int
	// capacity is how many more machines it provisions.
	capacity int
	down     bool
	// onDelete is told of each machine before its deletion is confirmed; nil: nobody is.
	onDelete func(name string)
}

// NewCloud makes a cloud with one small machine type and room for so many machines.
func NewCloud(capacity int) *Cloud {
	return &Cloud{capacity: capacity, provisioned: map[string][]string{}, types: json.RawMessage(defaultTypes)}
}

// ProvisioningRequests is what each provisioning request provisioned, by its name.
func (c *Cloud) ProvisioningRequests() map[string][]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	requests := map[string][]string{}
	for name, machines := range c.provisioned {
		requests[name] = machines
	}
	return requests
}

// SetDown begins or ends an outage.
func (c *Cloud) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// Machine is a machine that the cloud has provisioned.
type Machine struct{ Name, Zone string }

// Machines lists the machines provisioned and not deleted, in order.
func (c *Cloud) Machines() (hosts []Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, machine := range c.machines {
		hosts = append(hosts, Machine{machine.Name, machine.Zone})
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

// SetCapacity sets how many more machines it provisions.
func (c *Cloud) SetCapacity(machines int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capacity = machines
}

// DeletedMachines lists the machines deleted.
func (c *Cloud) DeletedMachines() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.deleted...)
}

// ServeHTTP answers like the cloud.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		writeJSON(w, http.StatusServiceUnavailable, errUnavailable)
		return
	}
	switch {
	case r.URL.Path == "/machine_types":
		writeJSON(w, http.StatusOK, c.types)
	case r.URL.Path == "/hosts" && r.Method == http.MethodGet:
		query := r.URL.Query()
		writeJSON(w, http.StatusOK, c.list(query.Get("after"), query.Get("most")))
	case r.URL.Path == "/hosts":
		c.provision(w, r)
	case r.URL.Path == "/hosts/delete":
		c.delete(w, r)
	}
}

// list lists the machines that follow a name, as many as are asked for.
func (c *Cloud) list(after, most string) machineList {
	limit, err := strconv.Atoi(most)
	if err != nil || limit > maxListed {
		limit = maxListed
	}
	page := machineList{Machines: []*cloudMachine{}}
	for _, machine := range c.machines {
		if machine.Name <= after {
			continue
		}
		if len(page.Machines) == limit {
			page.More = true
			break
		}
		machine.HeldSeconds = time.Since(machine.provisionedAt).Seconds()
		page.Machines = append(page.Machines, machine)
	}
	return page
}

// provision provisions as many machines as there is room for; a repeated request provisions nothing.
func (c *Cloud) provision(w http.ResponseWriter, r *http.Request) {
	var request provisioningRequest
	if !readJSON(w, r, &request) {
		return
	}
	if names, repeated := c.provisioned[request.Name]; repeated {
		writeJSON(w, http.StatusOK, machineNames{names})
		return
	}
	count := min(request.Count, c.capacity)
	if count == 0 {
		writeJSON(w, http.StatusServiceUnavailable, errorMessage{"no capacity"})
		return
	}
	c.capacity -= count
	names := []string{}
	for range count {
		names = append(names, c.addMachine(&request))
	}
	c.provisioned[request.Name] = names
	writeJSON(w, http.StatusOK, machineNames{names})
}

// addMachine provisions one machine.
func (c *Cloud) addMachine(request *provisioningRequest) (name string) {
	c.lastNumber++
	name = fmt.Sprintf("host-%06d", c.lastNumber)
	c.machines = append(c.machines, &cloudMachine{Name: name, Endpoint: name + ":9000", Type: request.Type, Zone: request.Zone,
		Spot: request.Spot, Status: machineBooting, provisionedAt: time.Now()})
	return name
}

// delete deletes machines; names that are not known count as deleted too.
func (c *Cloud) delete(w http.ResponseWriter, r *http.Request) {
	var request machineNames
	if !readJSON(w, r, &request) {
		return
	}
	for _, name := range request.Names {
		c.deleted = append(c.deleted, name)
		if c.onDelete != nil {
			c.onDelete(name)
		}
		c.machines = slices.DeleteFunc(c.machines, func(machine *cloudMachine) bool { return machine.Name == name })
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
