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

// requestUntilDecided sends a request as users do, to either node at random once a second, until one
// accepts or rejects it, for a minute at most.
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

// nodeNames are the controllers of a testCluster; users ask each of them.
var nodeNames = []string{"a", "b"}

// otherNode names the other one of the two.
func otherNode(name string) string {
	if name == nodeNames[0] {
		return nodeNames[1]
	}
	return nodeNames[0]
}

// askAllNodes asks all nodes for a job's status, or repeats its submission, within milliseconds.
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

// call sends a user's request to a node, observed by the rules: status code 0 is no response.
func (c *testCluster) call(node, method, path string, body any) (int, map[string]any) {
	raw, _ := json.Marshal(body)
	return c.observeCall(node, method, path, raw, func() (int, map[string]any) { return c.request(node, method, path, raw) })
}

// observeCall has the rules observe a user's request and its response.
func (c *testCluster) observeCall(node, method, path string, body []byte, call func() (int, map[string]any)) (int, map[string]any) {
	sent := c.rules.RequestSent(method, path, body)
	code, out := call()
	c.rules.ResponseReceived(sent, node, method, path, body, code, out)
	return code, out
}

// request sends a request and decodes the fields of its response.
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

// submit submits a job, which the node must accept at once.
func (c *testCluster) submit(node string, job jobSpec) {
	c.t.Helper()
	if code, out := c.call(node, "POST", "/v2/runs", job); code != 201 {
		c.t.Fatalf("submission answered %d %v", code, out)
	}
}

// status asks a node for the status of a job: "" if it doesn't tell.
func (c *testCluster) status(node, id string) string {
	_, out := c.call(node, "GET", "/v2/runs/"+id, nil)
	s, _ := out["status"].(string)
	return s
}

// cancelUntilAnswered cancels a job as its user does, until a node answers, and returns the status.
func (c *testCluster) cancelUntilAnswered(job string) string {
	for range 40 {
		for _, node := range nodeNames {
			if code, out := c.call(node, "POST", "/v2/runs/"+job+"/cancel", nil); code == 200 {
				return fmt.Sprint(out["status"])
			}
		}
		time.Sleep(time.Second)
	}
	c.t.Errorf("the cancellation of %s is not answered", job)
	return ""
}

// confirmCancellation cancels a job at a node until it confirms, and returns when it did.
func (c *testCluster) confirmCancellation(node *testNode, job string) time.Time {
	c.t.Helper()
	c.eventually(3*time.Second, "cancellation of "+job+" confirmed", func() bool {
		code, out := c.call(node.name, "POST", "/v2/runs/"+job+"/cancel", nil)
		return code == 200 && out["status"] == "cancelled"
	})
	return time.Now()
}
