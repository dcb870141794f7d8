package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Name is the name of a rollout, chosen by the operator. It identifies the rollout in repeated commands,
// which makes them idempotent.
type Name string

// namePattern matches valid names. Names are part of a key and of a URL path.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,39}$`)

// Selection specifies the machines of a rollout, which are determined when it starts. A machine must
// match all fields that are set; at least one must be set.
type Selection struct {
	Machines []ids.Machine `json:"machines,omitempty"`
	// Digest is a hash that replaces the list of machines in the stored specification: thousands of names
	// do not fit into a value, and the set of waiting machines is stored separately.
	Digest string `json:"digest,omitempty"`
	Zone   string `json:"zone,omitempty"`
	Type   string `json:"type,omitempty"`
	// Older selects the machines provisioned before the rollout starts.
	Older bool `json:"older,omitempty"`
}

// DeadlineAction is the treatment of tasks that save no checkpoints and still run at the deadline of a step.
type DeadlineAction string

// The values of DeadlineAction.
const (
	// WaitAtDeadline lets the tasks run to their end, however long that takes.
	WaitAtDeadline DeadlineAction = "wait"
	// StopAtDeadline stops the tasks, within the disruption budgets.
	StopAtDeadline DeadlineAction = "stop"
)

// Spec is the operator's specification of a rollout. Durations are in seconds.
type Spec struct {
	Name   Name      `json:"name"`
	Select Selection `json:"select"`
	// Replace requests a new machine of the same instance class for each machine returned.
	Replace bool `json:"replace,omitempty"`
	// Surge provisions the replacements before any task is stopped.
	Surge bool `json:"surge,omitempty"`
	// WaveSize is the maximum number of machines in a wave, Pause the time between two waves.
	WaveSize int         `json:"waveSize"`
	Pause    ids.Seconds `json:"pause,omitempty"`
	// Deadline is the time after which DeadlineAction applies to a step, and within which replacements must be
	// ready.
	Deadline       ids.Seconds    `json:"deadline"`
	DeadlineAction DeadlineAction `json:"atDeadline"`
	// Observe is the time for which replacements are observed before the next wave.
	Observe ids.Seconds `json:"observe,omitempty"`
}

// Installation is the configuration against which a specification is validated.
type Installation struct {
	Zones, Types []string
	Shards       int
}

// ErrInvalidSpec reports that a specification is invalid or cannot be executed.
var ErrInvalidSpec = errors.New("invalid rollout request")

// Check validates the specification and returns the first error found.
func (s *Spec) Check(installation Installation) error {
	invalid := func(format string, args ...any) error {
		return fmt.Errorf("%w: %s", ErrInvalidSpec, fmt.Sprintf(format, args...))
	}
	selection := &s.Select
	switch {
	case installation.Shards > 1:
		return invalid("with %d shards drains are not possible yet: budgets hold for one shard only", installation.Shards)
	case !namePattern.MatchString(string(s.Name)):
		return invalid("name %q: must be 1 to 40 of a-z, 0-9 and -, and not begin with -", s.Name)
	case len(selection.Machines) == 0 && selection.Zone == "" && selection.Type == "" && !selection.Older:
		return invalid("nothing selects its machines: name machines, a zone, a type, or all older ones")
	case selection.Zone != "" && !slices.Contains(installation.Zones, selection.Zone):
		return invalid("unknown zone %q", selection.Zone)
	case selection.Type != "" && !slices.Contains(installation.Types, selection.Type):
		return invalid("unknown machine type %q", selection.Type)
	case s.WaveSize < 1:
		return invalid("wave size: must be at least 1: %d", s.WaveSize)
	case !(s.Pause >= 0) || !(s.Observe >= 0):
		return invalid("pause and observation must be zero or more")
	case !(s.Deadline > 0):
		return invalid("deadline: must be above zero: %v", float64(s.Deadline))
	case s.DeadlineAction != WaitAtDeadline && s.DeadlineAction != StopAtDeadline:
		return invalid("at the deadline: must be %q or %q: %q", WaitAtDeadline, StopAtDeadline, s.DeadlineAction)
	}
	return nil
}

// digest returns a hash of the sorted machine names, or the current Digest if no machines are named.
func (s *Selection) digest() string {
	if len(s.Machines) == 0 {
		return s.Digest
	}
	names := slices.Sorted(slices.Values(s.Machines))
	hash := sha256.New()
	for _, name := range slices.Compact(names) {
		hash.Write([]byte(name + "\n"))
	}
	return hex.EncodeToString(hash.Sum(nil)[:digestBytes])
}

// digestBytes is the length to which the hash is truncated, which suffices to distinguish lists of machines.
const digestBytes = 16

// stored returns the stored form of the specification, with a digest in place of the machine names.
func (s *Spec) stored() Spec {
	stored := *s
	stored.Select.Machines, stored.Select.Digest = nil, s.Select.digest()
	return stored
}

// Equal reports whether two specifications are equal in their stored form.
func (s *Spec) Equal(other *Spec) bool { return reflect.DeepEqual(s.stored(), other.stored()) }
