package ids

import "time"

// Seconds is a duration in seconds, as messages, records and settings contain it.
type Seconds float64

// Duration converts s to a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// The largest clock error that deployments allow: a relative drift rate and a constant offset.
const (
	clockDriftFactor = 1.0011
	maxClockOffset   = 100 * time.Millisecond
)

// WithClockDrift returns the longest real time that may pass while a clock with the largest allowed error
// measures s. Code that relies on the expiry of a lease waits this long.
func (s Seconds) WithClockDrift() time.Duration {
	return time.Duration(float64(s.Duration())*clockDriftFactor) + maxClockOffset
}

// Timestamp is a wall-clock time in milliseconds since the Unix epoch. Use it only for ordering and
// display.
type Timestamp int64

// TimestampOf converts t to a Timestamp.
func TimestampOf(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) }

// Time converts t to a time.Time.
func (t Timestamp) Time() time.Time { return time.UnixMilli(int64(t)) }
