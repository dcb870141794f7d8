package record

import (
	"strings"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// packNames encodes job names as their longest common prefix, a colon, and the remainders of the names,
// separated by spaces.
func packNames(names []ids.Job) string {
	if len(names) == 0 {
		return ":"
	}
	prefix := string(names[0])
	for _, name := range names {
		prefix = commonPrefix(prefix, string(name))
	}
	suffixes := make([]string, len(names))
	for i, name := range names {
		suffixes[i] = string(name)[len(prefix):]
	}
	return prefix + ":" + strings.Join(suffixes, " ")
}

// unpackNames decodes the encoding of packNames.
func unpackNames(packed string) (names []ids.Job) {
	prefix, suffixes, _ := strings.Cut(packed, ":")
	if prefix == "" {
		return nil
	}
	for _, suffix := range strings.Split(suffixes, " ") {
		names = append(names, ids.Job(prefix+suffix))
	}
	return names
}

// commonPrefix returns the longest common prefix of two names.
func commonPrefix(first, second string) string {
	n := 0
	for n < min(len(first), len(second)) && first[n] == second[n] {
		n++
	}
	return first[:n]
}
