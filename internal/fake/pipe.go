package fake

import (
	"context"
	"errors"
	"net"
	"sync"
)

// Pipes joins listeners and dialers by in-memory connections.
type Pipes struct {
	mu    sync.Mutex
	ls    map[string]*pipeListener
	dials int
}

// Dials counts the attempts to connect so far.
func (p *Pipes) Dials() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// NewPipes makes a set without listeners.
func NewPipes() *Pipes { return &Pipes{ls: map[string]*pipeListener{}} }

// Close ends all listeners.
func (p *Pipes) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.ls {
		l.Close()
	}
}

type pipeListener struct {
	addr string
	in   chan net.Conn
	done chan struct{}
	once sync.Once
}

// Listen opens a listener.
func (p *Pipes) Listen(addr string) net.Listener {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &pipeListener{addr: addr, in: make(chan net.Conn), done: make(chan struct{})}
	p.ls[addr] = l
	return l
}

// Dial connects to a listener.
func (p *Pipes) Dial(ctx context.Context, addr string) (net.Conn, error) {
	p.mu.Lock()
	p.dials++
	l := p.ls[addr]
	p.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	here, there := net.Pipe()
	select {
	case l.in <- there:
		return here, nil
	case <-l.done:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept waits for the next connection.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.in:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends the listener; those who dial it are refused from then on.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr is the address given to Listen.
func (l *pipeListener) Addr() net.Addr { return pipeAddr(l.addr) }

type pipeAddr string

// Network names the kind of connection.
func (pipeAddr) Network() string { return "pipe" }

// String is the address itself.
func (a pipeAddr) String() string { return string(a) }
