package fake

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// Headers that carry the time of sending and the sender to the fakes. Real hosts learn the sender
// from the connection, and do not learn the time of sending.
const (
	sentHeader = "Fake-Sent"
	fromHeader = "Fake-From"
)

// Network is an in-memory HTTP network that connects hosts by address.
type Network struct {
	// mu guards the fields below. No handler, rule or hook is called while it is held.
	mu    sync.Mutex
	hosts map[string]http.Handler
	// heldBack holds functions that deliver the requests held back, in order of sending.
	heldBack []func()
	// rule chooses the outcome of each request; nil delivers all requests.
	rule Rule
	// delay returns the delay of the next request, answer or copy with the outcome Delay, DelayResponse or
	// DuplicateLate; nil means defaultDelay.
	delay func() time.Duration
	// latency returns the one-way latency of a request or an answer; nil means none.
	latency func() time.Duration
	// results holds the tasks that have completed. Their results are stored outside the machines.
	results map[string]bool
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{hosts: map[string]http.Handler{}, results: map[string]bool{}}
}

// keepResult records that a task has completed.
func (n *Network) keepResult(task string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.results[task] = true
}

// hasResult reports whether a task has completed.
func (n *Network) hasResult(task string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.results[task]
}

// Listen registers the handler of an address. It replaces the handler registered before.
func (n *Network) Listen(addr string, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[addr] = handler
}

// handler returns the handler of an address, or nil if there is none.
func (n *Network) handler(addr string) http.Handler {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[addr]
}

// SetRule sets the rule that chooses the outcome of each request; nil delivers all requests.
func (n *Network) SetRule(rule Rule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rule = rule
}

// SetDelay sets the function that returns the delay of the next request, answer or copy with the outcome
// Delay, DelayResponse or DuplicateLate.
func (n *Network) SetDelay(delay func() time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// SetLatency sets the function that returns the one-way latency of a request or an answer.
func (n *Network) SetLatency(latency func() time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latency = latency
}

// Rule returns the rule set by SetRule.
func (n *Network) Rule() Rule {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rule
}

// Client returns an HTTP client that sends requests from the given host.
func (n *Network) Client(from string) *http.Client {
	return &http.Client{Transport: &transport{net: n, from: from}}
}

// ReleaseHeld delivers the requests held back, in order of sending, and returns their number.
func (n *Network) ReleaseHeld() int {
	n.mu.Lock()
	heldBack := n.heldBack
	n.heldBack = nil
	n.mu.Unlock()
	for _, deliver := range heldBack {
		deliver()
	}
	return len(heldBack)
}

// sleep waits for a duration and reports whether the context was still active at its end. It creates
// no timer for a duration of zero or less: under the race detector, Go 1.26 crashes on a timer of
// synctest's clock that has already expired when it is first checked.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// transport is an http.RoundTripper that sends the requests of one host over a Network.
type transport struct {
	net  *Network
	from string
}

// RoundTrip sends a request, with the outcome that the network's rule chooses.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		body, _ = io.ReadAll(r.Body) // cannot fail: bodies are in memory
		_ = r.Body.Close()           // no data is read afterwards
	}
	t.net.mu.Lock()
	handler, rule, latency := t.net.hosts[r.URL.Host], t.net.rule, t.net.latency
	t.net.mu.Unlock()
	d := &delivery{net: t.net, from: t.from, request: r, body: body, latency: latency, sentAt: time.Now().Format(time.RFC3339Nano)}
	outcome := Deliver
	if rule != nil {
		outcome = rule(t.from, r.URL.Host, r, body)
	}
	if handler == nil || outcome == Refuse {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errConnectionRefused}
	}
	d.waitLatency() // the request arrives even if its sender gives up during the latency
	return t.applyOutcome(outcome, d, handler)
}

// applyOutcome applies an outcome to a request.
func (t *transport) applyOutcome(outcome Outcome, d *delivery, handler http.Handler) (*http.Response, error) {
	ctx := d.request.Context()
	switch outcome {
	case DropResponse:
		_, _ = d.deliver(handler) // the answer is lost
	case Delay:
		time.AfterFunc(t.net.nextDelay(), d.deliverLate)
	case DelayResponse:
		response, err := d.deliver(handler)
		if sleep(ctx, t.net.nextDelay()) {
			return response, err
		}
	case HoldBack:
		t.net.holdBack(d)
	case Duplicate:
		t.net.holdBack(d)
		return d.deliver(handler)
	case DuplicateLate:
		time.AfterFunc(t.net.nextDelay(), d.deliverLate)
		return d.deliver(handler)
	case Deliver:
		return d.deliver(handler)
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// errConnectionRefused means that a connection was refused.
var errConnectionRefused = errors.New("connection refused")

// defaultDelay is the delay for the outcomes Delay, DelayResponse and DuplicateLate unless SetDelay was called.
const defaultDelay = 2 * time.Second

// nextDelay returns the delay of the next delayed request, answer or copy.
func (n *Network) nextDelay() time.Duration {
	n.mu.Lock()
	delay := n.delay
	n.mu.Unlock()
	if delay == nil {
		return defaultDelay
	}
	return delay()
}

// holdBack holds a request back until ReleaseHeld is called.
func (n *Network) holdBack(d *delivery) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heldBack = append(n.heldBack, d.deliverLate)
}

// delivery is a request in transit.
type delivery struct {
	net     *Network
	from    string
	request *http.Request
	body    []byte
	latency func() time.Duration
	sentAt  string // value of sentHeader
}

// waitLatency waits for the one-way latency, or until the sender gives up.
func (d *delivery) waitLatency() {
	if d.latency != nil {
		sleep(d.request.Context(), d.latency())
	}
}

// incomingRequest returns the request that the receiver gets.
func (d *delivery) incomingRequest() *http.Request {
	incomingRequest := httptest.NewRequest(d.request.Method, d.request.URL.String(), bytes.NewReader(d.body))
	incomingRequest.Header = d.request.Header.Clone()
	incomingRequest.Header.Set(sentHeader, d.sentAt)
	incomingRequest.Header.Set(fromHeader, d.from)
	return incomingRequest
}

// deliver passes the request to a handler and returns the answer after the one-way latency.
func (d *delivery) deliver(handler http.Handler) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, d.incomingRequest().WithContext(d.request.Context()))
	response := recorder.Result()
	response.Header.Set(sentHeader, time.Now().Format(time.RFC3339Nano))
	d.waitLatency()
	if err := d.request.Context().Err(); err != nil {
		return nil, err // the sender has given up
	}
	return response, nil
}

// deliverLate passes the request to the handler that the address has now. The answer is lost.
func (d *delivery) deliverLate() {
	if handler := d.net.handler(d.request.URL.Host); handler != nil {
		handler.ServeHTTP(httptest.NewRecorder(), d.incomingRequest())
	}
}
