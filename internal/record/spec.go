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
	ID       ids.Job        `json:"id"`
	Class    string         `json:"class,omitempty"` // service-level objectives are set by class
	Team     string         `json:"team"`
	Shape    Shape          `json:"shape"`
	Priority Priority       `json:"priority"`
	Tasks    int            `json:"tasks"`
	Need     placement.Room `json:"need"` // per task
	Image    string         `json:"image,omitempty"`
	ImageGB  float64        `json:"imageGb,omitempty"`
	Types    []string       `json:"types,omitempty"` // allowed instance types; nil allows any
	Zone     string         `json:"zone,omitempty"`  // empty allows any
	OneZone  bool           `json:"oneZone,omitempty"`
	Spread   bool           `json:"spread,omitempty"` // over zones
	Spot     bool           `json:"spot,omitempty"`   // whether spot instances are allowed
	Estimate ids.Seconds    `json:"estimate,omitempty"`
	// Checkpoint is the time between two checkpoints of a task; zero: it writes none.
	Checkpoint ids.Seconds `json:"checkpoint,omitempty"`
	// Save is how long a task takes to write a checkpoint.
	Save ids.Seconds `json:"save,omitempty"`
	// Due counts from the submission; zero: none.
	Due ids.Seconds `json:"due,omitempty"`
	// Awaits are the dependencies: jobs that must be done before any task starts.
	Awaits []ids.Job `json:"awaits,omitempty"`
}

// Ask returns the placement request of one of the job's tasks.
func (s *Spec) Ask() placement.Ask {
	return placement.Ask{
		Need:    s.Need,
		Types:   s.Types,
		Zone:    s.Zone,
		Spot:    s.Spot,
		Image:   s.Image,
		ImageGB: s.ImageGB,
		Long:    s.Shape == Service,
	}
}
