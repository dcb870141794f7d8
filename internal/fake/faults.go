package fake

import (
	"net/http"
	"strings"
)

// Outcome determines what the network does with a request and its answer.
type Outcome int

const (
	// Deliver delivers the request and the answer.
	Deliver Outcome = iota
	// Refuse fails the connection attempt: the request never arrives.
	Refuse
	// Drop drops the request; the caller waits until its timeout.
	Drop
	// DropResponse delivers the request but not the answer.
	DropResponse
	// HoldBack delivers the request when ReleaseHeld is called; the caller gets no answer.
	HoldBack
	// Duplicate delivers the request and the answer, and delivers a copy of the request when
	// ReleaseHeld is called.
	Duplicate
	// DuplicateLate delivers the request and the answer, and delivers a copy of the request after the
	// delay set by SetDelay.
	DuplicateLate
	// Delay delivers the request after the delay set by SetDelay; the caller gets no answer. Requests
	// sent later may be delivered earlier.
	Delay
	// DelayResponse delivers the request at once, and the answer after the delay set by SetDelay.
	DelayResponse
)

// Rule chooses the outcome of a request.
type Rule = func(from, to string, r *http.Request, body []byte) Outcome

// isHost reports whether host is the given name, with or without a port.
func isHost(host, name string) bool { return host == name || strings.HasPrefix(host, name+":") }

// PartitionOutbound returns a rule for a one-way partition: the worker's requests are refused, while
// direct commands from controllers reach it.
func PartitionOutbound(worker string) Rule {
	return func(from, _ string, _ *http.Request, _ []byte) Outcome {
		if isHost(from, worker) {
			return Refuse
		}
		return Deliver
	}
}

// PartitionInbound returns a rule for a one-way partition: the worker's heartbeats arrive, while
// answers and direct commands to it are lost.
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

// DuplicateChanges returns a rule that applies an outcome, Duplicate or DuplicateLate, to the requests that
// change something and are selected by the function: commands, heartbeats, users' requests, transactions
// and calls on leases.
func DuplicateChanges(outcome Outcome, selected func() bool) Rule {
	return func(_, _ string, r *http.Request, _ []byte) Outcome {
		if r.Method != http.MethodGet && selected() {
			return outcome
		}
		return Deliver
	}
}

// DuplicateHeartbeats returns a rule that keeps copies of a worker's heartbeats until ReleaseHeld is
// called, so that a later leader can receive outdated heartbeats.
func DuplicateHeartbeats(worker string) Rule {
	return func(from, _ string, r *http.Request, _ []byte) Outcome {
		if isHost(from, worker) && r.URL.Path == heartbeatPath {
			return Duplicate
		}
		return Deliver
	}
}
