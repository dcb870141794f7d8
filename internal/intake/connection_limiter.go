package intake

import (
	"net"
	"sync"
	"time"
)

// ConnectionLimiter divides the connections of one listener among workers, users and health checks. A worker
// that cannot connect loses its lease and all its tasks, whereas a user can retry. So users get only the
// connections that workers do not need; above that quota their requests are rejected with a response. The
// last connections below the limit are closed after one response, so that health checks always succeed and
// every request gets a response.
type ConnectionLimiter struct {
	// MaxConnections limits the open connections; any above it are closed without a response.
	MaxConnections int
	// WorkerCount returns the number of workers that may connect to this node. It may change at any time.
	WorkerCount func() int
	// IdleTimeout limits how long a connection may stay idle. Connections from an unreachable zone or a
	// crashed client would otherwise stay open forever.
	IdleTimeout time.Duration

	// mu guards the counts below, and the fields clientKind and transient of every limitedConn. The only
	// external call made while holding it is WorkerCount, which may take other locks but must not use the
	// limiter.
	mu sync.Mutex
	// open counts all connections; users and workers count those of users and of workers among them.
	open, users, workers int
}

// Shares of a limiter's connections. One in transientDivisor connections, but at least minTransient, is
// closed after one response. Of the other connections, one in reservedDivisor is reserved for users.
const (
	transientDivisor = 32
	minTransient     = 4
	reservedDivisor  = 16
)

// clientKind is the kind of client that uses a connection.
type clientKind int

const (
	unknownClient clientKind = iota
	userClient
	workerClient
)

// limitedConn is a connection counted by a ConnectionLimiter.
type limitedConn struct {
	net.Conn
	limiter    *ConnectionLimiter
	transient  bool // accepted above the number of long-lived connections: closed after one response
	clientKind clientKind
	closeOnce  sync.Once
}

// longLivedLimit returns how many connections may stay open; the rest are closed after one response.
func (l *ConnectionLimiter) longLivedLimit() int {
	return l.MaxConnections - max(minTransient, l.MaxConnections/transientDivisor)
}

// userQuota returns how many connections users may hold now. The caller must hold l.mu.
func (l *ConnectionLimiter) userQuota() int {
	workers := l.workers
	if l.WorkerCount != nil {
		workers = max(workers, l.WorkerCount())
	}
	return max(l.longLivedLimit()-workers, l.longLivedLimit()/reservedDivisor)
}

// workerQuota returns how many connections workers may keep open. A fleet may have more machines than this
// node has sockets. Workers above the quota open a new connection for each heartbeat, so that users and
// health checks still get connections.
func (l *ConnectionLimiter) workerQuota() int {
	return l.longLivedLimit() - l.longLivedLimit()/reservedDivisor
}

// admit counts a new connection. It returns nil if the limit has been reached.
func (l *ConnectionLimiter) admit(conn net.Conn) *limitedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.MaxConnections {
		return nil
	}
	l.open++
	return &limitedConn{Conn: conn, limiter: l, transient: l.open > l.longLivedLimit()}
}

// Close closes the connection and stops counting it.
func (c *limitedConn) Close() error {
	c.closeOnce.Do(func() {
		c.limiter.mu.Lock()
		defer c.limiter.mu.Unlock()
		c.limiter.open--
		c.setClientKind(unknownClient)
	})
	return c.Conn.Close()
}

// setClientKind sets the kind of client that uses the connection, and updates the counts. The calling
// function must hold the limiter's lock.
func (c *limitedConn) setClientKind(kind clientKind) {
	if counter := c.limiter.counter(c.clientKind); counter != nil {
		*counter--
	}
	if counter := c.limiter.counter(kind); counter != nil {
		*counter++
	}
	c.clientKind = kind
}

// counter returns the counter of one kind of client, or nil if that kind has no counter.
func (l *ConnectionLimiter) counter(kind clientKind) *int {
	switch kind {
	case userClient:
		return &l.users
	case workerClient:
		return &l.workers
	default:
		return nil
	}
}

// admitRequest records which kind of client uses the connection. It reports whether the request should be
// served, and whether the connection may stay open.
func (c *limitedConn) admitRequest(kind clientKind) (serve, keepOpen bool) {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.clientKind != kind {
		c.setClientKind(kind)
	}
	if kind == userClient && (c.transient || l.users > l.userQuota()) {
		return false, false
	}
	if kind == workerClient && l.workers > l.workerQuota() {
		return true, false
	}
	if c.transient && l.open <= l.longLivedLimit() {
		c.transient = false
	}
	return true, !c.transient
}
