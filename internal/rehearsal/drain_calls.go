package rehearsal

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

// commandRetryInterval spaces the tries of a command.
const commandRetryInterval = time.Second

// The parts of GET /v2/status that a rehearsal looks at. Each controller tells its own, and Pool is
// missing at all but the leader.
type (
	leaderPage struct {
		Leader string `json:"owner"`
		Node   string `json:"node"`
	}
	heardPage struct {
		Pool *heardMachines `json:"pool"`
	}
	heardMachines struct {
		Heard int `json:"heard"`
	}
	cordonedPage struct {
		Pool *cordonedCount `json:"pool"`
	}
	cordonedCount struct {
		Cordoned int `json:"cordoned"`
	}
	countsPage struct {
		Counts map[string]int `json:"counts"`
	}
)

// sendCommand calls one controller after the other until one carries a command out.
func (r *drainRun) sendCommand(deadline time.Time, path string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode the command %s: %w", path, err)
	}
	var last error
	for next := 0; time.Now().Before(deadline); next++ {
		controller := r.cluster.controllers[next%len(r.cluster.controllers)]
		last = r.postCommand(controller, path, raw)
		if last == nil {
			r.cluster.record(Event{Kind: CommandAccepted, Where: controller.name, Why: path})
			return nil
		}
		time.Sleep(commandRetryInterval)
	}
	return fmt.Errorf("%w: %s: %w", errDeadlineExceeded, path, last)
}

// postCommand has one controller carry out a command.
func (r *drainRun) postCommand(controller *controllerProcess, path string, body []byte) error {
	response, err := r.cluster.http.Post("http://"+controller.usersAddress+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // nothing is read from it afterwards
	answer, _ := io.ReadAll(response.Body)       // only quoted in the error, as far as it came
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answers %d %s", controller.name, response.StatusCode, answer)
	}
	return nil
}

// fetchStatus decodes a part of a controller's GET /v2/status.
func (r *drainRun) fetchStatus(controller *controllerProcess, page any) error {
	response, err := r.cluster.http.Get("http://" + controller.usersAddress + "/v2/status")
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // nothing is read from it afterwards
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("read the status of %s: %w", controller.name, err)
	}
	if err := json.Unmarshal(raw, page); err != nil {
		return fmt.Errorf("decode the status of %s: %w", controller.name, err)
	}
	return nil
}

// leader is the controller that leads, as far as any of them knows; the first one if none does.
func (r *drainRun) leader() *controllerProcess {
	for _, controller := range r.cluster.controllers {
		var page leaderPage
		if r.fetchStatus(controller, &page) != nil || page.Leader == "" {
			continue
		}
		for _, other := range r.cluster.controllers {
			if other.name == page.Leader {
				return other
			}
		}
	}
	return r.cluster.controllers[0]
}

// permitCounts is how often permits were given and refused, as far as the controllers that still
// run know.
func (r *drainRun) permitCounts() map[string]int {
	sums := map[string]int{}
	for _, controller := range r.cluster.controllers {
		var page countsPage
		if r.fetchStatus(controller, &page) != nil {
			continue
		}
		for _, name := range []string{rollout.PermitsGiven, rollout.PermitsRefused} {
			sums[name] += page.Counts[name]
		}
	}
	return sums
}

// unknownCount stands for a count that no controller tells.
const unknownCount = -1

// cordonedMachines is how many machines the leader still keeps cordoned, or unknownCount.
func (r *drainRun) cordonedMachines() int {
	for _, controller := range r.cluster.controllers {
		var page cordonedPage
		if r.fetchStatus(controller, &page) == nil && page.Pool != nil {
			return page.Pool.Cordoned
		}
	}
	return unknownCount
}

// asSeconds is a duration as settings have it.
func asSeconds(d time.Duration) ids.Seconds { return ids.Seconds(d.Seconds()) }
