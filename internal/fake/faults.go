package fake

import (
	"net/http"
	"strings"
)

// Fate is what happens to one request.
type Fate int

const (
	// Deliver passes request and answer.
	Deliver Fate = iota
	// Refuse fails the connection attempt: nothing arrives, now or later.
	Refuse
	// Swallow drops the request; the caller hangs until it gives up.
	Swallow
	// LoseAnswer delivers the request but not the answer.
	LoseAnswer
	// Hold keeps the request back until Release; the caller hangs meanwhile.
	Hold
	// Copy delivers, and keeps a copy back until Release.
	Copy
	// Late delivers the request after Delay; the caller hangs and gives up. What
	// was sent after it may be delivered before it.
	Late
	// SlowAnswer delivers at once, and the answer after Delay.
	SlowAnswer
)

// Rule decides a request's fate.
type Rule = func(from, to string, r *http.Request, body []byte) Fate

// isHost tells whether an address or a caller's name is a host's.
func isHost(host, name string) bool { return host == name || strings.HasPrefix(host, name+":") }

// Mute keeps a worker from reaching any controller, while direct commands reach it: a one-way
// partition.
func Mute(worker string) Rule {
	return func(from, _ string, _ *http.Request, _ []byte) Fate {
		if isHost(from, worker) {
			return Refuse
		}
		return Deliver
	}
}

// Deaf has a worker's heartbeats arrive, while answers and direct commands to it are lost: the
// other one-way partition.
func Deaf(worker string) Rule {
	return func(from, to string, _ *http.Request, _ []byte) Fate {
		switch {
		case isHost(from, worker):
			return LoseAnswer
		case isHost(to, worker):
			return Swallow
		}
		return Deliver
	}
}

// CopyReports keeps copies of a worker's heartbeats until Release, for the next leader.
func CopyReports(worker string) Rule {
	return func(from, _ string, r *http.Request, _ []byte) Fate {
		if isHost(from, worker) && r.URL.Path == heartbeatPath {
			return Copy
		}
		return Deliver
	}
}
