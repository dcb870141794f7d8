package placement

import "github.com/pebbletrail/pebbletrail/internal/ids"

// InstanceType is an instance type that the cloud offers.
type InstanceType struct {
	Label      string      `json:"label"`
	Cores      float64     `json:"cores"`
	Accels     float64     `json:"accelerators"`
	RAM        float64     `json:"ramGb"`
	CacheGB    float64     `json:"localGb"`     // size of the image cache
	PullGBPerS float64     `json:"pullGbPerS"`  // rate of image pulls, shared by concurrent pulls
	Price      float64     `json:"price"`       // per hour
	SpotPrice  float64     `json:"marketPrice"` // per hour
	BootS      ids.Seconds `json:"bootS"`
	Zones      []string    `json:"yards"`
}

// Capacity returns the total capacity of an instance.
func (t InstanceType) Capacity() Resources { return Resources{t.Cores, t.Accels, t.RAM} }

// HourlyPrice returns the hourly price of a spot instance or of an on-demand instance.
func (t InstanceType) HourlyPrice(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}
