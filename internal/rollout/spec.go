// Package rollout empties, returns and replaces machines in waves. It owns what a rollout does
// next, how it is stored, and the operators' commands; whether a task may be stopped now is
// decided by package budget, and how it is stopped by the leader (docs/drains.md).
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

// Name is a rollout's name, chosen by the operator. Commands are idempotent by it.
type Name string

// namePattern is what names look like: they are part of a key and of a path.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,39}$`)

// Selection says which machines a rollout takes, as they are when it starts. What is set must all
// hold; at least one must be set.
type Selection struct {
	Machines []ids.Machine `json:"machines,omitempty"`
	// Digest stands for the names of machines where a rollout is stored: thousands of names do
	// not fit into a value, and which of them wait is stored beside it.
	Digest string `json:"digest,omitempty"`
	Zone   string `json:"zone,omitempty"`
	Type   string `json:"type,omitempty"`
	// Older takes every machine rented before the rollout starts.
	Older bool `json:"older,omitempty"`
}

// AtDeadline is what happens to tasks that can't save and still run at a step's deadline.
type AtDeadline string

// The choices of an operator.
const (
	// Wait lets them run to their end, however long that takes.
	Wait AtDeadline = "wait"
	// Stop stops them, within the budgets.
	Stop AtDeadline = "stop"
)

// Spec is a rollout as its operator described it. Durations are in seconds.
type Spec struct {
	Name   Name      `json:"name"`
	Select Selection `json:"select"`
	// Replace rents a machine of the same kind for each one returned.
	Replace bool `json:"replace,omitempty"`
	// Surge rents before anything is stopped.
	Surge    bool        `json:"surge,omitempty"`
	WaveSize int         `json:"waveSize"`
	Pause    ids.Seconds `json:"pause,omitempty"`
	// Deadline is how long a step may take: until the operator's choice applies, and until a
	// replacement has to be up.
	Deadline   ids.Seconds `json:"deadline"`
	AtDeadline AtDeadline  `json:"atDeadline"`
	// Observe is how long replacements are watched before the next wave.
	Observe ids.Seconds `json:"observe,omitempty"`
}

// Installation is what a description is checked against.
type Installation struct {
	Zones, Types []string
	Shards       int
}

// ErrBadSpec tells that a description can't be carried out.
var ErrBadSpec = errors.New("not a rollout that can be carried out")

// Check reports the first thing that is wrong with a description.
func (s *Spec) Check(in Installation) error {
	bad := func(format string, args ...any) error {
		return fmt.Errorf("%w: %s", ErrBadSpec, fmt.Sprintf(format, args...))
	}
	sel := &s.Select
	switch {
	case in.Shards > 1:
		return bad("with %d shards drains are not possible yet: budgets hold for one shard only", in.Shards)
	case !namePattern.MatchString(string(s.Name)):
		return bad("name %q: must be 1 to 40 of a-z, 0-9 and -, and not begin with -", s.Name)
	case len(sel.Machines) == 0 && sel.Zone == "" && sel.Type == "" && !sel.Older:
		return bad("nothing selects its machines: name machines, a zone, a type, or all older ones")
	case sel.Zone != "" && !slices.Contains(in.Zones, sel.Zone):
		return bad("unknown zone %q", sel.Zone)
	case sel.Type != "" && !slices.Contains(in.Types, sel.Type):
		return bad("unknown machine type %q", sel.Type)
	case s.WaveSize < 1:
		return bad("wave size: must be at least 1: %d", s.WaveSize)
	case !(s.Pause >= 0) || !(s.Observe >= 0):
		return bad("pause and observation must be zero or more")
	case !(s.Deadline > 0):
		return bad("deadline: must be above zero: %v", float64(s.Deadline))
	case s.AtDeadline != Wait && s.AtDeadline != Stop:
		return bad("at the deadline: must be %q or %q: %q", Wait, Stop, s.AtDeadline)
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
		fmt.Fprintln(hash, name) // a hash takes everything
	}
	return hex.EncodeToString(hash.Sum(nil)[:digestBytes])
}

// digestBytes is how much of a hash tells lists of machines apart.
const digestBytes = 16

// stored is a description as it is stored.
func (s *Spec) stored() Spec {
	small := *s
	small.Select.Machines, small.Select.Digest = nil, s.Select.digest()
	return small
}

// Same tells whether two descriptions say the same.
func (s *Spec) Same(other *Spec) bool { return reflect.DeepEqual(s.stored(), other.stored()) }
