package commit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// fakeCluster returns the given changes and records the calls that report results. It has no job to look
// up.
type fakeCluster struct {
	Lookups
	changes []Change
	raise   bool
	calls   []string
}

func (c *fakeCluster) logCall(format string, args ...any) {
	c.calls = append(c.calls, fmt.Sprintf(format, args...))
}

func (c *fakeCluster) CollectChanges(Limits) ([]Change, bool) {
	raise := c.raise
	c.raise = false
	return c.changes, raise
}

func (c *fakeCluster) ChangesStored(changes []Change, _ ids.Revision, readAfter time.Time) {
	c.logCall("%d stored, read first %v", len(changes), !readAfter.IsZero())
}

func (c *fakeCluster) RecordFound(job *workload.Job, stored *record.Record, _ ids.Revision) {
	c.logCall("%s found, by %s", job.ID(), stored.Writer)
}

func (c *fakeCluster) MoveFound(waiting *workload.WaitingJob, _ *record.Record, _ ids.Revision) {
	c.logCall("%s moved", waiting.ID())
}

func (c *fakeCluster) Writer() string                      { return "leader" }
func (c *fakeCluster) Generation() ids.Generation          { return 7 }
func (c *fakeCluster) CommitRequested() <-chan struct{}    { return nil }
func (c *fakeCluster) GenerationRaised(g ids.Generation)   { c.logCall("generation %d", g) }
func (c *fakeCluster) ValueLimit() int                     { return 1000 }
func (c *fakeCluster) RecordEnded(j *workload.Job)         { c.logCall("%s ended", j.ID()) }
func (c *fakeCluster) MoveNotFound(w *workload.WaitingJob) { c.logCall("%s gone", w.ID()) }
func (c *fakeCluster) CancellationFound(id ids.Job, revision ids.Revision) {
	c.logCall("%s cancelled %v", id, revision > 0)
}

// fixture is a Committer with a fake cluster and a fake store.
type fixture struct {
	*Committer
	cluster *fakeCluster
	network *fake.Network
	server  *fake.Store
}

// newFixture returns a fixture whose callbacks are recorded by the fake cluster as well.
func newFixture() *fixture {
	f := &fixture{cluster: &fakeCluster{}, network: fake.NewNetwork(), server: fake.NewStore()}
	f.network.Listen("state:1", f.server)
	client := state.NewClient("state:1", f.network.Client("leader"), state.NewBudget(1000, 1000, 1, 0.6))
	events := Events{Superseded: func(string) { f.cluster.logCall("superseded") }, Stored: func() { f.cluster.logCall("starts") }}
	f.Committer = New(f.cluster, client, "node", record.KeysOf(0, 1), 0, events)
	return f
}

// put stores a value under a key.
func (f *fixture) put(t *testing.T, key string, value any) {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.store.Commit(context.Background(), state.Txn{Ops: []state.Op{{Put: key, Value: raw}}}, state.Urgent); err != nil {
		t.Fatal(err)
	}
}

// calls returns the recorded calls and clears them.
func (f *fixture) calls() string {
	defer func() { f.cluster.calls = nil }()
	return strings.Join(f.cluster.calls, "; ")
}

// testRecord returns the record of a job that another writer stored.
func testRecord(id ids.Job, status record.Status) *record.Record {
	stored := record.New(record.Spec{ID: id, Tasks: 1}, 1, "user")
	stored.Status = status
	return stored
}

// jobChange returns a change that stores a job's record, conditional on a revision of a key.
func jobChange(key string, revision ids.Revision) Change {
	value := json.RawMessage(`{"writer":"leader"}`)
	return Change{Job: workload.NewJob(testRecord("job", record.Queued), 0), Ops: []state.Op{{Put: record.JobKey("job"), Value: value}},
		Conditions: []state.Condition{{Key: key, Revision: revision}}}
}

