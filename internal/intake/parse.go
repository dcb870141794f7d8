package intake

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// Limits on a submission.
const (
	maxBodyBytes = 64 * 1024 // bytes
	maxNameBytes = 256       // bytes per name
	maxTasks     = 100000
)

// jobTypes and priorities map values of the protocol to those of job records.
var jobTypes = map[string]record.JobType{"array": record.Array, "gang": record.Gang, "standing": record.Service}
var priorities = map[string]record.Priority{"critical": record.Critical, "high": record.High, "normal": record.Normal, "low": record.Low}

// parseSubmission reads and validates a submission. Its errors are returned to users and therefore name
// the fields as the protocol does.
func parseSubmission(body io.Reader) (record.Spec, error) {
	raw, err := io.ReadAll(io.LimitReader(body, maxBodyBytes+1))
	if err != nil {
		return record.Spec{}, err
	}
	if len(raw) > maxBodyBytes {
		return record.Spec{}, fmt.Errorf("body over %d bytes", maxBodyBytes)
	}
	if trimmed := bytes.TrimLeft(raw, " \t\r\n"); len(trimmed) == 0 || trimmed[0] != '{' {
		return record.Spec{}, errors.New("not a JSON object")
	}
	var s submission
	if err := exactjson.Unmarshal(raw, &s); err != nil {
		return record.Spec{}, fmt.Errorf("not readable: %w", err)
	}
	if err := s.checkRequired(); err != nil {
		return record.Spec{}, err
	}
	return s.spec()
}

// checkRequired checks that every required field is present and valid.
func (s *submission) checkRequired() error {
	for _, field := range []struct {
		name  string
		value *string
	}{
		{"uid", s.ID}, {"jobkind", s.Class}, {"owner", s.Team}, {"shape", s.Shape}, {"urgency", s.Priority}, {"bundle", s.Image},
	} {
		if field.value == nil || !isValidName(*field.value) {
			return fmt.Errorf("%s: missing, empty or too long", field.name)
		}
	}
	for _, field := range []struct {
		name  string
		value *float64
	}{
		{"pieces", s.Tasks}, {"cores", s.Cores}, {"accelerators", s.Accelerators}, {"ramGb", s.MemoryGB},
		{"pullGb", s.ImageGB}, {"guessS", s.EstimateSeconds}, {"bookmarkS", s.CheckpointSeconds}, {"stashS", s.SaveSeconds},
	} {
		if field.value == nil || !(*field.value >= 0) || math.IsInf(*field.value, 0) {
			return fmt.Errorf("%s: missing or below zero", field.name)
		}
	}
	for _, field := range []struct {
		name  string
		value *bool
	}{{"together", s.OneZone}, {"spread", s.Spread}, {"loaners", s.Spot}} {
		if field.value == nil {
			return fmt.Errorf("%s: missing", field.name)
		}
	}
	return nil
}

// isValidName reports whether a text has a valid length for a name, such as that of a job class, zone or
// image.
func isValidName(text string) bool { return text != "" && len(text) <= maxNameBytes }

// spec converts a submission to a job spec. All required fields must be present.
func (s *submission) spec() (record.Spec, error) {
	spec := record.Spec{
		Class:              *s.Class,
		Team:               *s.Team,
		Resources:          placement.Resources{Cores: *s.Cores, Accels: *s.Accelerators, RAM: *s.MemoryGB},
		Image:              *s.Image,
		ImageGB:            *s.ImageGB,
		SingleZone:         *s.OneZone,
		Spread:             *s.Spread,
		AllowSpot:          *s.Spot,
		EstimatedDuration:  ids.Seconds(*s.EstimateSeconds),
		CheckpointInterval: ids.Seconds(*s.CheckpointSeconds),
		CheckpointDuration: ids.Seconds(*s.SaveSeconds),
	}
	var err error
	if spec.ID, err = ids.ParseJob(*s.ID); err != nil {
		return record.Spec{}, fmt.Errorf("uid: %w", err)
	}
	var known bool
	if spec.JobType, known = jobTypes[*s.Shape]; !known {
		return record.Spec{}, fmt.Errorf("shape: unknown: %q", *s.Shape)
	}
	if spec.Priority, known = priorities[*s.Priority]; !known {
		return record.Spec{}, fmt.Errorf("urgency: unknown: %q", *s.Priority)
	}
	if *s.Tasks < 1 || *s.Tasks > maxTasks || *s.Tasks != math.Trunc(*s.Tasks) {
		return record.Spec{}, fmt.Errorf("pieces: must be a whole number from 1 to %d", maxTasks)
	}
	spec.Tasks = int(*s.Tasks)
	if err := s.addOptional(&spec); err != nil {
		return record.Spec{}, err
	}
	return spec, nil
}

// addOptional copies the optional fields, which may be null or missing, to a spec.
func (s *submission) addOptional(spec *record.Spec) error {
	if s.MachineTypes != nil {
		spec.InstanceTypes = *s.MachineTypes
		if spec.InstanceTypes == nil {
			spec.InstanceTypes = []string{}
		}
		for _, machineType := range spec.InstanceTypes {
			if !isValidName(machineType) {
				return errors.New("builds: empty or too long name")
			}
		}
	}
	if s.Zone != nil {
		if !isValidName(*s.Zone) {
			return errors.New("yard: empty or too long")
		}
		spec.Zone = *s.Zone
	}
	if s.DeadlineSeconds != nil {
		if !(*s.DeadlineSeconds >= 0) {
			return errors.New("dueS: below zero")
		}
		spec.Deadline = ids.Seconds(*s.DeadlineSeconds)
	}
	if s.Dependencies != nil {
		var err error
		if spec.DependsOn, err = parseDependencies(*s.Dependencies); err != nil {
			return err
		}
	}
	return nil
}

// parseDependencies parses the identifiers of a job's dependencies and removes duplicates.
func parseDependencies(names []string) (dependencies []ids.Job, err error) {
	seen := map[ids.Job]bool{}
	for _, name := range names {
		id, err := ids.ParseJob(name)
		if err != nil {
			return nil, fmt.Errorf("awaits: %w", err)
		}
		if !seen[id] {
			seen[id] = true
			dependencies = append(dependencies, id)
		}
	}
	return dependencies, nil
}
