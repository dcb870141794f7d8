package rollout

import (
	"strconv"
	"strings"
)

// Keys in the state service.
const (
	// Prefix is the common prefix of all keys of this package.
	Prefix        = "rollout/"
	indexKey      = Prefix + "index"
	recordPrefix  = Prefix + "run/"
	waitingPrefix = Prefix + "left/"
)

// recordKey returns the key of a rollout's record.
func recordKey(name Name) string { return recordPrefix + string(name) }

// waitingKey returns the key of one part of a rollout's waiting machines.
func waitingKey(name Name, part int) string {
	return waitingPrefix + string(name) + "/" + strconv.Itoa(part)
}

// parseWaitingKey returns the rollout and the part index that a key of waiting machines denotes; ok is false
// for any other key.
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
