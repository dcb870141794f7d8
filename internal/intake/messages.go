// Package intake is the interface for users: it accepts jobs, answers questions
// about them and cancels them. Every controller does it alike, straight on the state service.
package intake

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"

	"github.com/pebbletrail/pebbletrail/internal/claim"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
)

const bodyLimit = 64 * 1024

// submission is the body of POST /v2/runs. Pointers tell a missing field from
// a zero.
type submission struct {
	UID          *string   `json:"uid"`
	JobKind      *string   `json:"jobkind"`
	Owner        *string   `json:"owner"`
	Shape        *string   `json:"shape"`
	Urgency      *string   `json:"urgency"`
	Pieces       *float64  `json:"pieces"`
	Cores        *float64  `json:"cores"`
	Accelerators *float64  `json:"accelerators"`
	RAMGb        *float64  `json:"ramGb"`
	Bundle       *string   `json:"bundle"`
	PullGb       *float64  `json:"pullGb"`
	Builds       *[]string `json:"builds"`
	Yard         *string   `json:"yard"`
	Together     *bool     `json:"together"`
	Spread       *bool     `json:"spread"`
	Loaners      *bool     `json:"loaners"`
	GuessS       *float64  `json:"guessS"`
	BookmarkS    *float64  `json:"bookmarkS"`
	StashS       *float64  `json:"stashS"`
	DueS         *float64  `json:"dueS"`
	Awaits       *[]string `json:"awaits"`
}

// answer is what users are told of a job.
type answer struct {
	UID     ids.Job `json:"uid"`
	Status  string  `json:"status"`
	Done    int     `json:"done"`
	Running int     `json:"running"`
}

const (
	maxTasks = 100000 // of one job
	maxName  = 256    // bytes of a name in a submission
)

var shapes = map[string]claim.Shape{"array": claim.Array, "gang": claim.Gang, "standing": claim.Service}
var urgencies = map[string]claim.Priority{"critical": claim.Critical, "high": claim.High, "normal": claim.Normal, "low": claim.Low}

// parse reads and checks a submission; an error means 400.
func parse(r io.Reader) (claim.Spec, error) {
	s, err := readSubmission(r)
	if err != nil {
		return claim.Spec{}, err
	}
	if err := s.checkRequired(); err != nil {
		return claim.Spec{}, err
	}
	return s.spec()
}

// readSubmission reads a JSON object of bounded size.
func readSubmission(r io.Reader) (*submission, error) {
	raw, err := io.ReadAll(io.LimitReader(r, bodyLimit+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > bodyLimit {
		return nil, fmt.Errorf("body over %d bytes", bodyLimit)
	}
	if t := bytes.TrimLeft(raw, " \t\r\n"); len(t) == 0 || t[0] != '{' {
		return nil, fmt.Errorf("not a JSON object")
	}
	s := &submission{}
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("not readable: %w", err)
	}
	return s, nil
}

// checkRequired reports the first field that is missing or impossible.
func (s *submission) checkRequired() error {
	for _, f := range []struct {
		name string
		v    *string
	}{{"uid", s.UID}, {"jobkind", s.JobKind}, {"owner", s.Owner}, {"shape", s.Shape}, {"urgency", s.Urgency}, {"bundle", s.Bundle}} {
		if f.v == nil || *f.v == "" || len(*f.v) > maxName {
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

// spec converts a submission whose required fields are there.
func (s *submission) spec() (claim.Spec, error) {
	var none claim.Spec
	id, err := ids.ParseJob(*s.UID)
	if err != nil {
		return none, fmt.Errorf("uid: %w", err)
	}
	shape, ok := shapes[*s.Shape]
	if !ok {
		return none, fmt.Errorf("shape: unknown: %q", *s.Shape)
	}
	urgency, ok := urgencies[*s.Urgency]
	if !ok {
		return none, fmt.Errorf("urgency: unknown: %q", *s.Urgency)
	}
	if *s.Pieces < 1 || *s.Pieces > maxTasks || *s.Pieces != math.Trunc(*s.Pieces) {
		return none, fmt.Errorf("pieces: must be a whole number from 1 to %d", maxTasks)
	}
	if s.DueS != nil && !(*s.DueS >= 0) {
		return none, fmt.Errorf("dueS: below zero")
	}
	spec := claim.Spec{
		ID: id, Class: *s.JobKind, Team: *s.Owner, Shape: shape, Priority: urgency, Tasks: int(*s.Pieces),
		Need:  placement.Room{Cores: *s.Cores, Accels: *s.Accelerators, RAM: *s.RAMGb},
		Image: *s.Bundle, ImageGB: *s.PullGb, OneZone: *s.Together, Spread: *s.Spread, Spot: *s.Loaners,
		Estimate: ids.Seconds(*s.GuessS), Checkpoint: ids.Seconds(*s.BookmarkS), Save: ids.Seconds(*s.StashS),
	}
	if err := s.addOptional(&spec); err != nil {
		return none, err
	}
	return spec, nil
}

// addOptional adds the fields that a submission may leave out.
func (s *submission) addOptional(spec *claim.Spec) error {
	if s.Builds != nil {
		spec.Types = *s.Builds
		if spec.Types == nil {
			spec.Types = []string{}
		}
		for _, t := range spec.Types {
			if t == "" || len(t) > maxName {
				return fmt.Errorf("builds: empty or too long name")
			}
		}
	}
	if s.Yard != nil {
		if *s.Yard == "" || len(*s.Yard) > maxName {
			return fmt.Errorf("yard: empty or too long")
		}
		spec.Zone = *s.Yard
	}
	if s.DueS != nil {
		spec.Due = ids.Seconds(*s.DueS)
	}
	if s.Awaits == nil {
		return nil
	}
	seen := map[ids.Job]bool{} // to name one twice asks for nothing more
	for _, name := range *s.Awaits {
		need, err := ids.ParseJob(name)
		if err != nil {
			return fmt.Errorf("awaits: %w", err)
		}
		if !seen[need] {
			seen[need] = true
			spec.Awaits = append(spec.Awaits, need)
		}
	}
	return nil
}

// tell words a record for its user.
func tell(r *claim.Record) answer {
	a := answer{UID: r.Spec.ID, Done: r.Finished.Len(), Running: r.Open()}
	switch r.Status {
	case claim.Done:
		a.Status, a.Running = "done", 0
	case claim.Cancelled, claim.Cancelling:
		a.Status = "cancelled"
	case claim.Claimed:
		a.Status = "running"
	default:
		a.Status = "pending"
	}
	return a
}
