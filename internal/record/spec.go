package record

import (
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
)

// Shape is how a job's tasks belong together.
type Shape string

// The three shapes.
const (
	Array   Shape = "array"
	Gang    Shape = "gang"
	Service Shape = "service"
)

// Priority orders jobs; higher goes first.
type Priority int

// The four priorities.
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
	ID         ids.Job        `json:"id"`
	Class      string         `json:"class,omitempty"`
	Team       string         `json:"team"`
	Shape      Shape          `json:"shape"`
	Priority   Priority       `json:"priority"`
	Tasks      int            `json:"tasks"`
	Need       placement.Room `json:"need"`
	Image      string         `json:"image,omitempty"`
	ImageGB    float64        `json:"imageGb,omitempty"`
	Types      []string       `json:"types,omitempty"`
	Zone       string         `json:"zone,omitempty"`
	OneZone    bool           `json:"oneZone,omitempty"`
	Spread     bool           `json:"spread,omitempty"`
	Spot       bool           `json:"spot,omitempty"`
	Estimate   ids.Seconds    `json:"estimate,omitempty"`
	Checkpoint ids.Seconds    `json:"checkpoint,omitempty"`
	Save       ids.Seconds    `json:"save,omitempty"`
	Due        ids.Seconds    `json:"due,omitempty"`
	// Awaits are the jobs that must be done before any task starts.
	Awaits []ids.Job `json:"awaits,omitempty"`
}

// Ask is what placement needs to know of one of its tasks.
func (s *Spec) Ask() placement.Ask {
	return placement.Ask{Need: s.Need, Types: s.Types, Zone: s.Zone, Spot: s.Spot, Image: s.Image, ImageGB: s.ImageGB, Long: s.Shape == Service}
}
