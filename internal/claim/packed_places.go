package claim

import (
	"github.com/pebbletrail/pebbletrail/internal/record"
	"sort"
)

// groupAssignments is a job's places as its record keeps them.
func groupAssignments(places map[int]*Assignment) []record.PlaceGroup {
	list := make([]record.TaskPlace, 0, len(places))
	for _, i := range sortedTasks(places) {
		assignment := places[i]
		list = append(list, record.TaskPlace{Task: i, At: record.Location{Machine: assignment.Machine, Session: assignment.Incarnation, Attempt: assignment.Attempt, Token: assignment.FencingToken}})
	}
	return record.GroupPlaces(list)
}

func sortedTasks(places map[int]*Assignment) []int {
	keys := make([]int, 0, len(places))
	for i := range places {
		keys = append(keys, i)
	}
	sort.Ints(keys)
	return keys
}
