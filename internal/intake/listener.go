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

// limitedConnKey is the key of a request's limitedConn in its context.
type limitedConnKey struct{}

// limitedListener accepts as many connections as its limiter admits.
type limitedListener struct {
	net.Listener
	limiter *ConnectionLimiter
}

// Accept closes connections above the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.limiter.admit(conn); admitted != nil {
			return admitted, nil
		}
		_ = conn.Close() // nothing was exchanged on it that could be lost
	}
}

// Serve answers requests on a listener until it fails or closes, and returns why.
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

// limit is the middleware that keeps each kind of caller to its part of the connections.
func (s *Server) limit(from caller) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			conn, ok := c.Request().Context().Value(limitedConnKey{}).(*limitedConn)
			if !ok {
				return next(c) // not accepted by a limitedListener
			}
			serve, keepOpen := conn.admitRequest(from)
			if !keepOpen {
				c.Response().Header().Set(headerConnection, connectionClose)
			}
			if !serve {
				return s.answerUnavailable(c)
			}
			return next(c)
		}
	}
}
