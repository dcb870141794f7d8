package intake

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// region is two nodes, a and b, on one store, without a leader: what becomes of the
// records is up to the test.
type region struct {
	t        *testing.T
	net      *fake.Net
	store    *fake.Store
	services map[string]*JobService
	nodes    map[string]http.Handler
	op       *state.Client // writes as the leader does
}

func newRegion(t *testing.T) *region {
	n, s, _ := jobService()
	r := &region{t: t, net: n, store: s, services: map[string]*JobService{}, nodes: map[string]http.Handler{},
		op: state.NewClient("state:1", n.Client("leader"), state.NewBudget(1e6, 1e6, 1, 0.6))}
	for _, name := range []string{"a", "b"} {
		r.start(name)
	}
	return r
}

// start starts a node, or starts it again, which then remembers nothing.
func (r *region) start(name string) {
	_, _, d := jobService()
	d.State = state.NewClient("state:1", r.net.Client(name), state.NewBudget(1000, 1000, 1, 0.6))
	d.Jobs = state.NewMirror(d.State, record.JobPrefix, time.Second)
	d.Writer = name
	d.Set.Params.Teams = append(d.Set.Params.Teams, config.Team{Name: "blue", CPUsMax: 8})
	r.services[name] = d
	r.nodes[name] = (&Site{Jobs: d, Ready: func() bool { return true }, Live: nobodyLeads}).Handler()
}

func nobodyLeads(context.Context, ids.Job) ([]string, ids.Node, error) { return nil, "", nil }

// awaits is a submission that awaits others.
func awaits(id string, names any) map[string]any {
	s := good()
	s["uid"], s["awaits"] = id, names
	return s
}

// submit submits at a node and returns code and status.
func (r *region) submit(node string, body any) (int, string) {
	return r.ask(node, "POST", "/v2/runs", body)
}

func (r *region) ask(node, method, path string, body any) (int, string) {
	out := call(r.nodes[node], method, path, body)
	var told struct{ Status string }
	json.Unmarshal(out.Body.Bytes(), &told)
	return out.Code, told.Status
}

// status is what a node calls a job.
func (r *region) status(node, id string) string {
	code, status := r.ask(node, "GET", "/v2/runs/"+id, nil)
	if code != 200 {
		return strconv.Itoa(code)
	}
	return status
}

// told checks what both nodes call a job.
func (r *region) told(id, want string) {
	r.t.Helper()
	for _, node := range []string{"a", "b"} {
		if got := r.status(node, id); got != want {
			r.t.Errorf("%s calls %s %q, not %q", node, id, got, want)
		}
	}
}

// put stores a job in any state, at the key that fits.
func (r *region) put(id ids.Job, how record.Status, needs ...ids.Job) {
	r.t.Helper()
	spec, err := parse(strings.NewReader(string(jsonOf(awaits(string(id), needs)))))
	if err != nil {
		r.t.Fatal(err)
	}
	r.keep(recordOf(spec, how), len(needs) > 0)
}

func recordOf(spec record.Spec, how record.Status) *record.Record {
	rec := record.New(spec, ids.WallOf(time.Now()), "leader")
	rec.Status = how
	return rec
}

// keep stores a record.
func (r *region) keep(rec *record.Record, waits bool) {
	r.t.Helper()
	id := rec.Spec.ID
	key, encode := record.JobKey(id), rec.Encode
	switch {
	case rec.Status.Over():
		key = record.EndKey(id)
	case waits:
		key, encode = record.WaitKey(id), rec.EncodeWaiting
	}
	raw, ok := encode(64 * 1024)
	if !ok {
		r.t.Fatal("does not fit")
	}
	r.commit(state.Op{Put: key, Value: raw})
}

func (r *region) commit(ops ...state.Op) {
	r.t.Helper()
	if _, err := r.op.Commit(r.t.Context(), state.Txn{Then: ops}, state.Urgent); err != nil {
		r.t.Fatal(err)
	}
}

func jsonOf(v any) []byte {
	raw, _ := json.Marshal(v)
	return raw
}

// keyOf is the one key at which a job's record is.
func (r *region) keyOf(id ids.Job) (at string) {
	for _, key := range []string{record.JobKey(id), record.WaitKey(id), record.EndKey(id)} {
		if r.store.Value(key) != nil {
			at += key
		}
	}
	return at
}
