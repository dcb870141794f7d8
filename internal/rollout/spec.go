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

// Name is a rollout's name, chosen by the operator. It makes commands idempotent.
type Name string

// namePattern is what names look like: they are part of a key and of a path.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,39}$`)

// Selection says which machines a rollout takes, as they are when it starts. A machine has to match
// all that is set; at least one must be set.
type Selection struct {
	Machines []ids.Machine `json:"machines,omitempty"`
	// Digest stands for the names of machines where a rollout is stored: thousands of names do
	// not fit into a value, and which of them wait is stored beside it.
	Digest string `json:"digest,omitempty"`
	Zone   string `json:"zone,omitempty"`
	Type   string `json:"type,omitempty"`
	// Older takes every machine provisioned before the rollout starts.
	Older bool `json:"older,omitempty"`
}

// AtDeadline is what happens to tasks that save no checkpoints and still run at a step's deadline.
type AtDeadline string

// The choices of an operator.
const (
	// WaitAtDeadline lets them run to their end, however long that takes.
	WaitAtDeadline AtDeadline = "wait"
	// StopAtDeadline stops them, within the disruption budgets.
	StopAtDeadline AtDeadline = "stop"
)

// Spec is a rollout as its operator described it. Durations are in seconds.
type Spec struct {
	Name   Name      `json:"name"`
	Select Selection `json:"select"`
	// Replace provisions a machine of the same instance class for each one returned.
	Replace bool `json:"replace,omitempty"`
	// Surge provisions before anything is stopped.
	Surge bool `json:"surge,omitempty"`
	// WaveSize is how many machines a wave takes at most, Pause the time between two waves.
	WaveSize int         `json:"waveSize"`
	Pause    ids.Seconds `json:"pause,omitempty"`
	// Deadline is how long a step may take: until AtDeadline applies, and until a replacement has
	// to be ready.
	Deadline   ids.Seconds `json:"deadline"`
	AtDeadline AtDeadline  `json:"atDeadline"`
	// Observe is how long replacements are observed before the next wave.
	Observe ids.Seconds `json:"observe,omitempty"`
}

// Installation is what a description is checked against.
type Installation struct {
	Zones, Types []string
	Shards       int
}

// ErrInvalidSpec tells that a description can't be carried out.
var ErrInvalidSpec = errors.New("not a rollout that can be carried out")

// Check reports the first thing that is wrong with a description.
func (s *Spec) Check(installation Installation) error {
	bad := func(format string, args ...any) error {
		return fmt.Errorf("%w: %s", ErrInvalidSpec, fmt.Sprintf(format, args...))
	}
	selection := &s.Select
	switch {
	case installation.Shards > 1:
		return bad("with %d shards drains are not possible yet: budgets hold for one shard only", installation.Shards)
	case !namePattern.MatchString(string(s.Name)):
		return bad("name %q: must be 1 to 40 of a-z, 0-9 and -, and not begin with -", s.Name)
	case len(selection.Machines) == 0 && selection.Zone == "" && selection.Type == "" && !selection.Older:
		return bad("nothing selects its machines: name machines, a zone, a type, or all older ones")
	case selection.Zone != "" && !slices.Contains(installation.Zones, selection.Zone):
		return bad("unknown zone %q", selection.Zone)
	case selection.Type != "" && !slices.Contains(installation.Types, selection.Type):
		return bad("unknown machine type %q", selection.Type)
	case s.WaveSize < 1:
		return bad("wave size: must be at least 1: %d", s.WaveSize)
	case !(s.Pause >= 0) || !(s.Observe >= 0):
		return bad("pause and observation must be zero or more")
	case !(s.Deadline > 0):
		return bad("deadline: must be above zero: %v", float64(s.Deadline))
	case s.AtDeadline != WaitAtDeadline && s.AtDeadline != StopAtDeadline:
		return bad("at the deadline: must be %q or %q: %q", WaitAtDeadline, StopAtDeadline, s.AtDeadline)
	}
	return nil
}

// digest is what stands for the names of machines; empty if none is named.
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

// digestBytes is how much of a hash tells lists of machines apart.
const digestBytes = 16

// stored is a description as it is stored: with a digest in place of machines' names.
func (s *Spec) stored() Spec {
	stored := *s
	stored.Select.Machines, stored.Select.Digest = nil, s.Select.digest()
	return stored
}

// Same reports whether two descriptions say the same.
func (s *Spec) Same(other *Spec) bool { return reflect.DeepEqual(s.stored(), other.stored()) }
