package intake

import (
	"net"
	"sync"
	"time"
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
	// IdleTimeout is how long a connection may stay idle. Those of an unreachable zone or a
	// crashed client would otherwise stay open for good.
	IdleTimeout time.Duration

	// mu guards the counts, and the fields caller and transient of every limitedConn. Only
	// WorkerCount is called under it: that may take locks of its own, but must not use the limiter.
	mu sync.Mutex
	// open counts all connections; users and workers are those of a known caller among them.
	open, users, workers int
}

// Parts of a limiter's connections: one in transientPart, but at least minTransient, is closed
// after one answer; one in reservedPart of the others is kept from workers, and so left to users.
const (
	transientPart = 32
	minTransient  = 4
	reservedPart  = 16
)

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
	caller    caller
	closeOnce sync.Once
}

// longLived is how many connections may stay open; the rest are closed after one answer.
func (l *ConnectionLimiter) longLived() int {
	return l.MaxConnections - max(minTransient, l.MaxConnections/transientPart)
}

// userQuota is how many connections users may hold now. The caller holds l.mu.
func (l *ConnectionLimiter) userQuota() int {
	workers := l.workers
	if l.WorkerCount != nil {
		workers = max(workers, l.WorkerCount())
	}
	return max(l.longLived()-workers, l.longLived()/reservedPart)
}

// workerQuota is how many connections workers may keep open. A fleet may have more
// machines than this node has sockets: the workers beyond the quota connect anew for each
// heartbeat, so that users and health checks still get connections.
func (l *ConnectionLimiter) workerQuota() int { return l.longLived() - l.longLived()/reservedPart }

// admit counts a new connection; nil means that the limit is reached.
func (l *ConnectionLimiter) admit(conn net.Conn) *limitedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.MaxConnections {
		return nil
	}
	l.open++
	return &limitedConn{Conn: conn, limiter: l, transient: l.open > l.longLived()}
}

// Close closes the connection and stops counting it.
func (c *limitedConn) Close() error {
	c.closeOnce.Do(func() {
		c.limiter.mu.Lock()
		defer c.limiter.mu.Unlock()
		c.limiter.open--
		c.setCaller(unknown)
	})
	return c.Conn.Close()
}

// setCaller moves the connection to the count of another caller. Whoever calls it holds the
// limiter's lock.
func (c *limitedConn) setCaller(to caller) {
	if count := c.limiter.count(c.caller); count != nil {
		*count--
	}
	if count := c.limiter.count(to); count != nil {
		*count++
	}
	c.caller = to
}

// count is the number of connections of one caller; nil for those that are not counted apart.
func (l *ConnectionLimiter) count(of caller) *int {
	switch of {
	case user:
		return &l.users
	case workerHeartbeat:
		return &l.workers
	default:
		return nil
	}
}

// admitRequest notes what a connection is used for. It tells whether the request is to
// be served, and whether the connection may stay open.
func (c *limitedConn) admitRequest(from caller) (serve, keepOpen bool) {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.caller != from {
		c.setCaller(from)
	}
	if from == user && (c.transient || l.users > l.userQuota()) {
		return false, false
	}
	if from == workerHeartbeat && l.workers > l.workerQuota() {
		return true, false
	}
	if c.transient && l.open <= l.longLived() {
		c.transient = false
	}
	return true, !c.transient
}
