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

// WithClockDrift is the longest time that may truly pass while a clock as bad as the deployments allow
// shows s. Whatever relies on the expiry of a lease waits this long.
func (s Seconds) WithClockDrift() time.Duration {
	return time.Duration(float64(s.Duration())*clockDriftFactor) + clockAllowance
}

// Timestamp is a wall-clock time in milliseconds since the Unix epoch, only good for ordering and
// display.
type Timestamp int64

// TimestampOf converts a time.
func TimestampOf(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) }

// Time converts to Go's own type.
func (w Timestamp) Time() time.Time { return time.UnixMilli(int64(w)) }
