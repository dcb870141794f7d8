package rollout

import (
	"strconv"
	"strings"
)

// Keys of the state service.
const (
	// Prefix is what all keys of this package begin with.
	Prefix        = "rollout/"
	indexKey      = Prefix + "index"
	recordPrefix  = Prefix + "run/"
	waitingPrefix = Prefix + "left/"
)

// recordKey is where a rollout's record is stored.
func recordKey(name Name) string { return recordPrefix + string(name) }

// waitingKey is where one part of a rollout's waiting machines is stored.
func waitingKey(name Name, part int) string {
	return waitingPrefix + string(name) + "/" + strconv.Itoa(part)
}

// parseWaitingKey tells which part of which rollout's waiting machines a key is.
func parseWaitingKey(key string) (name Name, part int, ok bool) {
	rest, ok := strings.CutPrefix(key, waitingPrefix)
	if !ok {
		return "", 0, false
	}
	text, number, ok := strings.Cut(rest, "/")
	if !ok {
		return "", 0, false
	}
	part, err := strconv.Atoi(number)
	return Name(text), part, err == nil && part >= 0
}
