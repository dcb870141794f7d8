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

// The headers tell the fakes what real hosts learn from a connection, or not at all.
const (
	sentHeader = "Fake-Sent"
	fromHeader = "Fake-From"
)

// Network joins hosts by name.
type Network struct {
	// mu guards the fields below. No handler, rule or hook is called under it.
	mu    sync.Mutex
	hosts map[string]http.Handler
	// heldBack delivers what is kept back, in order.
	heldBack []func()
	// rule decides each request's fate; nil delivers all.
	rule Rule
	// delay is how late the next Late request or SlowAnswer is delivered; defaultDelay if nil.
	delay func() time.Duration
	// latency is how long a request takes, and its answer again; nil is no time.
	latency func() time.Duration
	// results are the tasks that completed, whose results are kept outside the machines.
	results map[string]bool
}

// NewNetwork makes an empty network.
func NewNetwork() *Network {
	return &Network{hosts: map[string]http.Handler{}, results: map[string]bool{}}
}

// keepResult remembers that a task has completed.
func (n *Network) keepResult(task string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.results[task] = true
}

// hasResult tells whether a task has completed.
func (n *Network) hasResult(task string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.results[task]
}

// Listen puts a host on the network, in place of the one that listened there.
func (n *Network) Listen(addr string, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[addr] = handler
}

// handler is who listens at an address; nil: nobody does.
func (n *Network) handler(addr string) http.Handler {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[addr]
}

// SetRule changes the rule; nil delivers all.
func (n *Network) SetRule(rule Rule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rule = rule
}

// SetDelay sets how late the next Late request or SlowAnswer is delivered.
func (n *Network) SetDelay(delay func() time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// SetLatency sets how long a request takes, and its answer again.
func (n *Network) SetLatency(latency func() time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latency = latency
}

// CurrentRule is the rule now.
func (n *Network) CurrentRule() Rule {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rule
}

// Client is how one host calls the others.
func (n *Network) Client(from string) *http.Client {
	return &http.Client{Transport: &transport{net: n, from: from}}
}

// ReleaseHeld delivers what was held back, in order, and tells how much that was.
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

// sleep waits, and tells whether it did so to the end. It makes no timer for no time:
// under the race detector Go 1.26 crashes on a timer of synctest's clock that is due
// when it is first looked at.
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

// transport is how one host reaches the others.
type transport struct {
	net  *Network
	from string
}

// RoundTrip carries one request.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		body, _ = io.ReadAll(r.Body) // bodies are in memory
		_ = r.Body.Close()           // nothing is read from it afterwards
	}
	t.net.mu.Lock()
	handler, rule, latency := t.net.hosts[r.URL.Host], t.net.rule, t.net.latency
	t.net.mu.Unlock()
	d := &delivery{net: t.net, from: t.from, request: r, body: body, latency: latency, sentAt: time.Now().Format(time.RFC3339Nano)}
	fate := Deliver
	if rule != nil {
		fate = rule(t.from, r.URL.Host, r, body)
	}
	if handler == nil || fate == Refuse {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errRefused}
	}
	d.travel() // it arrives even if its sender gives up meanwhile
	return t.carryOut(fate, d, handler)
}

// carryOut has a fate happen to a request.
func (t *transport) carryOut(fate Outcome, d *delivery, handler http.Handler) (*http.Response, error) {
	ctx := d.request.Context()
	switch fate {
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
	case Deliver:
		return d.deliver(handler)
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// errRefused tells that nobody listens at an address.
var errRefused = errors.New("connection refused")

// defaultDelay is how late a Late request or a SlowAnswer is unless SetDelay says otherwise.
const defaultDelay = 2 * time.Second

// nextDelay is how late the next late request or answer is.
func (n *Network) nextDelay() time.Duration {
	n.mu.Lock()
	delay := n.delay
	n.mu.Unlock()
	if delay == nil {
		return defaultDelay
	}
	return delay()
}

// holdBack keeps a request until Release.
func (n *Network) holdBack(d *delivery) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heldBack = append(n.heldBack, d.deliverLate)
}

// delivery is one request on its way.
type delivery struct {
	net     *Network
	from    string
	request *http.Request
	body    []byte
	latency func() time.Duration
	sentAt  string // as in sentHeader
}

// travel takes the time of one way, unless the sender gives up.
func (d *delivery) travel() {
	if d.latency != nil {
		sleep(d.request.Context(), d.latency())
	}
}

// incoming is the request as its receiver gets it.
func (d *delivery) incoming() *http.Request {
	incoming := httptest.NewRequest(d.request.Method, d.request.URL.String(), bytes.NewReader(d.body))
	incoming.Header = d.request.Header.Clone()
	incoming.Header.Set(sentHeader, d.sentAt)
	incoming.Header.Set(fromHeader, d.from)
	return incoming
}

// deliver hands the request over and brings the answer back.
func (d *delivery) deliver(handler http.Handler) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, d.incoming().WithContext(d.request.Context()))
	response := recorder.Result()
	response.Header.Set(sentHeader, time.Now().Format(time.RFC3339Nano))
	d.travel()
	if err := d.request.Context().Err(); err != nil {
		return nil, err // nobody waits for the answer any more
	}
	return response, nil
}

// deliverLate hands the request to whoever listens there by then; the answer is lost.
func (d *delivery) deliverLate() {
	if handler := d.net.handler(d.request.URL.Host); handler != nil {
		handler.ServeHTTP(httptest.NewRecorder(), d.incoming())
	}
}
