package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// ConnectionLimiter shares the connections of one listener among workers, users and
// health checks. A worker that cannot connect loses its lease and all its tasks, while
// a user may retry. So users get the connections that workers leave, and are refused
// with an answer; the last connections are answered once and closed, so that health
// checks always get through and every request gets an answer.
type ConnectionLimiter struct {
	// MaxConnections is how many connections are held at once; more are closed unanswered.
	MaxConnections int
	// WorkerCount is how many workers may connect to this node. It may change at any time.
	WorkerCount func() int
	// IdleTimeout is how long a connection may stay idle. Those of a cut zone or a
	// crashed client would otherwise stay open for good.
	IdleTimeout time.Duration

	mu                   sync.Mutex
	open, users, workers int
}

// caller is what a connection is used for.
type caller int

const (
	unknown caller = iota
	user
	workerHeartbeat
)

// limitedConn is a connection that its limiter counts.
type limitedConn struct {
	net.Conn
	limiter   *ConnectionLimiter
	transient bool // above the number of long-lived connections: closed after one answer
	as        caller
	once      sync.Once
}

// longLived is how many connections may stay open; the rest are closed after one answer.
func (l *ConnectionLimiter) longLived() int { return l.MaxConnections - max(4, l.MaxConnections/32) }

// userQuota is how many connections users may hold now.
func (l *ConnectionLimiter) userQuota() int {
	workers := l.workers
	if l.WorkerCount != nil {
		workers = max(workers, l.WorkerCount())
	}
	return max(l.longLived()-workers, l.longLived()/16)
}

// workerQuota is how many connections workers may keep open. A fleet may have more
// machines than this node has sockets: the workers beyond the quota connect anew for each
// report, so that users and health checks still find places.
func (l *ConnectionLimiter) workerQuota() int { return l.longLived() - l.longLived()/16 }

// admit counts a new connection; nil means that the limit is reached.
func (l *ConnectionLimiter) admit(c net.Conn) *limitedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.MaxConnections {
		return nil
	}
	l.open++
	return &limitedConn{Conn: c, limiter: l, transient: l.open > l.longLived()}
}

// Close closes the connection and stops counting it.
func (c *limitedConn) Close() error {
	c.once.Do(func() {
		c.limiter.mu.Lock()
		defer c.limiter.mu.Unlock()
		c.limiter.open--
		c.setCaller(unknown)
	})
	return c.Conn.Close()
}

// setCaller moves the connection to the count of that kind of caller.
func (c *limitedConn) setCaller(as caller) {
	count := map[caller]*int{user: &c.limiter.users, workerHeartbeat: &c.limiter.workers}
	if n := count[c.as]; n != nil {
		*n--
	}
	if n := count[as]; n != nil {
		*n++
	}
	c.as = as
}

// admitRequest notes what a connection is used for. It tells whether the request is to
// be served, and whether the connection may stay open.
func (c *limitedConn) admitRequest(as caller) (serve, keepOpen bool) {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.as != as {
		c.setCaller(as)
	}
	if as == user && (c.transient || l.users > l.userQuota()) {
		return false, false
	}
	if as == workerHeartbeat && l.workers > l.workerQuota() {
		return true, false
	}
	if c.transient && l.open <= l.longLived() {
		c.transient = false
	}
	return true, !c.transient
}

type limitedConnKey struct{}

// limit is the middleware that keeps each kind of caller to its part.
func (s *Site) limit(as caller) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			conn, ok := c.Request().Context().Value(limitedConnKey{}).(*limitedConn)
			if !ok {
				return next(c) // not accepted by a limitedListener
			}
			serve, keepOpen := conn.admitRequest(as)
			if !keepOpen {
				c.Response().Header().Set("Connection", "close")
			}
			if !serve {
				return s.later(c)
			}
			return next(c)
		}
	}
}

type limitedListener struct {
	net.Listener
	limiter *ConnectionLimiter
}

// Accept closes connections above the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.limiter.admit(c); conn != nil {
			return conn, nil
		}
		c.Close()
	}
}

// Serve runs the HTTP side on ln.
func (s *Site) Serve(ln net.Listener, limiter *ConnectionLimiter) error {
	srv := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 10 * time.Second, ReadTimeout: 20 * time.Second,
		WriteTimeout: 20 * time.Second, IdleTimeout: limiter.IdleTimeout, MaxHeaderBytes: 16 << 10,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, limitedConnKey{}, c)
		}}
	return srv.Serve(&limitedListener{ln, limiter})
}
