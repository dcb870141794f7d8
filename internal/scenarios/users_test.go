package scenarios

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// requestUntilDecided sends a user's request to a random node once a second until a node accepts or
// rejects it, for at most a minute.
func (c *testCluster) requestUntilDecided(random *randomSource, method, path string, body any) (code int, status string) {
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Second) {
		var out map[string]any
		code, out = c.call(random.node(), method, path, body)
		switch code {
		case 200, 201, 400, 404, 422:
			status, _ = out["status"].(string)
			return code, status
		}
	}
	return code, ""
}

// nodeNames lists the controllers of a testCluster. Users send requests to each of them.
var nodeNames = []string{"a", "b"}

// otherNode returns the name of the other controller.
func otherNode(name string) string {
	if name == nodeNames[0] {
		return nodeNames[1]
	}
	return nodeNames[0]
}

// askAllNodes sends three concurrent requests for a job to each node within 6 ms. Each request asks
// for the job's status or repeats its submission.
func (c *testCluster) askAllNodes(random *randomSource, job jobSpec) {
	var wg sync.WaitGroup
	for range 3 {
		for _, node := range nodeNames {
			delay := random.milliseconds(0, 6)
			wg.Go(func() {
				time.Sleep(delay)
				if delay%3 == 0 {
					c.call(node, "POST", "/v2/runs", job)
				} else {
					c.call(node, "GET", "/v2/runs/"+job.id(), nil)
				}
			})
		}
	}
	wg.Wait()
}

// call sends a user's request to a node, and has the rules check the response. A status code of 0
// means that there was no response.
func (c *testCluster) call(node, method, path string, body any) (int, map[string]any) {
	raw, _ := json.Marshal(body)
	return c.observeCall(node, method, path, raw, func() (int, map[string]any) { return c.request(node, method, path, raw) })
}

// observeCall calls a function that sends a user's request, and has the rules check the response.
func (c *testCluster) observeCall(node, method, path string, body []byte, call func() (int, map[string]any)) (int, map[string]any) {
	sent := c.rules.ObserveRequest(method, path, body)
	code, out := call()
	c.rules.ObserveResponse(sent, node, method, path, body, code, out)
	return code, out
}

// request sends a request, and returns the status code and the fields of its response.
func (c *testCluster) request(node, method, path string, raw []byte) (int, map[string]any) {
	ctx, cancel := context.WithTimeout(c.ctx, 5*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+apiAddress(node)+path, bytes.NewReader(raw))
	res, err := c.network.Client("user").Do(req)
	if err != nil {
		return 0, nil
	}
	out := map[string]any{}
	_ = json.NewDecoder(res.Body).Decode(&out) // a response without a JSON body has no fields
	return res.StatusCode, out
}

// submit submits a job, and fails the test unless the node accepts it at the first attempt.
func (c *testCluster) submit(node string, job jobSpec) {
	c.t.Helper()
	if code, out := c.call(node, "POST", "/v2/runs", job); code != 201 {
		c.t.Fatalf("submission got status code %d and fields %v, want 201", code, out)
	}
}

// status returns the status of a job as reported by a node, or "" if the node reports none.
func (c *testCluster) status(node, id string) string {
	_, out := c.call(node, "GET", "/v2/runs/"+id, nil)
	s, _ := out["status"].(string)
	return s
}

// cancelUntilAnswered sends a user's cancellation of a job until a node answers, and returns the
// status in the answer.
func (c *testCluster) cancelUntilAnswered(job string) string {
	for range 40 {
		for _, node := range nodeNames {
			if code, out := c.call(node, "POST", "/v2/runs/"+job+"/cancel", nil); code == 200 {
				return fmt.Sprint(out["status"])
			}
		}
		time.Sleep(time.Second)
	}
	c.t.Errorf("no node answered the cancellation of %s", job)
	return ""
}

// cancelUntilConfirmed cancels a job at a node until the node confirms, and returns the time of the
// confirmation.
func (c *testCluster) cancelUntilConfirmed(node *testNode, job string) time.Time {
	c.t.Helper()
	c.eventually(3*time.Second, "cancellation of "+job+" confirmed", func() bool {
		code, out := c.call(node.name, "POST", "/v2/runs/"+job+"/cancel", nil)
		return code == 200 && out["status"] == "cancelled"
	})
	return time.Now()
}
