package fake

import (
	"context"
	"net"
	"sync"
)

// PipeNetwork is a set of listeners that accept in-memory connections.
type PipeNetwork struct {
	// mu guards the fields below. It is not held during blocking operations.
	mu        sync.Mutex
	listeners map[string]*pipeListener // by address
	dials     int
}

// Dials returns the number of connection attempts so far.
func (p *PipeNetwork) Dials() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// NewPipeNetwork returns a set without listeners.
func NewPipeNetwork() *PipeNetwork { return &PipeNetwork{listeners: map[string]*pipeListener{}} }

// Close closes all listeners.
func (p *PipeNetwork) Close() {
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
	// closed is closed when the listener is closed.
	closed    chan struct{}
	closeOnce sync.Once
}

// Listen opens a listener. It replaces the listener at that address, if there is one.
func (p *PipeNetwork) Listen(addr string) net.Listener {
	p.mu.Lock()
	defer p.mu.Unlock()
	listener := &pipeListener{addr: addr, incoming: make(chan net.Conn), closed: make(chan struct{})}
	p.listeners[addr] = listener
	return listener
}

// Dial connects to the listener at an address.
func (p *PipeNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	p.mu.Lock()
	p.dials++
	listener := p.listeners[addr]
	p.mu.Unlock()
	if listener == nil {
		return nil, errConnectionRefused
	}
	here, there := net.Pipe()
	select {
	case listener.incoming <- there:
		return here, nil
	case <-listener.closed:
		return nil, errConnectionRefused
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

// Close closes the listener; later dials to it are refused.
func (l *pipeListener) Close() error {
	l.stop()
	return nil
}

// stop closes the listener. It may be called more than once.
func (l *pipeListener) stop() {
	l.closeOnce.Do(func() { close(l.closed) })
}

// Addr returns the address given to Listen.
func (l *pipeListener) Addr() net.Addr { return pipeAddr(l.addr) }

// pipeAddr is the address of a pipeListener.
type pipeAddr string

// Network returns "pipe".
func (pipeAddr) Network() string { return "pipe" }

// String returns the address.
func (a pipeAddr) String() string { return string(a) }
