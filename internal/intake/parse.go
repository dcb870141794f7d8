package intake

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

const (
	bodyLimit = 64 * 1024
	nameLimit = 256
	maxTasks  = 100000
)

var shapes = map[string]record.Shape{"array": record.Array, "gang": record.Gang, "standing": record.Service}
var urgencies = map[string]record.Priority{"critical": record.Critical, "high": record.High, "normal": record.Normal, "low": record.Low}

// parse reads and checks a submission; an error means 400.
func parse(r io.Reader) (record.Spec, error) {
	raw, err := io.ReadAll(io.LimitReader(r, bodyLimit+1))
	if err != nil {
		return record.Spec{}, err
	}
	if len(raw) > bodyLimit {
		return record.Spec{}, fmt.Errorf("body over %d bytes", bodyLimit)
	}
	if t := bytes.TrimLeft(raw, " \t\r\n"); len(t) == 0 || t[0] != '{' {
		return record.Spec{}, fmt.Errorf("not a JSON object")
	}
	var s submission
	if err := json.Unmarshal(raw, &s); err != nil {
		return record.Spec{}, fmt.Errorf("not readable: %w", err)
	}
	if err := s.complete(); err != nil {
		return record.Spec{}, err
	}
	return s.spec()
}

// complete checks that every field that a submission must have is there and of the
// right kind.
func (s *submission) complete() error {
	for _, f := range []struct {
		name string
		v    *string
	}{{"uid", s.UID}, {"jobkind", s.JobKind}, {"owner", s.Owner}, {"shape", s.Shape}, {"urgency", s.Urgency}, {"bundle", s.Bundle}} {
		if f.v == nil || !isName(*f.v) {
			return fmt.Errorf("%s: missing, empty or too long", f.name)
		}
	}
	for _, f := range []struct {
		name string
		v    *float64
	}{{"pieces", s.Pieces}, {"cores", s.Cores}, {"accelerators", s.Accelerators}, {"ramGb", s.RAMGb},
		{"pullGb", s.PullGb}, {"guessS", s.GuessS}, {"bookmarkS", s.BookmarkS}, {"stashS", s.StashS}} {
		if f.v == nil || !(*f.v >= 0) || math.IsInf(*f.v, 0) {
			return fmt.Errorf("%s: missing or below zero", f.name)
		}
	}
	for _, f := range []struct {
		name string
		v    *bool
	}{{"together", s.Together}, {"spread", s.Spread}, {"loaners", s.Loaners}} {
		if f.v == nil {
			return fmt.Errorf("%s: missing", f.name)
		}
	}
	return nil
}

// isName tells whether a text may name a type, a zone, an image and the like.
func isName(text string) bool { return text != "" && len(text) <= nameLimit }

// spec turns a complete submission into the description of a job.
func (s *submission) spec() (record.Spec, error) {
	spec := record.Spec{
		Class: *s.JobKind, Team: *s.Owner,
		Need:  placement.Room{Cores: *s.Cores, Accels: *s.Accelerators, RAM: *s.RAMGb},
		Image: *s.Bundle, ImageGB: *s.PullGb, OneZone: *s.Together, Spread: *s.Spread, Spot: *s.Loaners,
		Estimate: ids.Seconds(*s.GuessS), Checkpoint: ids.Seconds(*s.BookmarkS), Save: ids.Seconds(*s.StashS),
	}
	var err error
	if spec.ID, err = ids.ParseJob(*s.UID); err != nil {
		return record.Spec{}, fmt.Errorf("uid: %w", err)
	}
	var ok bool
	if spec.Shape, ok = shapes[*s.Shape]; !ok {
		return record.Spec{}, fmt.Errorf("shape: unknown: %q", *s.Shape)
	}
	if spec.Priority, ok = urgencies[*s.Urgency]; !ok {
		return record.Spec{}, fmt.Errorf("urgency: unknown: %q", *s.Urgency)
	}
	if *s.Pieces < 1 || *s.Pieces > maxTasks || *s.Pieces != math.Trunc(*s.Pieces) {
		return record.Spec{}, fmt.Errorf("pieces: must be a whole number from 1 to %d", maxTasks)
	}
	spec.Tasks = int(*s.Pieces)
	if err := s.optional(&spec); err != nil {
		return record.Spec{}, err
	}
	return spec, nil
}

// optional takes over the fields that may be null or left out.
func (s *submission) optional(spec *record.Spec) error {
	if s.Builds != nil {
		spec.Types = *s.Builds
		if spec.Types == nil {
			spec.Types = []string{}
		}
		for _, t := range spec.Types {
			if !isName(t) {
				return fmt.Errorf("builds: empty or too long name")
			}
		}
	}
	if s.Yard != nil {
		if !isName(*s.Yard) {
			return fmt.Errorf("yard: empty or too long")
		}
		spec.Zone = *s.Yard
	}
	if s.DueS != nil {
		if !(*s.DueS >= 0) {
			return fmt.Errorf("dueS: below zero")
		}
		spec.Due = ids.Seconds(*s.DueS)
	}
	if s.Awaits != nil {
		var err error
		if spec.Awaits, err = parseAwaits(*s.Awaits); err != nil {
			return err
		}
	}
	return nil
}

// parseAwaits reads the names of the jobs that one awaits. To name one twice asks for
// nothing more than to name it once.
func parseAwaits(names []string) (needs []ids.Job, err error) {
	seen := map[ids.Job]bool{}
	for _, name := range names {
		need, err := ids.ParseJob(name)
		if err != nil {
			return nil, fmt.Errorf("awaits: %w", err)
		}
		if !seen[need] {
			seen[need] = true
			needs = append(needs, need)
		}
	}
	return needs, nil
}
