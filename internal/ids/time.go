package ids

import "time"

// Seconds is a duration as the interfaces write it.
type Seconds float64

// Duration converts to Go's own type.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// The error of the worst clock that deployments allow: its rate, and a fixed allowance.
const (
	clockDriftFactor = 1.0011
	clockAllowance   = 100 * time.Millisecond
)

// Drifted is the longest time that may truly pass while a clock as bad as the deployments allow
// shows s. Whatever relies on the expiry of a lease waits this long.
func (s Seconds) Drifted() time.Duration {
	return time.Duration(float64(s.Duration())*clockDriftFactor) + clockAllowance
}

// Wall is a wall-clock time in milliseconds since the Unix epoch, only good for ordering and
// display.
type Wall int64

// WallOf converts a time.
func WallOf(t time.Time) Wall { return Wall(t.UnixMilli()) }

// Time converts to Go's own type.
func (w Wall) Time() time.Time { return time.UnixMilli(int64(w)) }
