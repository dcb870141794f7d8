package scenarios

import "time"

// moment is the time at which a request was sent or a response arrived. Several moments may have the
// same time on the fake clock: sequence orders them. The zero moment stands for an event that has
// not happened.
type moment struct {
	at       time.Time
	sequence int
}

// isZero reports whether the event of m has not happened.
func (m moment) isZero() bool { return m.sequence == 0 }

// after reports whether m came after another moment. It is false if the other one is zero.
func (m moment) after(other moment) bool { return !other.isZero() && m.sequence > other.sequence }

// afterMoment reports whether a time is after a moment. It is false if the moment is zero.
func afterMoment(t time.Time, m moment) bool { return !m.isZero() && t.After(m.at) }

// setOnce sets a moment to now unless it is set already.
func setOnce(m *moment, now moment) {
	if m.isZero() {
		*m = now
	}
}

// maxTime returns the later of two times.
func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// nextMoment returns a moment at the current time that comes after all earlier ones. The caller
// holds mu.
func (r *rules) nextMoment() moment {
	r.sequence++
	return moment{time.Now(), r.sequence}
}
