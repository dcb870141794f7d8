package intake

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// testCluster is a pair of nodes, a and b, that share a store. There is no leader: the tests change the
// records as a leader would.
type testCluster struct {
	t        *testing.T
	net      *fake.Network
	store    *fake.Store
	services map[string]*JobService
	nodes    map[string]http.Handler
	leader   *state.Client // for the writes that a leader would make
}

// newTestCluster returns a cluster with both nodes started on an empty store.
func newTestCluster(t *testing.T) *testCluster {
	network, store, _ := newJobService()
	c := &testCluster{t: t, net: network, store: store, services: map[string]*JobService{}, nodes: map[string]http.Handler{},
		leader: state.NewClient("state:1", network.Client("leader"), state.NewBudget(1e6, 1e6, 1, 0.6))}
	for _, name := range []string{"a", "b"} {
		c.start(name)
	}
	return c
}

// start starts a node, or restarts it with empty caches.
func (c *testCluster) start(name string) {
	_, _, service := newJobService()
	service.Store = state.NewClient("state:1", c.net.Client(name), state.NewBudget(1000, 1000, 1, 0.6))
	service.RecordCache = state.NewWatchCache(service.Store, record.JobPrefix, time.Second)
	service.Writer = name
	service.Settings.Params.Teams = append(service.Settings.Params.Teams, config.Team{Name: "blue", CPUsMax: 8})
	c.services[name] = service
	c.nodes[name] = (&Server{Jobs: service, Ready: func() bool { return true }, ExplainByLeader: explainWithoutLeader}).Handler()
}

// explainWithoutLeader implements Server.ExplainByLeader for nodes without a leader.
func explainWithoutLeader(context.Context, ids.Job) ([]string, ids.Node, error) { return nil, "", nil }

// dependentSubmission returns a submission with dependencies.
func dependentSubmission(id string, dependencies any) map[string]any {
	body := submissionOf(id)
	body["awaits"] = dependencies
	return body
}

// submit submits a job to a node and returns the HTTP status code and the job's status.
func (c *testCluster) submit(node string, body any) (int, string) {
	return c.request(node, "POST", "/v2/runs", body)
}

// request sends a request to a node and returns the HTTP status code and the job's status, if the
// response has one.
func (c *testCluster) request(node, method, path string, body any) (int, string) {
	response := serve(c.nodes[node], method, path, body)
	var answer struct{ Status string }
	if err := json.Unmarshal(response.Body.Bytes(), &answer); err != nil {
		return response.Code, ""
	}
	return response.Code, answer.Status
}

// jobStatus returns a job's status as a node reports it, or the HTTP status code if that is not 200.
func (c *testCluster) jobStatus(node, id string) string {
	code, status := c.request(node, "GET", "/v2/runs/"+id, nil)
	if code != 200 {
		return strconv.Itoa(code)
	}
	return status
}

// expectStatus checks that both nodes report a job's status as want.
func (c *testCluster) expectStatus(id, want string) {
	c.t.Helper()
	for _, node := range []string{"a", "b"} {
		if got := c.jobStatus(node, id); got != want {
			c.t.Errorf("node %s reports job %s as %q, want %q", node, id, got, want)
		}
	}
}

// storeJob stores the record of a job with the given status at the matching key.
func (c *testCluster) storeJob(id ids.Job, status record.Status, dependencies ...ids.Job) {
	c.t.Helper()
	c.commit(c.putOfJob(id, status, dependencies...))
}

// putOfJob returns the change that stores the record of a job with the given status at the matching key.
func (c *testCluster) putOfJob(id ids.Job, status record.Status, dependencies ...ids.Job) state.Op {
	c.t.Helper()
	spec, err := parseSubmission(bytes.NewReader(marshal(dependentSubmission(string(id), dependencies))))
	if err != nil {
		c.t.Fatal(err)
	}
	return c.putOfRecord(newRecord(spec, status), len(dependencies) > 0)
}

// newRecord returns the record of a job with the given status.
func newRecord(spec record.Spec, status record.Status) *record.Record {
	rec := record.New(spec, ids.TimestampOf(time.Now()), "leader")
	rec.Status = status
	return rec
}

// storeRecord stores a record at the matching key. blocked states that the job waits for its dependencies.
func (c *testCluster) storeRecord(rec *record.Record, blocked bool) {
	c.t.Helper()
	c.commit(c.putOfRecord(rec, blocked))
}

// putOfRecord returns the change that stores a record at the matching key.
func (c *testCluster) putOfRecord(rec *record.Record, blocked bool) state.Op {
	c.t.Helper()
	id := rec.Spec.ID
	key, encode := record.JobKey(id), rec.Encode
	switch {
	case rec.Status.IsTerminal():
		key = record.FinalRecordKey(id)
	case blocked:
		key, encode = record.WaitKey(id), rec.EncodeWaiting
	}
	raw, fits := encode(64 * 1024)
	if !fits {
		c.t.Fatal("record does not fit into 64 KiB")
	}
	return state.Op{Put: key, Value: raw}
}

// commit applies operations to the store with the leader's client.
func (c *testCluster) commit(ops ...state.Op) {
	c.t.Helper()
	if _, err := c.leader.Commit(c.t.Context(), state.Txn{Ops: ops}, state.Urgent); err != nil {
		c.t.Fatal(err)
	}
}

// marshal encodes a request body as JSON. It panics on failure, which valid test data never causes.
func marshal(body any) []byte {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return raw
}

// storedKey returns the key at which a job's record is stored. If there are several, it returns them
// concatenated; if there is none, an empty string.
func (c *testCluster) storedKey(id ids.Job) (keys string) {
	for _, key := range []string{record.JobKey(id), record.WaitKey(id), record.FinalRecordKey(id)} {
		if c.store.Value(key) != nil {
			keys += key
		}
	}
	return keys
}
