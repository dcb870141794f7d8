package scenarios

import "time"

// moment is when a request was sent or an answer arrived: the zero moment is never.
type moment struct {
	at       time.Time
	sequence int
}

func (m moment) isZero() bool { return m.sequence == 0 }

// after tells whether m came after another moment, which has been.
func (m moment) after(o moment) bool { return !o.isZero() && m.sequence > o.sequence }

// afterMoment tells whether t is after an answer came.
func afterMoment(t time.Time, m moment) bool { return !m.isZero() && t.After(m.at) }

func setOnce(m *moment, now moment) {
	if m.isZero() {
		*m = now
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (r *rules) nextMoment() moment {
	r.sequence++
	return moment{time.Now(), r.sequence}
}
