package rehearsal

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// machineTypeJSON is the machine type that the fake cloud provisions, with so many accelerators.
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

// Status of a machine, as the cloud lists it.
const (
	machineBooting = "booting"
	machineRunning = "running"
	machineFailed  = "failed"
)

// provisioningRequest asks for machines; the same name again provisions nothing more.
type provisioningRequest struct {
	Name  string `json:"hire"`
	Zone  string `json:"yard"`
	Count int    `json:"count"`
}

// machineNames names machines that were provisioned, or are to be deleted.
type machineNames struct {
	Names []string `json:"hosts"`
}

// fakeCloud answers like the cloud, and starts a worker for each machine provisioned.
type fakeCloud struct {
	// accelerators are those of each machine.
	accelerators int

	// mu guards the fields below. boot and stop are called under it.
	mu sync.Mutex
	// capacity is how many more machines it provisions.
	capacity   int
	lastNumber int
	machines   []*cloudMachine
	// provisioned are the machines provisioned, by name of the request.
	provisioned map[string][]string
	// nextBootFails has the next machine that is provisioned never come up.
	nextBootFails bool
	// boot starts a machine's worker and returns its address; stop ends it with all on it.
	boot func(name, zone string) (endpoint string, err error)
	stop func(name string)
}

// newFakeCloud makes a cloud with room for so many machines.
func newFakeCloud(capacity, accelerators int) *fakeCloud {
	return &fakeCloud{capacity: capacity, accelerators: accelerators, provisioned: map[string][]string{}}
}

// ServeHTTP answers like the cloud.
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

// listMachines lists the machines after a name, in order of their names.
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

// handleProvision provisions as many machines as there is room for; a repeated request provisions nothing.
func (c *fakeCloud) handleProvision(w http.ResponseWriter, r *http.Request) {
	var request provisioningRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.Name == "" {
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

// startMachine starts one machine; its name is used up also if that fails.
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

// handleDelete deletes machines; unknown names are passed over.
func (c *fakeCloud) handleDelete(w http.ResponseWriter, r *http.Request) {
	var request machineNames
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	for _, name := range request.Names {
		at := slices.IndexFunc(c.machines, func(machine *cloudMachine) bool { return machine.Name == name })
		if at < 0 {
			continue
		}
		c.stop(name)
		c.capacity++
		c.machines = slices.Delete(c.machines, at, at+1)
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// writeJSON answers a request with JSON.
func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has gone away
}

// provision provisions machines that no controller asked for.
func (c *fakeCloud) provision(zone string, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range count {
		c.startMachine(zone) // the run waits for all machines, so one that does not start is missed
	}
}

// failNextBoot has the next machine that is provisioned never come up.
func (c *fakeCloud) failNextBoot() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextBootFails = true
}

// failMachine has a machine stop by itself; the list tells so.
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

// runningMachines lists the machines that run, in order.
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
