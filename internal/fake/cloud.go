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

// maxPageSize is the maximum number of machines in one page of the machine list.
const maxPageSize = 500

// machineBooting is the status that a Cloud reports for all its machines.
const machineBooting = "booting"

// defaultTypes is the response that describes the only machine type of a Cloud.
const defaultTypes = `{"builds":[{"label":"small","cores":4,"accelerators":0,"ramGb":16,"localGb":20,"pullGbPerS":1,"price":1,"marketPrice":0.4,"bootS":30,"yards":["north","south"]}]}`

// Messages of the cloud API.
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
	// machineList is a page of the machine list.
	machineList struct {
		Machines []*cloudMachine `json:"hosts"`
		More     bool            `json:"more"`
	}
	// provisioningRequest asks for machines. A repeated name identifies a retry, which provisions nothing.
	provisioningRequest struct {
		Name  string `json:"hire"`
		Type  string `json:"build"`
		Zone  string `json:"yard"`
		Spot  bool   `json:"loaners"`
		Count int    `json:"count"`
	}
	// machineNames lists the names of provisioned machines, or of machines to delete.
	machineNames struct {
		Names []string `json:"hosts"`
	}
)

// Cloud is a fake of the cloud API. Its machines exist in its list only: a test starts the workers
// of the machines that should come up.
type Cloud struct {
	// mu guards the fields below. onDelete is called while it is held.
	mu    sync.Mutex
	types json.RawMessage
	// provisioned holds the names of the provisioned machines by the name of the request.
	provisioned map[string][]string
	machines    []*cloudMachine
	deleted     []string
	lastNumber  int
	// capacity is the number of machines that can still be provisioned.
	capacity int
	down     bool
	// onDelete is called for each deleted machine before the deletion is confirmed; may be nil.
	onDelete func(name string)
}

// NewCloud returns a cloud with one small machine type and capacity for the given number of machines.
func NewCloud(capacity int) *Cloud {
	return &Cloud{capacity: capacity, provisioned: map[string][]string{}, types: json.RawMessage(defaultTypes)}
}

// ProvisioningRequests returns the names of the provisioned machines by the name of the request.
func (c *Cloud) ProvisioningRequests() map[string][]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	requests := map[string][]string{}
	for name, machines := range c.provisioned {
		requests[name] = machines
	}
	return requests
}

// SetDown starts or ends an outage of the cloud API.
func (c *Cloud) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// Machine is a provisioned machine.
type Machine struct{ Name, Zone string }

// Machines returns the provisioned and not deleted machines in order of provisioning.
func (c *Cloud) Machines() (listed []Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, machine := range c.machines {
		listed = append(listed, Machine{machine.Name, machine.Zone})
	}
	return listed
}

// NotifyDeletions registers f to be called for each deleted machine from now on, before the deletion
// is confirmed and while the cloud's lock is held. It replaces the function registered before.
func (c *Cloud) NotifyDeletions(f func(name string)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onDelete = f
}

// SetCapacity sets the number of machines that can still be provisioned.
func (c *Cloud) SetCapacity(machines int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capacity = machines
}

// DeletedMachines returns the names in all deletion requests so far.
func (c *Cloud) DeletedMachines() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.deleted...)
}

// ServeHTTP implements the cloud API.
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

// list returns a page of the machines whose names follow the given one, limited by the
// requested size.
func (c *Cloud) list(after, requestedSize string) machineList {
	limit, err := strconv.Atoi(requestedSize)
	if err != nil || limit > maxPageSize {
		limit = maxPageSize
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

// provision provisions the requested machines as far as capacity allows. For a repeated request it
// returns the names provisioned before.
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

// addMachine provisions one machine and returns its name.
func (c *Cloud) addMachine(request *provisioningRequest) (name string) {
	c.lastNumber++
	name = fmt.Sprintf("host-%06d", c.lastNumber)
	c.machines = append(c.machines, &cloudMachine{Name: name, Endpoint: name + ":9000", Type: request.Type, Zone: request.Zone,
		Spot: request.Spot, Status: machineBooting, provisionedAt: time.Now()})
	return name
}

// delete deletes machines. Unknown names count as deleted too.
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
