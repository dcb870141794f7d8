package fake

import (
	"net/http"
	"strings"
)

// Outcome is what happens to one request.
type Outcome int

const (
	// Deliver passes request and answer.
	Deliver Outcome = iota
	// Refuse fails the connection attempt: nothing arrives, now or later.
	Refuse
	// Drop drops the request; the caller hangs until it gives up.
	Drop
	// DropResponse delivers the request but not the answer.
	DropResponse
	// HoldBack keeps the request back until Release; the caller hangs meanwhile.
	HoldBack
	// Duplicate delivers, and keeps a copy back until Release.
	Duplicate
	// Delay delivers the request after Delay; the caller hangs and gives up. What
	// was sent after it may be delivered before it.
	Delay
	// DelayResponse delivers at once, and the answer after Delay.
	DelayResponse
)

// Rule decides a request's fate.
type Rule = func(from, to string, r *http.Request, body []byte) Outcome

// isHost tells whether an address or a caller's name is a host's.
func isHost(host, name string) bool { return host == name || strings.HasPrefix(host, name+":") }

// PartitionOutbound keeps a worker from reaching any controller, while direct commands reach it: a one-way
// partition.
func PartitionOutbound(worker string) Rule {
	return func(from, _ string, _ *http.Request, _ []byte) Outcome {
		if isHost(from, worker) {
			return Refuse
		}
		return Deliver
	}
}

// PartitionInbound has a worker's heartbeats arrive, while answers and direct commands to it are lost: the
// other one-way partition.
func PartitionInbound(worker string) Rule {
	return func(from, to string, _ *http.Request, _ []byte) Outcome {
		switch {
		case isHost(from, worker):
			return DropResponse
		case isHost(to, worker):
			return Drop
		}
		return Deliver
	}
}

// DuplicateHeartbeats keeps copies of a worker's heartbeats until Release, for the next leader.
func DuplicateHeartbeats(worker string) Rule {
	return func(from, _ string, r *http.Request, _ []byte) Outcome {
		if isHost(from, worker) && r.URL.Path == heartbeatPath {
			return Duplicate
		}
		return Deliver
	}
}
