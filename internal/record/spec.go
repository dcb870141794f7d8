package record

import (
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
)

// Shape is how the tasks of a job belong together.
type Shape string

// The shapes.
const (
	Array   Shape = "array"   // independent tasks, each of which ends by itself
	Gang    Shape = "gang"    // tasks that run all at once or not at all
	Service Shape = "service" // replicas that run until the job is cancelled
)

// Priority orders jobs; higher goes first.
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

// Spec is a job as its user described it.
type Spec struct {
	ID                ids.Job             `json:"id"`
	Class             string              `json:"class,omitempty"` // service-level objectives are set by class
	Team              string              `json:"team"`
	Shape             Shape               `json:"shape"`
	Priority          Priority            `json:"priority"`
	Tasks             int                 `json:"tasks"`
	Resources         placement.Resources `json:"need"` // per task
	Image             string              `json:"image,omitempty"`
	ImageGB           float64             `json:"imageGb,omitempty"`
	InstanceTypes     []string            `json:"types,omitempty"` // allowed instance types; nil allows any
	Zone              string              `json:"zone,omitempty"`  // empty allows any
	SingleZone        bool                `json:"oneZone,omitempty"`
	Spread            bool                `json:"spread,omitempty"` // over zones
	AllowSpot         bool                `json:"spot,omitempty"`   // whether spot instances are allowed
	EstimatedDuration ids.Seconds         `json:"estimate,omitempty"`
	// CheckpointInterval is the time between two checkpoints of a task; zero: it writes none.
	CheckpointInterval ids.Seconds `json:"checkpoint,omitempty"`
	// CheckpointDuration is how long a task takes to write a checkpoint.
	CheckpointDuration ids.Seconds `json:"save,omitempty"`
	// Deadline counts from the submission; zero: none.
	Deadline ids.Seconds `json:"due,omitempty"`
	// DependsOn are the dependencies: jobs that must be done before any task starts.
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
		LongRunning:   s.Shape == Service,
	}
}
