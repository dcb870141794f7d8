package intake

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// Limits on one request and its connection.
const (
	readHeaderTimeout = 10 * time.Second
	readTimeout       = 20 * time.Second
	writeTimeout      = 20 * time.Second
	maxHeaderBytes    = 16 << 10
)

// limitedConnKey is the context key for the limitedConn of a request.
type limitedConnKey struct{}

// limitedListener is a net.Listener that accepts only the connections that its limiter admits.
type limitedListener struct {
	net.Listener
	limiter *ConnectionLimiter
}

// Accept returns the next admitted connection. It closes connections that the limiter does not admit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.limiter.admit(conn); admitted != nil {
			return admitted, nil
		}
		_ = conn.Close() // no data was exchanged, so none can be lost
	}
}

// Serve serves requests on a listener until the listener fails or is closed, and returns the error.
func (s *Server) Serve(listener net.Listener, limiter *ConnectionLimiter) error {
	server := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       limiter.IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, limitedConnKey{}, conn)
		},
	}
	return server.Serve(&limitedListener{listener, limiter})
}

// limitConnections returns middleware that restricts a kind of client to its quota of connections.
func (s *Server) limitConnections(kind clientKind) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			conn, ok := c.Request().Context().Value(limitedConnKey{}).(*limitedConn)
			if !ok {
				return next(c) // the connection was not accepted by a limitedListener
			}
			serve, keepOpen := conn.admitRequest(kind)
			if !keepOpen {
				c.Response().Header().Set(headerConnection, connectionClose)
			}
			if !serve {
				return s.respondUnavailable(c)
			}
			return next(c)
		}
	}
}
