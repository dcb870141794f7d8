package peer

import (
	"errors"
	"log/slog"
	"net"
	"net/rpc"
	"time"
)

// serviceName is the name under which Service is registered with net/rpc.
const serviceName = "Peer"

const (
	// connectionsPerPeer is the number of connections accepted at a time per other controller; further
	// ones are closed at once.
	connectionsPerPeer = 16
	// acceptRetryDelay is the pause after a failed Accept.
	acceptRetryDelay = 100 * time.Millisecond
)

// Serve answers calls of the other controllers on a listener until the listener is closed. Each
// connection has a goroutine, which ends once the other side closes the connection or nothing is received
// for idleTimeout.
func (l *Link) Serve(listener net.Listener) {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &Service{l}); err != nil {
		slog.Error("failed to register the RPC service for other controllers", "err", err)
		return
	}
	slots := make(chan struct{}, connectionsPerPeer*max(1, len(l.settings.Peers)))
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Error("failed to accept a connection from another controller; retrying", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = conn.Close() // the error does not matter: no data was exchanged
			continue
		}
		go func() {
			defer func() { <-slots }()
			server.ServeConn(&timeoutConn{conn})
		}()
	}
}

const (
	// idleTimeout closes a connection over which nothing is received: the other side sends a health report
	// every second, and an unreachable one sends nothing at all, not even a close.
	idleTimeout = 30 * time.Second
	// writeTimeout limits the time of one write.
	writeTimeout = 5 * time.Second
)

// timeoutConn is a connection whose reads fail after idleTimeout and whose writes fail after writeTimeout.
type timeoutConn struct{ net.Conn }

func (c *timeoutConn) Read(buffer []byte) (int, error) {
	// Setting the deadline fails only on a closed connection, from which reading fails as well.
	_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
	return c.Conn.Read(buffer)
}

func (c *timeoutConn) Write(data []byte) (int, error) {
	// Setting the deadline fails only on a closed connection, to which writing fails as well.
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.Conn.Write(data)
}
