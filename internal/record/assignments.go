package record

import (
	"fmt"
	"log/slog"
	"strconv"
	"strings"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Location is the machine that tasks are assigned to, with its incarnation and the attempt and fencing
// token of the assignment.
type Location struct {
	Machine      ids.Machine
	Incarnation  ids.Incarnation
	Attempt      ids.Attempt
	FencingToken ids.Generation
}

// TaskAssignment is the assignment of one task.
type TaskAssignment struct {
	Task     int
	Location Location
}

// AssignmentGroup is the stored form of all assignments with the same fencing token. It is compact
// because the assignments of a large array, stored as one JSON object each, would not fit into a value,
// and the array would run in many small batches.
type AssignmentGroup struct {
	FencingToken ids.Generation `json:"g"`
	// Incarnation and Attempt are the most frequent ones of the locations. Entries omit them.
	Incarnation ids.Incarnation `json:"s"`
	Attempt     ids.Attempt     `json:"a"`
	// Prefix is the common prefix of the machines' names. Entries omit it.
	Prefix string `json:"p,omitempty"`
	// Base is the lowest task. Entries contain the offsets of tasks from it.
	Base int `json:"b,omitempty"`
	// Entries is a list, separated by spaces, with one entry for each location in one of the forms
	// "machine:tasks", "machine/attempt:tasks" and "machine/attempt/incarnation:tasks".
	Entries string `json:"on"`
}

// maxEntryParts is the number of parts of the longest form of an entry's location.
const maxEntryParts = 3

// EachAssignment calls visit for every assigned task.
func (r *Record) EachAssignment(visit func(task int, location Location)) {
	for i := range r.Assignments {
		if err := r.Assignments[i].eachTask(visit); err != nil {
			slog.Error("stored assignments are malformed; skipping the rest of their group", "job", r.Spec.ID, "err", err)
		}
	}
}

// eachTask calls visit for every assigned task, in the order of the entries, up to the first malformed entry.
func (g *AssignmentGroup) eachTask(visit func(task int, location Location)) error {
	for _, entry := range strings.Fields(g.Entries) {
		location, tasks, err := g.parseEntry(entry)
		if err != nil {
			return err
		}
		tasks.Each(func(offset int) { visit(g.Base+offset, location) })
	}
	return nil
}

// parseEntry decodes an entry to a location and the tasks assigned to it, as offsets from the group's base.
func (g *AssignmentGroup) parseEntry(entry string) (location Location, tasks ids.IndexSet, err error) {
	locationText, tasksText, found := strings.Cut(entry, ":")
	parts := strings.Split(locationText, "/")
	if !found || len(parts) > maxEntryParts {
		return location, tasks, fmt.Errorf("malformed assignment entry: %.80q", entry)
	}
	location = Location{
		Machine:      ids.Machine(g.Prefix + parts[0]),
		Incarnation:  g.Incarnation,
		Attempt:      g.Attempt,
		FencingToken: g.FencingToken,
	}
	if len(parts) > 1 {
		attempt, err := strconv.ParseUint(parts[1], 10, 64)
		if err != nil {
			return location, tasks, err
		}
		location.Attempt = ids.Attempt(attempt)
	}
	if len(parts) > 2 {
		incarnation, err := strconv.ParseUint(parts[2], 10, 64)
		if err != nil {
			return location, tasks, err
		}
		location.Incarnation = ids.Incarnation(incarnation)
	}
	return location, tasks, tasks.UnmarshalText([]byte(tasksText))
}

// appendEntry appends the entry of one location to out.
func (g *AssignmentGroup) appendEntry(out *strings.Builder, location Location, tasks *ids.IndexSet) {
	if out.Len() > 0 {
		out.WriteByte(' ')
	}
	out.WriteString(string(location.Machine)[len(g.Prefix):])
	if location.Attempt != g.Attempt || location.Incarnation != g.Incarnation {
		fmt.Fprintf(out, "/%d", location.Attempt)
	}
	if location.Incarnation != g.Incarnation {
		fmt.Fprintf(out, "/%d", location.Incarnation)
	}
	out.WriteByte(':')
	out.WriteString(tasks.String())
}

// GroupAssignments returns the stored form of assignments, which must be sorted by task.
func GroupAssignments(assignments []TaskAssignment) []AssignmentGroup {
	builders := map[ids.Generation]*groupBuilder{}
	var order []*groupBuilder
	for _, assignment := range assignments {
		builder := builders[assignment.Location.FencingToken]
		if builder == nil {
			builder = newGroupBuilder(assignment)
			builders[assignment.Location.FencingToken] = builder
			order = append(order, builder)
		}
		builder.add(assignment)
	}
	groups := make([]AssignmentGroup, 0, len(order))
	for _, builder := range order {
		groups = append(groups, builder.build())
	}
	return groups
}

// groupBuilder builds an AssignmentGroup.
type groupBuilder struct {
	group        AssignmentGroup
	tasks        map[Location]*ids.IndexSet // offsets from the group's base
	locations    []Location                 // in the order of their lowest tasks
	attempts     map[ids.Attempt]int        // number of locations by attempt
	incarnations map[ids.Incarnation]int    // number of locations by incarnation
}

// newGroupBuilder returns a builder of a group whose first assignment is lowest. The caller still has to
// add it.
func newGroupBuilder(lowest TaskAssignment) *groupBuilder {
	return &groupBuilder{
		group: AssignmentGroup{
			FencingToken: lowest.Location.FencingToken,
			Base:         lowest.Task,
			Prefix:       string(lowest.Location.Machine),
		},
		tasks:        map[Location]*ids.IndexSet{},
		attempts:     map[ids.Attempt]int{},
		incarnations: map[ids.Incarnation]int{},
	}
}

// add adds an assignment to the group.
func (b *groupBuilder) add(assignment TaskAssignment) {
	location := assignment.Location
	if b.tasks[location] == nil {
		b.tasks[location] = &ids.IndexSet{}
		b.locations = append(b.locations, location)
		b.group.Prefix = commonPrefix(b.group.Prefix, string(location.Machine))
		b.attempts[location.Attempt]++
		b.incarnations[location.Incarnation]++
	}
	b.tasks[location].Add(assignment.Task - b.group.Base)
}

// build encodes the entries and returns the group. The values that entries omit are known only after all
// assignments were added.
func (b *groupBuilder) build() AssignmentGroup {
	b.group.Attempt = mostFrequent(b.attempts)
	b.group.Incarnation = mostFrequent(b.incarnations)
	var entries strings.Builder
	for _, location := range b.locations {
		b.group.appendEntry(&entries, location, b.tasks[location])
	}
	b.group.Entries = entries.String()
	return b.group
}

// mostFrequent returns the number with the highest count, and the lowest one of several such numbers.
func mostFrequent[N ids.Attempt | ids.Incarnation](counts map[N]int) (best N) {
	for number, count := range counts {
		if count > counts[best] || count == counts[best] && number < best {
			best = number
		}
	}
	return best
}

// groupOverheadBytes is the approximate encoded size of a group without its entries and prefix.
const groupOverheadBytes = 50

// AssignmentsSize returns the approximate encoded size of assignments in bytes.
func AssignmentsSize(groups []AssignmentGroup) int {
	size := 0
	for i := range groups {
		size += groupOverheadBytes + len(groups[i].Entries) + len(groups[i].Prefix)
	}
	return size
}
