// Package fake holds in-memory stand-ins of what the controllers meet: the
// network, the state service, the cloud and the workers. Stories in the tests
// run on them, under a clock of their own. They are met by protocol only, so
// that a rehearsal kit can grow from them.
package fake

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
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
)

// Net joins hosts by name.
type Net struct {
	mu    sync.Mutex
	hosts map[string]http.Handler
	held  []func()
	// Rule decides each request's fate; nil delivers all.
	Rule func(from, to string, r *http.Request, body []byte) Fate
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
	h, rule := w.net.hosts[r.URL.Host], w.net.Rule
	w.net.mu.Unlock()
	fate := Deliver
	if rule != nil {
		fate = rule(w.from, r.URL.Host, r, body)
	}
	if h == nil || fate == Refuse {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("connection refused")}
	}
	late := func() {
		// It reaches whoever listens there by then.
		w.net.mu.Lock()
		h := w.net.hosts[r.URL.Host]
		w.net.mu.Unlock()
		if h != nil {
			in := httptest.NewRequest(r.Method, r.URL.String(), bytes.NewReader(body))
			in.Header = r.Header.Clone()
			h.ServeHTTP(httptest.NewRecorder(), in)
		}
	}
	keep := func() {
		w.net.mu.Lock()
		w.net.held = append(w.net.held, late)
		w.net.mu.Unlock()
	}
	deliver := func() *http.Response {
		in := httptest.NewRequest(r.Method, r.URL.String(), bytes.NewReader(body))
		in.Header = r.Header.Clone()
		in = in.WithContext(r.Context())
		out := httptest.NewRecorder()
		h.ServeHTTP(out, in)
		return out.Result()
	}
	switch fate {
	case LoseAnswer:
		deliver()
	case Hold:
		keep()
	case Copy:
		keep()
		return deliver(), nil
	case Deliver:
		return deliver(), nil
	}
	<-r.Context().Done()
	return nil, r.Context().Err()
}
