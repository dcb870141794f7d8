package harness2

import (
	"io"
	"net"
	"sync"
)

// Proxy passes TCP connections on to an address, unless it is cut: then connections get no data through.
type Proxy struct {
	to       string
	listener net.Listener

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

// NewProxy starts a proxy to an address.
func NewProxy(to string) *Proxy {
	p := &Proxy{to: to, listener: listen(), conns: map[net.Conn]bool{}}
	go p.run()
	return p
}

// Address returns the address at which the proxy accepts connections.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetCut cuts the connection: data of open and new connections is dropped, and nothing is answered.
func (p *Proxy) SetCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if !cut {
		for conn := range p.conns { // what was dropped can't be made up for
			_ = conn.Close()
		}
		clear(p.conns)
	}
}

func (p *Proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func (p *Proxy) run() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(conn)
	}
}

func (p *Proxy) pass(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	p.mu.Lock()
	p.conns[conn] = true
	p.mu.Unlock()
	if p.isCut() {
		_, _ = io.Copy(io.Discard, conn) // ends when the caller gives up
		return
	}
	out, err := net.Dial("tcp4", p.to)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	go func() {
		p.copy(conn, out)
		_ = conn.Close()
	}()
	p.copy(out, conn)
}

// copy passes data on from one connection to another, or drops it while the proxy is cut.
func (p *Proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.isCut() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
