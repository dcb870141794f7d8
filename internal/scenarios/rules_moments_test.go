package scenarios

import "time"

// moment is when a request was sent or a response arrived. Since much may happen at one instant of
// the fake clock, moments are ordered by their sequence. The zero moment is never.
type moment struct {
	at       time.Time
	sequence int
}

// isZero tells whether m is never.
func (m moment) isZero() bool { return m.sequence == 0 }

// after tells whether m came after another moment; nothing comes after never.
func (m moment) after(other moment) bool { return !other.isZero() && m.sequence > other.sequence }

// afterMoment tells whether a time is after a moment; nothing is after never.
func afterMoment(t time.Time, m moment) bool { return !m.isZero() && t.After(m.at) }

// setOnce sets a moment that was never before.
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

// nextMoment is now, and after all moments before. The caller holds mu.
func (r *rules) nextMoment() moment {
	r.sequence++
	return moment{time.Now(), r.sequence}
}
