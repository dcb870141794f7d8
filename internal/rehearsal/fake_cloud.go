package rehearsal

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
)

// machineTypeJSON is the machine type that the fake cloud provisions; %d is its number of accelerators.
const machineTypeJSON = `{"label":"standard","cores":8,"accelerators":%d,"ramGb":64,"localGb":50,"pullGbPerS":1,"price":1,"marketPrice":0.4,"bootS":2,"yards":["north","south"]}`

// cloudMachine is a provisioned machine.
type cloudMachine struct {
	Name          string  `json:"uid"`
	Endpoint      string  `json:"endpoint"`
	Type          string  `json:"build"`
	Zone          string  `json:"yard"`
	Spot          bool    `json:"loaners"`
	Status        string  `json:"status"`
	HeldSeconds   float64 `json:"heldS"`
	provisionedAt time.Time
}

// Machine statuses in the cloud's list.
const (
	machineBooting = "booting"
	machineRunning = "running"
	machineFailed  = "failed"
)

// provisioningRequest asks for machines. A repeated name identifies a retry, which provisions nothing.
type provisioningRequest struct {
	Name  string `json:"hire"`
	Zone  string `json:"yard"`
	Count int    `json:"count"`
}

// machineNames lists the names of provisioned machines, or of machines to delete.
type machineNames struct {
	Names []string `json:"hosts"`
}

// fakeCloud is a fake of the cloud API that starts a fake worker for each provisioned machine.
type fakeCloud struct {
	// accelerators is the number of accelerators of each machine.
	accelerators int

	// mu guards the fields below. boot and stop are called while it is held.
	mu sync.Mutex
	// capacity is the number of machines that can still be provisioned.
	capacity   int
	lastNumber int
	machines   []*cloudMachine
	// provisioned holds the names of the provisioned machines by the name of the request.
	provisioned map[string][]string
	// nextBootFails makes the next provisioned machine stay in the booting state.
	nextBootFails bool
	// boot starts a machine's worker and returns its address; stop stops the worker and all its tasks.
	boot func(name, zone string) (endpoint string, err error)
	stop func(name string)
}

// newFakeCloud returns a cloud with capacity for the given number of machines.
func newFakeCloud(capacity, accelerators int) *fakeCloud {
	return &fakeCloud{capacity: capacity, accelerators: accelerators, provisioned: map[string][]string{}}
}

// ServeHTTP implements the cloud API.
func (c *fakeCloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.Method + " " + r.URL.Path {
	case "GET /machine_types":
		writeJSON(w, http.StatusOK, json.RawMessage(fmt.Sprintf(`{"builds":[`+machineTypeJSON+`]}`, c.accelerators)))
	case "GET /hosts":
		writeJSON(w, http.StatusOK, map[string]any{"hosts": c.listMachines(r.URL.Query().Get("after")), "more": false})
	case "POST /hosts":
		c.handleProvision(w, r)
	case "POST /hosts/delete":
		c.handleDelete(w, r)
	default:
		writeJSON(w, http.StatusNotFound, struct{}{})
	}
}

// listMachines returns the machines whose names follow the given one, in order of their names.
func (c *fakeCloud) listMachines(after string) []*cloudMachine {
	listed := []*cloudMachine{}
	for _, machine := range c.machines {
		if machine.Name > after {
			machine.HeldSeconds = time.Since(machine.provisionedAt).Seconds()
			listed = append(listed, machine)
		}
	}
	return listed
}

// handleProvision provisions the requested machines as far as capacity allows. For a repeated
// request it returns the names provisioned before.
func (c *fakeCloud) handleProvision(w http.ResponseWriter, r *http.Request) {
	var request provisioningRequest
	if exactjson.NewDecoder(r.Body).Decode(&request) != nil || request.Name == "" {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	if names, repeated := c.provisioned[request.Name]; repeated {
		writeJSON(w, http.StatusOK, machineNames{names})
		return
	}
	names := []string{}
	for range min(request.Count, c.capacity) {
		if name, ok := c.startMachine(request.Zone); ok {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
		return
	}
	c.provisioned[request.Name] = names
	writeJSON(w, http.StatusOK, machineNames{names})
}

// startMachine starts one machine. Its name is not reused even if that fails.
func (c *fakeCloud) startMachine(zone string) (name string, ok bool) {
	c.lastNumber++
	name = fmt.Sprintf("host-%06d", c.lastNumber)
	status, endpoint := machineRunning, ""
	if c.nextBootFails {
		c.nextBootFails, status = false, machineBooting
	} else {
		var err error
		if endpoint, err = c.boot(name, zone); err != nil {
			return "", false
		}
	}
	c.capacity--
	c.machines = append(c.machines, &cloudMachine{Name: name, Endpoint: endpoint, Type: "standard", Zone: zone, Status: status, provisionedAt: time.Now()})
	return name, true
}

// handleDelete deletes machines; unknown names are ignored.
func (c *fakeCloud) handleDelete(w http.ResponseWriter, r *http.Request) {
	var request machineNames
	if exactjson.NewDecoder(r.Body).Decode(&request) != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	for _, name := range request.Names {
		index := slices.IndexFunc(c.machines, func(machine *cloudMachine) bool { return machine.Name == name })
		if index < 0 {
			continue
		}
		c.stop(name)
		c.capacity++
		c.machines = slices.Delete(c.machines, index, index+1)
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// writeJSON sends a JSON response.
func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}

// provision provisions machines that no controller requested.
func (c *fakeCloud) provision(zone string, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range count {
		c.startMachine(zone) // a failed start is noticed because the run waits for all machines
	}
}

// failNextBoot makes the next provisioned machine stay in the booting state.
func (c *fakeCloud) failNextBoot() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextBootFails = true
}

// failMachine stops a machine and lists it as failed.
func (c *fakeCloud) failMachine(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop(name)
	for _, machine := range c.machines {
		if machine.Name == name {
			machine.Status = machineFailed
		}
	}
}

// runningMachines returns the names of the running machines in order of provisioning.
func (c *fakeCloud) runningMachines() (names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, machine := range c.machines {
		if machine.Status == machineRunning {
			names = append(names, machine.Name)
		}
	}
	return names
}
