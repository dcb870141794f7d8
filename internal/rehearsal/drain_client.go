package rehearsal

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

// commandRetryInterval is the time between attempts to send a command.
const commandRetryInterval = time.Second

// The parts of the response to GET /v2/status that a rehearsal reads. Each controller reports its
// own view, and only the leader reports Pool.
type (
	leaderStatus struct {
		Leader string `json:"owner"`
		Node   string `json:"node"`
	}
	reportingStatus struct {
		Pool *reportingMachines `json:"pool"`
	}
	reportingMachines struct {
		Reporting int `json:"heard"`
	}
	cordonedStatus struct {
		Pool *cordonedCount `json:"pool"`
	}
	cordonedCount struct {
		Cordoned int `json:"cordoned"`
	}
	metricsStatus struct {
		Counts map[string]int `json:"counts"`
	}
)

// sendCommand sends a command to one controller after the other until one of them executes it.
func (r *drainRun) sendCommand(deadline time.Time, path string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode command %s: %w", path, err)
	}
	var lastErr error
	for attempt := 0; time.Now().Before(deadline); attempt++ {
		controller := r.cluster.controllers[attempt%len(r.cluster.controllers)]
		lastErr = r.postCommand(controller, path, raw)
		if lastErr == nil {
			r.cluster.record(Event{Kind: CommandAccepted, Where: controller.name, Why: path})
			return nil
		}
		time.Sleep(commandRetryInterval)
	}
	return fmt.Errorf("%w: no controller executed command %s: %w", errDeadlineExceeded, path, lastErr)
}

// postCommand sends a command to one controller.
func (r *drainRun) postCommand(controller *controllerProcess, path string, body []byte) error {
	response, err := r.cluster.http.Post("http://"+controller.clientAddress+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // nothing is read from it afterwards
	answer, _ := io.ReadAll(response.Body)       // only quoted in the error, even if incomplete
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("controller %s answered with status %d: %s", controller.name, response.StatusCode, answer)
	}
	return nil
}

// fetchStatus calls GET /v2/status at a controller and decodes the part that status declares.
func (r *drainRun) fetchStatus(controller *controllerProcess, status any) error {
	response, err := r.cluster.http.Get("http://" + controller.clientAddress + "/v2/status")
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // nothing is read from it afterwards
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("read status of controller %s: %w", controller.name, err)
	}
	if err := exactjson.Unmarshal(raw, status); err != nil {
		return fmt.Errorf("decode status of controller %s: %w", controller.name, err)
	}
	return nil
}

// leader returns the leader according to the first controller that names one of the controllers, or
// the first controller if none does.
func (r *drainRun) leader() *controllerProcess {
	for _, controller := range r.cluster.controllers {
		var status leaderStatus
		if r.fetchStatus(controller, &status) != nil || status.Leader == "" {
			continue
		}
		for _, other := range r.cluster.controllers {
			if other.name == status.Leader {
				return other
			}
		}
	}
	return r.cluster.controllers[0]
}

// permitCounts returns the numbers of eviction permits granted and refused, summed over the
// controllers that answer; the counts of killed processes are lost.
func (r *drainRun) permitCounts() map[string]int {
	sums := map[string]int{}
	for _, controller := range r.cluster.controllers {
		var status metricsStatus
		if r.fetchStatus(controller, &status) != nil {
			continue
		}
		for _, name := range []string{rollout.CounterPermitsGranted, rollout.CounterPermitsRefused} {
			sums[name] += status.Counts[name]
		}
	}
	return sums
}

// unknownCount is the value of a count that no controller reports.
const unknownCount = -1

// cordonedMachines returns the number of machines that the leader reports as cordoned, or unknownCount.
func (r *drainRun) cordonedMachines() int {
	for _, controller := range r.cluster.controllers {
		var status cordonedStatus
		if r.fetchStatus(controller, &status) == nil && status.Pool != nil {
			return status.Pool.Cordoned
		}
	}
	return unknownCount
}

// asSeconds converts a duration to the type that rollout specs use.
func asSeconds(d time.Duration) ids.Seconds { return ids.Seconds(d.Seconds()) }
