package record

import (
	"fmt"
	"log/slog"
	"strconv"
	"strings"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Location is what tasks are assigned to: a machine in one incarnation, under one attempt and one
// fencing token.
type Location struct {
	Machine      ids.Machine
	Incarnation  ids.Incarnation
	Attempt      ids.Attempt
	FencingToken ids.Generation
}

// TaskAssignment is the assignment of one task.
type TaskAssignment struct {
	Task int
	At   Location
}

// AssignmentGroup is the assignments that carry one fencing token, as they are stored. Spelled out as
// JSON objects, the assignments of a large job array would not fit into a value, and the array
// would run in many small batches.
type AssignmentGroup struct {
	FencingToken ids.Generation `json:"g"`
	// Incarnation and Attempt are those of most locations, which the entries leave out.
	Incarnation ids.Incarnation `json:"s"`
	Attempt     ids.Attempt     `json:"a"`
	// Prefix is the common prefix of the machines' names, which the entries leave out.
	Prefix string `json:"p,omitempty"`
	// Base is the lowest task; the entries count tasks from it.
	Base int `json:"b,omitempty"`
	// Entries has an entry for each location, separated by spaces, each in one of the forms
	// "machine:tasks", "machine/attempt:tasks" and "machine/attempt/incarnation:tasks".
	Entries string `json:"on"`
}

// maxEntryParts is the number of parts of the longest form of an entry's location.
const maxEntryParts = 3

// EachAssignment calls visit for every assigned task.
func (r *Record) EachAssignment(visit func(task int, location Location)) {
	for i := range r.Assignments {
		if err := r.Assignments[i].each(visit); err != nil {
			slog.Error("unreadable assignment", "job", r.Spec.ID, "err", err)
		}
	}
}

// each calls visit for every assigned task, in the order written, up to the first unreadable
// entry.
func (g *AssignmentGroup) each(visit func(task int, location Location)) error {
	for _, entry := range strings.Fields(g.Entries) {
		location, tasks, err := g.parseEntry(entry)
		if err != nil {
			return err
		}
		tasks.Each(func(offset int) { visit(g.Base+offset, location) })
	}
	return nil
}

// parseEntry reads a location and the tasks assigned to it, counted from the group's base.
func (g *AssignmentGroup) parseEntry(entry string) (location Location, tasks ids.IndexSet, err error) {
	head, list, found := strings.Cut(entry, ":")
	parts := strings.Split(head, "/")
	if !found || len(parts) > maxEntryParts {
		return location, tasks, fmt.Errorf("not an assignment: %.80q", entry)
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
	return location, tasks, tasks.UnmarshalText([]byte(list))
}

// writeEntry appends the entry of one location.
func (g *AssignmentGroup) writeEntry(out *strings.Builder, location Location, tasks *ids.IndexSet) {
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

// GroupAssignments encodes assignments, which must be sorted by task, so that a large job's record
// stays small.
func GroupAssignments(assignments []TaskAssignment) []AssignmentGroup {
	builders := map[ids.Generation]*groupBuilder{}
	var order []*groupBuilder
	for _, assignment := range assignments {
		builder := builders[assignment.At.FencingToken]
		if builder == nil {
			builder = newGroupBuilder(assignment)
			builders[assignment.At.FencingToken] = builder
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

// groupBuilder collects the assignments of one PlaceGroup.
type groupBuilder struct {
	group        AssignmentGroup
	tasks        map[Location]*ids.IndexSet // counted from the group's base
	locations    []Location                 // in the order of their lowest tasks
	attempts     map[ids.Attempt]int        // number of locations
	incarnations map[ids.Incarnation]int    // number of locations
}

// newGroupBuilder starts a group with its lowest task, which is still to be added.
func newGroupBuilder(lowest TaskAssignment) *groupBuilder {
	return &groupBuilder{
		group: AssignmentGroup{
			FencingToken: lowest.At.FencingToken,
			Base:         lowest.Task,
			Prefix:       string(lowest.At.Machine),
		},
		tasks:        map[Location]*ids.IndexSet{},
		attempts:     map[ids.Attempt]int{},
		incarnations: map[ids.Incarnation]int{},
	}
}

// add takes in one more assignment.
func (b *groupBuilder) add(assignment TaskAssignment) {
	location := assignment.At
	if b.tasks[location] == nil {
		b.tasks[location] = &ids.IndexSet{}
		b.locations = append(b.locations, location)
		b.group.Prefix = commonPrefix(b.group.Prefix, string(location.Machine))
		b.attempts[location.Attempt]++
		b.incarnations[location.Incarnation]++
	}
	b.tasks[location].Add(assignment.Task - b.group.Base)
}

// build writes the entries; only now it is known what they can leave out.
func (b *groupBuilder) build() AssignmentGroup {
	b.group.Attempt = mostFrequent(b.attempts)
	b.group.Incarnation = mostFrequent(b.incarnations)
	var entries strings.Builder
	for _, location := range b.locations {
		b.group.writeEntry(&entries, location, b.tasks[location])
	}
	b.group.Entries = entries.String()
	return b.group
}

// mostFrequent returns the number with the highest count, the lowest of equals.
func mostFrequent[N ids.Attempt | ids.Incarnation](counts map[N]int) (best N) {
	for number, count := range counts {
		if count > counts[best] || count == counts[best] && number < best {
			best = number
		}
	}
	return best
}

// groupOverheadBytes is about what a group takes in a record beside its entries and prefix.
const groupOverheadBytes = 50

// AssignmentsSize is about how many bytes of a record its assignments take.
func AssignmentsSize(groups []AssignmentGroup) int {
	size := 0
	for i := range groups {
		size += groupOverheadBytes + len(groups[i].Entries) + len(groups[i].Prefix)
	}
	return size
}
