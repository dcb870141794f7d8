package fake

import (
	"context"
	"net"
	"sync"
)

// Pipes joins listeners and dialers by in-memory connections.
type Pipes struct {
	// mu guards the fields below. Nobody is waited for under it.
	mu        sync.Mutex
	listeners map[string]*pipeListener // by address
	dials     int
}

// Dials counts the attempts to connect so far.
func (p *Pipes) Dials() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// NewPipes makes a set without listeners.
func NewPipes() *Pipes { return &Pipes{listeners: map[string]*pipeListener{}} }

// Close ends all listeners.
func (p *Pipes) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, listener := range p.listeners {
		listener.stop()
	}
}

// pipeListener is a listener of in-memory connections.
type pipeListener struct {
	addr     string
	incoming chan net.Conn
	// closed is closed with the listener.
	closed    chan struct{}
	closeOnce sync.Once
}

// Listen opens a listener, in place of the one at that address.
func (p *Pipes) Listen(addr string) net.Listener {
	p.mu.Lock()
	defer p.mu.Unlock()
	listener := &pipeListener{addr: addr, incoming: make(chan net.Conn), closed: make(chan struct{})}
	p.listeners[addr] = listener
	return listener
}

// Dial connects to a listener.
func (p *Pipes) Dial(ctx context.Context, addr string) (net.Conn, error) {
	p.mu.Lock()
	p.dials++
	listener := p.listeners[addr]
	p.mu.Unlock()
	if listener == nil {
		return nil, errRefused
	}
	here, there := net.Pipe()
	select {
	case listener.incoming <- there:
		return here, nil
	case <-listener.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept waits for the next connection.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.incoming:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener; those who dial it are refused from then on.
func (l *pipeListener) Close() error {
	l.stop()
	return nil
}

// stop ends the listener; once is enough.
func (l *pipeListener) stop() {
	l.closeOnce.Do(func() { close(l.closed) })
}

// Addr is the address given to Listen.
func (l *pipeListener) Addr() net.Addr { return pipeAddr(l.addr) }

// pipeAddr is the address of a pipe's listener.
type pipeAddr string

// Network names the kind of connection.
func (pipeAddr) Network() string { return "pipe" }

// String is the address itself.
func (a pipeAddr) String() string { return string(a) }
