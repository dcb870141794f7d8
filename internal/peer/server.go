package peer

import (
	"errors"
	"log/slog"
	"net"
	"net/rpc"
	"time"
)

// serviceName is the name of Service in calls.
const serviceName = "Peer"

const (
	// connectionsPerPeer is how many connections are accepted for each of the others; more are
	// closed unanswered.
	connectionsPerPeer = 16
	// acceptRetryDelay is the pause after a connection could not be accepted.
	acceptRetryDelay = 100 * time.Millisecond
)

// Serve answers the other controllers on a listener until that closes. Each connection has a
// goroutine, which ends once the other side closes it or nothing comes over it for idleTimeout.
func (l *Link) Serve(listener net.Listener) {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &Service{l}); err != nil {
		slog.Error("peer service not registered", "err", err)
		return
	}
	slots := make(chan struct{}, connectionsPerPeer*max(1, len(l.settings.Peers)))
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Error("peer connection not accepted", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = conn.Close() // nothing was exchanged on it that could be lost
			continue
		}
		go func() {
			defer func() { <-slots }()
			server.ServeConn(&idleConn{conn})
		}()
	}
}

const (
	// idleTimeout is how long nothing may come over a connection: the other side sends a health
	// report every second, and an unreachable one sends nothing at all.
	idleTimeout = 30 * time.Second
	// writeTimeout bounds one write.
	writeTimeout = 5 * time.Second
)

// idleConn is a connection that is given up once nothing comes over it for idleTimeout.
type idleConn struct{ net.Conn }

func (c *idleConn) Read(buffer []byte) (int, error) {
	// Only a closed connection takes no deadline, and reading from it fails.
	_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
	return c.Conn.Read(buffer)
}

func (c *idleConn) Write(data []byte) (int, error) {
	// Only a closed connection takes no deadline, and writing to it fails.
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.Conn.Write(data)
}
