// Package fake holds in-memory stand-ins of what the controllers meet: the
// network, the state service, the cloud and the workers. Scenarios in the tests
// run on them, under a clock of their own. They are met by protocol only, so
// rehearsals of real processes (internal/rehearsal) use the state service and the
// workers too.
package fake

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
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

// Net joins hosts by name.
type Net struct {
	mu    sync.Mutex
	hosts map[string]http.Handler
	held  []func()
	// rule decides each request's fate; nil delivers all.
	rule Rule
	// delay is how late the next Late request or SlowAnswer is delivered; defaultDelay if nil.
	delay func() time.Duration
	// lag is how long a request takes, and its answer again; nil is no time.
	lag func() time.Duration

	results map[string]bool // tasks that completed, whose results are kept outside the machines
}

// Rule decides a request's fate.
type Rule = func(from, to string, r *http.Request, body []byte) Fate

// Rules joins rules: the first that does not simply deliver decides.
func Rules(rules ...Rule) Rule {
	return func(from, to string, r *http.Request, body []byte) Fate {
		for _, rule := range rules {
			if f := rule(from, to, r, body); f != Deliver {
				return f
			}
		}
		return Deliver
	}
}

// On applies a fate to the requests on a path.
func On(path string, f Fate) Rule {
	return func(_, _ string, r *http.Request, _ []byte) Fate {
		if r.URL.Path == path {
			return f
		}
		return Deliver
	}
}

func isHost(host, name string) bool { return host == name || strings.HasPrefix(host, name+":") }

// Mute keeps a worker from reaching any controller, while direct commands reach it.
func Mute(worker string) Rule {
	return func(from, _ string, _ *http.Request, _ []byte) Fate {
		if isHost(from, worker) {
			return Refuse
		}
		return Deliver
	}
}

// Deaf has a worker's reports arrive, while answers and direct commands to it are lost.
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

// CopyReports keeps copies of a worker's reports until Release, for the next leader.
func CopyReports(worker string) Rule {
	return func(from, _ string, r *http.Request, _ []byte) Fate {
		if isHost(from, worker) && r.URL.Path == "/agent/beat" {
			return Copy
		}
		return Deliver
	}
}

// The headers tell the fakes what real hosts learn from a connection, or not at all.
const (
	sentHeader = "Fake-Sent"
	fromHeader = "Fake-From"
)

func (n *Net) keepResult(task string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.results == nil {
		n.results = map[string]bool{}
	}
	n.results[task] = true
}

func (n *Net) result(task string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.results[task]
}

// NewNet makes an empty network.
func NewNet() *Net { return &Net{hosts: map[string]http.Handler{}} }

// Listen puts a host on the network.
func (n *Net) Listen(addr string, h http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[addr] = h
}

// SetRule changes the rule.
func (n *Net) SetRule(f func(from, to string, r *http.Request, body []byte) Fate) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rule = f
}

// SetDelay sets how late the next Late request or SlowAnswer is delivered.
func (n *Net) SetDelay(f func() time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = f
}

// SetLag sets how long a request takes, and its answer again.
func (n *Net) SetLag(f func() time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lag = f
}

// Current is the rule now.
func (n *Net) Current() Rule {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rule
}

// Client is how one host calls the others.
func (n *Net) Client(from string) *http.Client {
	return &http.Client{Transport: &wire{n, from}}
}

// Release delivers what was held back, in order.
func (n *Net) Release() int {
	n.mu.Lock()
	held := n.held
	n.held = nil
	n.mu.Unlock()
	for _, f := range held {
		f()
	}
	return len(held)
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

// wire is how one host reaches the others.
type wire struct {
	net  *Net
	from string
}

// RoundTrip carries one request.
func (w *wire) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		body, _ = io.ReadAll(r.Body)
		r.Body.Close()
	}
	w.net.mu.Lock()
	h, rule, lag := w.net.hosts[r.URL.Host], w.net.rule, w.net.lag
	w.net.mu.Unlock()
	d := &delivery{net: w.net, from: w.from, request: r, body: body, lag: lag, sent: time.Now().Format(time.RFC3339Nano)}
	fate := Deliver
	if rule != nil {
		fate = rule(w.from, r.URL.Host, r, body)
	}
	if h == nil || fate == Refuse {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("connection refused")}
	}
	d.travel() // it arrives even if its sender gives up meanwhile
	switch fate {
	case LoseAnswer:
		d.deliver(h)
	case Late:
		time.AfterFunc(w.net.nextDelay(), d.deliverLate)
	case SlowAnswer:
		res, err := d.deliver(h)
		if sleep(r.Context(), w.net.nextDelay()) {
			return res, err
		}
	case Hold:
		w.net.holdBack(d)
	case Copy:
		w.net.holdBack(d)
		return d.deliver(h)
	case Deliver:
		return d.deliver(h)
	}
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// defaultDelay is how late a Late request or a SlowAnswer is unless SetDelay says otherwise.
const defaultDelay = 2 * time.Second

// nextDelay is how late the next late request or answer is.
func (n *Net) nextDelay() time.Duration {
	n.mu.Lock()
	delay := n.delay
	n.mu.Unlock()
	if delay == nil {
		return defaultDelay
	}
	return delay()
}

// holdBack keeps a request until Release.
func (n *Net) holdBack(d *delivery) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held = append(n.held, d.deliverLate)
}

// delivery is one request on its way.
type delivery struct {
	net     *Net
	from    string
	request *http.Request
	body    []byte
	lag     func() time.Duration
	sent    string
}

// travel takes the time of one way, unless the sender gives up.
func (d *delivery) travel() {
	if d.lag != nil {
		sleep(d.request.Context(), d.lag())
	}
}

// incoming is the request as its receiver gets it.
func (d *delivery) incoming() *http.Request {
	in := httptest.NewRequest(d.request.Method, d.request.URL.String(), bytes.NewReader(d.body))
	in.Header = d.request.Header.Clone()
	in.Header.Set(sentHeader, d.sent)
	in.Header.Set(fromHeader, d.from)
	return in
}

// deliver hands the request over and brings the answer back.
func (d *delivery) deliver(h http.Handler) (*http.Response, error) {
	out := httptest.NewRecorder()
	h.ServeHTTP(out, d.incoming().WithContext(d.request.Context()))
	res := out.Result()
	res.Header.Set(sentHeader, time.Now().Format(time.RFC3339Nano))
	d.travel()
	if err := d.request.Context().Err(); err != nil {
		return nil, err // nobody waits for the answer any more
	}
	return res, nil
}

// deliverLate hands the request to whoever listens there by then; the answer is lost.
func (d *delivery) deliverLate() {
	d.net.mu.Lock()
	h := d.net.hosts[d.request.URL.Host]
	d.net.mu.Unlock()
	if h != nil {
		h.ServeHTTP(httptest.NewRecorder(), d.incoming())
	}
}
