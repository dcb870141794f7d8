package claim

import (
	"github.com/pebbletrail/pebbletrail/internal/record"
	"sort"
)

// packPlaces is a job's places as its record keeps them.
func packPlaces(places map[int]*Place) []record.PlaceGroup {
	list := make([]record.TaskPlace, 0, len(places))
	for _, i := range sortedTasks(places) {
		p := places[i]
		list = append(list, record.TaskPlace{Task: i, At: record.Location{Machine: p.Machine, Session: p.Session, Attempt: p.Attempt, Token: p.Token}})
	}
	return record.GroupPlaces(list)
}

func sortedTasks(places map[int]*Place) []int {
	keys := make([]int, 0, len(places))
	for i := range places {
		keys = append(keys, i)
	}
	sort.Ints(keys)
	return keys
}
