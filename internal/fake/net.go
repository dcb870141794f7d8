// Package fake holds in-memory stand-ins of what the controllers meet: the
// network, the state service, the cloud and the workers. Stories in the tests
// run on them, under a clock of their own. They are met by protocol only, so
// that a rehearsal kit can grow from them.
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
	// Rule decides each request's fate; nil delivers all.
	Rule func(from, to string, r *http.Request, body []byte) Fate
	// Delay is how late the next Late request or SlowAnswer is delivered; 2 s if nil.
	Delay func() time.Duration
	// Lag is how long a request takes, and its answer again; nil is no time.
	Lag func() time.Duration

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
	n.Rule = f
}

// Current is the rule now.
func (n *Net) Current() Rule {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Rule
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
	h, rule, lag := w.net.hosts[r.URL.Host], w.net.Rule, w.net.Lag
	w.net.mu.Unlock()
	travel := func() {
		if lag != nil {
			sleep(r.Context(), lag())
		}
	}
	sent := time.Now().Format(time.RFC3339Nano)
	mark := func(in *http.Request) {
		in.Header = r.Header.Clone()
		in.Header.Set(sentHeader, sent)
		in.Header.Set(fromHeader, w.from)
	}
	fate := Deliver
	if rule != nil {
		fate = rule(w.from, r.URL.Host, r, body)
	}
	if h == nil || fate == Refuse {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("connection refused")}
	}
	travel() // it arrives even if its sender gives up meanwhile
	late := func() {
		// It reaches whoever listens there by then.
		w.net.mu.Lock()
		h := w.net.hosts[r.URL.Host]
		w.net.mu.Unlock()
		if h != nil {
			in := httptest.NewRequest(r.Method, r.URL.String(), bytes.NewReader(body))
			mark(in)
			h.ServeHTTP(httptest.NewRecorder(), in)
		}
	}
	keep := func() {
		w.net.mu.Lock()
		w.net.held = append(w.net.held, late)
		w.net.mu.Unlock()
	}
	deliver := func() (*http.Response, error) {
		in := httptest.NewRequest(r.Method, r.URL.String(), bytes.NewReader(body))
		mark(in)
		in = in.WithContext(r.Context())
		out := httptest.NewRecorder()
		h.ServeHTTP(out, in)
		res := out.Result()
		res.Header.Set(sentHeader, time.Now().Format(time.RFC3339Nano))
		travel()
		if err := r.Context().Err(); err != nil {
			return nil, err // nobody waits for the answer any more
		}
		return res, nil
	}
	delay := func() time.Duration {
		if w.net.Delay == nil {
			return 2 * time.Second
		}
		return w.net.Delay()
	}
	switch fate {
	case LoseAnswer:
		deliver()
	case Late:
		time.AfterFunc(delay(), late)
	case SlowAnswer:
		res, err := deliver()
		if sleep(r.Context(), delay()) {
			return res, err
		}
	case Hold:
		keep()
	case Copy:
		keep()
		return deliver()
	case Deliver:
		return deliver()
	}
	<-r.Context().Done()
	return nil, r.Context().Err()
}