// moveChange returns a change that takes a job out of the waiting state, conditional on a revision of its
// key.
func moveChange(revision ids.Revision) Change {
	change := jobChange(record.WaitKey("job"), revision)
	change.Job, change.Waiting = nil, &workload.WaitingJob{Record: testRecord("job", record.Queued)}
	return change
}

func TestConflictIsResolvedByReadingBack(t *testing.T) {
	jobKey, endKey, cancelKey := record.JobKey("job"), record.FinalRecordKey("job"), record.CancelKey("job")
	for _, c := range []struct {
		name   string
		key    string // the key that was written before
		value  any
		change Change
		want   string
	}{
		{"no conflict", "other", 1, jobChange(jobKey, 0), "1 stored, read first false; starts"},
		{"a user wrote the job", jobKey, testRecord("job", record.Queued), jobChange(jobKey, 0), "job found, by user; starts"},
		{"the job's record is unreadable", jobKey, "x", jobChange(jobKey, 0), ""},
		{"the job ended", endKey, testRecord("job", record.Done), jobChange(endKey, 0), "job ended"},
		{"a user cancelled the job", cancelKey, 1, jobChange(cancelKey, 0), "job cancelled true"},
		{"the cancellation is gone", "other", 1, jobChange(cancelKey, 99), "job cancelled false"},
		{"the waiting job moved", jobKey, testRecord("job", record.Queued), moveChange(99), "job moved"},
		{"the waiting job is gone", "other", 1, moveChange(99), "job gone"},
		{"another leader took over", record.KeysOf(0, 1).Generation(), GenerationRecord{8, "other", "other"}, jobChange(jobKey, 0), "superseded"},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			f.put(t, c.key, c.value)
			f.cluster.changes = []Change{c.change}
			if !f.CommitGroup(context.Background()) {
				t.Errorf("%s: CommitGroup reports no further group", c.name)
			}
			if got := f.calls(); got != c.want {
				t.Errorf("%s: calls %q, want %q", c.name, got, c.want)
			}
		})
	}
}

// raisedGeneration is the call that raises generation 7 by a range of fencing tokens.
var raisedGeneration = fmt.Sprint("generation ", ids.ReserveTokens(7).Last)

func TestCommitWithoutResponseIsReadBack(t *testing.T) {
	for _, c := range []struct {
		fate  fake.Outcome
		raise bool
		want  string
	}{
		{fake.DropResponse, false, "job found, by leader; starts"},
		{fake.Drop, false, "1 stored, read first false; starts"},
		{fake.DropResponse, true, raisedGeneration},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			f.cluster.changes, f.cluster.raise = []Change{jobChange(record.JobKey("job"), 0)}, c.raise
			f.network.SetRule(func(string, string, *http.Request, []byte) fake.Outcome { return c.fate })
			f.CommitGroup(context.Background())
			if got := f.calls(); got != "" {
				t.Errorf("%v: calls %q without a response", c.fate, got)
			}
			f.network.SetRule(nil)
			f.CommitGroup(context.Background())
			if got := f.calls(); got != c.want {
				t.Errorf("%v, generation raised %v: calls %q, want %q", c.fate, c.raise, got, c.want)
			}
		})
	}
}

func TestWritesAreConditionalOnTheRaisedGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.cluster.raise = true
		f.CommitGroup(context.Background())
		if got := f.calls(); got != raisedGeneration || f.LastGenerationRevision() == 0 {
			t.Errorf("after the generation was raised: calls %q, revision %d", got, f.LastGenerationRevision())
		}
		if err := f.Apply(context.Background(), []state.Op{{Put: "key", Value: []byte("1")}}); err != nil {
			t.Errorf("Apply under the raised generation: %v", err)
		}
		f.put(t, f.keys.Generation(), GenerationRecord{9, "other", "other"})
		var conflict *state.ConflictError
		if err := f.Apply(context.Background(), []state.Op{{Put: "key", Value: []byte("2")}}); !errors.As(err, &conflict) {
			t.Errorf("Apply after another leader took over: %v, want a conflict", err)
		}
	})
}
