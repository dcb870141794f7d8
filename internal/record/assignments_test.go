package record

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// newAssignment returns the assignment of a task.
func newAssignment(task int, machine ids.Machine, incarnation ids.Incarnation, attempt ids.Attempt, token ids.Generation) TaskAssignment {
	return TaskAssignment{Task: task, Location: Location{Machine: machine, Incarnation: incarnation, Attempt: attempt, FencingToken: token}}
}

// encodeAndDecode encodes and decodes a record with assignments and returns the decoded ones.
func encodeAndDecode(t *testing.T, assignments []TaskAssignment) map[int]Location {
	t.Helper()
	stored, err := Decode(marshal(t, Record{Assignments: GroupAssignments(assignments)}))
	if err != nil {
		t.Fatal(err)
	}
	found := map[int]Location{}
	stored.EachAssignment(func(task int, location Location) {
		if _, duplicate := found[task]; duplicate {
			t.Errorf("task %d is decoded twice", task)
		}
		found[task] = location
	})
	if stored.AssignedTasks() != len(found) {
		t.Errorf("%d tasks are assigned, but AssignedTasks returns %d", len(found), stored.AssignedTasks())
	}
	return found
}

func TestAssignmentsHaveTheDocumentedStoredForm(t *testing.T) {
	// Guards against a change of the stored form that other versions of the program can't read.
	for _, c := range []struct {
		name        string
		assignments []TaskAssignment
		want        string
	}{
		{"none", nil, `[]`},
		{"one machine loses its whole name", []TaskAssignment{newAssignment(0, "m-1", 1, 2, 3), newAssignment(1, "m-1", 1, 2, 3)},
			`[{"g":3,"s":1,"a":2,"p":"m-1","on":":0-1"}]`},
		{"names lose what they have in common, tasks are counted from the lowest",
			[]TaskAssignment{newAssignment(7, "m-1", 1, 2, 3), newAssignment(8, "m-2", 1, 2, 3), newAssignment(10, "m-1", 1, 2, 3)},
			`[{"g":3,"s":1,"a":2,"p":"m-","b":7,"on":"1:0,3 2:1"}]`},
		{"another attempt and another incarnation are spelled out",
			[]TaskAssignment{newAssignment(0, "m-1", 1, 2, 3), newAssignment(1, "m-2", 1, 2, 3), newAssignment(2, "m-3", 1, 4, 3), newAssignment(3, "m-4", 5, 2, 3)},
			`[{"g":3,"s":1,"a":2,"p":"m-","on":"1:0 2:1 3/4:2 4/2/5:3"}]`},
		{"of attempts equally frequent the lowest is left out", []TaskAssignment{newAssignment(0, "m-1", 1, 9, 3), newAssignment(1, "m-2", 1, 8, 3)},
			`[{"g":3,"s":1,"a":8,"p":"m-","on":"1/9:0 2:1"}]`},
		{"each fencing token has a group", []TaskAssignment{newAssignment(0, "m-1", 1, 1, 4), newAssignment(1, "m-1", 1, 1, 3)},
			`[{"g":4,"s":1,"a":1,"p":"m-1","on":":0"},{"g":3,"s":1,"a":1,"p":"m-1","b":1,"on":":0"}]`},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := string(marshal(t, GroupAssignments(c.assignments))); got != c.want {
				t.Errorf("encoded as\n%s, want\n%s", got, c.want)
			}
			want := map[int]Location{}
			for _, assignment := range c.assignments {
				want[assignment.Task] = assignment.Location
			}
			if found := encodeAndDecode(t, c.assignments); !reflect.DeepEqual(found, want) {
				t.Errorf("decoded as %v, want %v", found, want)
			}
		})
	}
}

func TestRandomAssignmentsAreDecodedUnchanged(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 11))
		var assignments []TaskAssignment
		want := map[int]Location{}
		for task := range 1 + rng.IntN(200) {
			if rng.IntN(4) == 0 {
				continue
			}
			machine := ids.Machine(fmt.Sprintf("%s-%d", []string{"host", "hare", "x"}[rng.IntN(3)], rng.IntN(12)))
			assignment := newAssignment(task, machine, ids.Incarnation(1+rng.IntN(3)), ids.Attempt(1+rng.IntN(3)), ids.Generation(1+rng.IntN(2)))
			assignments = append(assignments, assignment)
			want[task] = assignment.Location
		}
		if found := encodeAndDecode(t, assignments); !reflect.DeepEqual(found, want) {
			t.Fatalf("seed %d: decoded as %v, want %v", seed, found, want)
		}
	}
}

func TestAssignmentsSizeIsAnUpperBound(t *testing.T) {
	// Guards against a record that exceeds the size limit because the size of its assignments was
	// underestimated. Names of a shard's machines have a common prefix as long as the one here.
	var assignments []TaskAssignment
	for task := range 500 {
		assignments = append(assignments, newAssignment(task, ids.Machine(fmt.Sprintf("host-s2-%04d", task)), 1, 1, 7))
	}
	groups := GroupAssignments(assignments)
	if stored, estimate := len(marshal(t, groups)), AssignmentsSize(groups); estimate < stored || estimate > stored+groupOverheadBytes {
		t.Errorf("the size of %d bytes is estimated as %d", stored, estimate)
	}
}

func TestMalformedAssignmentsAreSkippedUpToNextGroup(t *testing.T) {
	for _, entries := range []string{"1", "1/2/3/4:0", "1/x:0", "1/2/x:0", "1:x", "1:2-1"} {
		r := Record{Assignments: []AssignmentGroup{{Prefix: "m-", Entries: "0:0 " + entries + " 2:2"}, {Prefix: "m-", Entries: "3:3"}}}
		var tasks []int
		r.EachAssignment(func(task int, _ Location) { tasks = append(tasks, task) })
		if !reflect.DeepEqual(tasks, []int{0, 3}) {
			t.Errorf("entry %q: decoded tasks %v, want 0 and 3", entries, tasks)
		}
	}
}

func TestStoredFieldNamesOfRecordsAreUnchanged(t *testing.T) {
	// Guards against a rename in the code that changes the stored form.
	r := Record{Spec: Spec{ID: "job-1", Team: "red", JobType: Array, Tasks: 2}, Status: Claimed, Submitted: 10, ReadyAt: 11, Attempt: 2, Generation: 3,
		Finished: ids.FirstIndexes(1), Assignments: GroupAssignments([]TaskAssignment{newAssignment(1, "m-1", 4, 2, 3)}), Events: []Event{{12, "accepted"}},
		FailedMachines: 1, CancelledBy: "job-0", Writer: "w", Seq: 5}
	r.AddEviction(1, 2, "drain", 1)
	want := `{"spec":` + string(marshal(t, r.Spec)) + `,"status":"claimed","submitted":10,"ready":11,"attempt":2,"generation":3,"finished":"0",` +
		`"places":[{"g":3,"s":4,"a":2,"p":"m-1","b":1,"on":":0"}],"trail":[{"at":12,"what":"accepted"}],"failedOn":1,` +
		`"evictions":[{"by":"drain","wave":1,"a":2,"tasks":"1"}],"cancelledBy":"job-0","writer":"w","seq":5}`
	if got := string(marshal(t, r)); got != want {
		t.Errorf("encoded as\n%s, want\n%s", got, want)
	}
	if decoded, err := Decode(json.RawMessage(want)); err != nil || !reflect.DeepEqual(*decoded, r) {
		t.Errorf("decoded as %+v, error %v", decoded, err)
	}
}
