package placement

import "github.com/pebbletrail/pebbletrail/internal/ids"

// Type is an instance type on offer.
type Type struct {
	Label      string      `json:"label"`
	Cores      float64     `json:"cores"`
	Accels     float64     `json:"accelerators"`
	RAM        float64     `json:"ramGb"`
	CacheGB    float64     `json:"localGb"`     // space of the image cache
	PullGBPerS float64     `json:"pullGbPerS"`  // rate of image pulls, shared by concurrent ones
	Price      float64     `json:"price"`       // per hour
	SpotPrice  float64     `json:"marketPrice"` // per hour
	BootS      ids.Seconds `json:"bootS"`
	Zones      []string    `json:"yards"`
}

// Room returns the whole capacity of an instance.
func (t Type) Room() Room { return Room{t.Cores, t.Accels, t.RAM} }

// PriceOf returns the hourly price of a spot or an on-demand instance.
func (t Type) PriceOf(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}
