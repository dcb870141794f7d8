package record

import (
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
)

// JobType is the type of a job, which determines whether its tasks run independently.
type JobType string

// The job types.
const (
	Array   JobType = "array"   // independent tasks that run to completion
	Gang    JobType = "gang"    // tasks that run all at the same time or not at all
	Service JobType = "service" // replicas that run until the job is cancelled
)

// Priority is the priority of a job; jobs of a higher one are scheduled first.
type Priority int

// The priorities.
const (
	Low Priority = iota
	Normal
	High
	Critical
)

var priorityNames = [...]string{"low", "normal", "high", "critical"}

func (p Priority) String() string { return priorityNames[p] }

// Spec is the specification of a job as its user submitted it.
type Spec struct {
	ID                ids.Job             `json:"id"`
	Class             string              `json:"class,omitempty"` // selects the service-level objective
	Team              string              `json:"team"`
	JobType           JobType             `json:"shape"`
	Priority          Priority            `json:"priority"`
	Tasks             int                 `json:"tasks"`
	Resources         placement.Resources `json:"need"` // resources of each task
	Image             string              `json:"image,omitempty"`
	ImageGB           float64             `json:"imageGb,omitempty"`
	InstanceTypes     []string            `json:"types,omitempty"`   // allowed instance types; nil allows all
	Zone              string              `json:"zone,omitempty"`    // required zone; empty allows all
	SingleZone        bool                `json:"oneZone,omitempty"` // whether all tasks must run in the same zone
	Spread            bool                `json:"spread,omitempty"`  // whether tasks are spread over zones
	AllowSpot         bool                `json:"spot,omitempty"`    // whether spot instances are allowed
	EstimatedDuration ids.Seconds         `json:"estimate,omitempty"`
	// CheckpointInterval is the time between two checkpoints of a task; zero if it writes none.
	CheckpointInterval ids.Seconds `json:"checkpoint,omitempty"`
	// CheckpointDuration is the time that a task takes to write a checkpoint.
	CheckpointDuration ids.Seconds `json:"save,omitempty"`
	// Deadline is the time after the submission at which the job should be done; zero for none.
	Deadline ids.Seconds `json:"due,omitempty"`
	// DependsOn lists the dependencies: jobs that must be done before any task starts.
	DependsOn []ids.Job `json:"awaits,omitempty"`
}

// PlacementRequest returns the placement request of one of the job's tasks.
func (s *Spec) PlacementRequest() placement.Request {
	return placement.Request{
		Resources:     s.Resources,
		InstanceTypes: s.InstanceTypes,
		Zone:          s.Zone,
		AllowSpot:     s.AllowSpot,
		Image:         s.Image,
		ImageGB:       s.ImageGB,
		LongRunning:   s.JobType == Service,
	}
}
