package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// Door is the users' and workers' side of the socket budget. Workers, users and
// health checks share one listener, and a worker that finds no place loses its
// lease and all its tasks, while a user may come back. So users have what the
// workers leave them, and are refused with an answer; the last places take
// connections that are answered once and closed, so that health checks always
// get through and nobody meets mere silence.
type Door struct {
	// Most is how many connections are held at once; more are closed unanswered.
	Most int
	// Fleet is how many workers may come here. It may change at any time.
	Fleet func() int
	// Idle is how long a connection may say nothing. Those of a cut zone or an
	// ended peer would otherwise hold their places for good.
	Idle time.Duration

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

// passer is one connection through the door.
type passer struct {
	net.Conn
	door  *Door
	guest bool // came beyond the room: answered once
	as    caller
	once  sync.Once
}

// room is what is held for long; the rest of the places is for guests.
func (d *Door) room() int { return d.Most - max(4, d.Most/32) }

// share is how many connections users may hold now.
func (d *Door) share() int {
	workers := d.workers
	if d.Fleet != nil {
		workers = max(workers, d.Fleet())
	}
	return max(d.room()-workers, d.room()/16)
}

// enter lets a connection in; nil means that there is no place at all.
func (d *Door) enter(c net.Conn) *passer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open >= d.Most {
		return nil
	}
	d.open++
	return &passer{Conn: c, door: d, guest: d.open > d.room()}
}

// Close gives the place back.
func (p *passer) Close() error {
	p.once.Do(func() {
		p.door.mu.Lock()
		defer p.door.mu.Unlock()
		p.door.open--
		p.become(unknown)
	})
	return p.Conn.Close()
}

func (p *passer) become(as caller) {
	count := map[caller]*int{user: &p.door.users, workerHeartbeat: &p.door.workers}
	if n := count[p.as]; n != nil {
		*n--
	}
	if n := count[as]; n != nil {
		*n++
	}
	p.as = as
}

// pass notes what a connection is used for. It tells whether the request is to
// be served, and whether the connection may stay.
func (p *passer) pass(as caller) (serve, stay bool) {
	d := p.door
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.as != as {
		p.become(as)
	}
	if as == user && (p.guest || d.users > d.share()) {
		return false, false
	}
	if p.guest && d.open <= d.room() {
		p.guest = false
	}
	return true, !p.guest
}

type passerKey struct{}

// guard is the middleware that keeps each kind of caller to its part.
func (s *Site) guard(as caller) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			p, ok := c.Request().Context().Value(passerKey{}).(*passer)
			if !ok {
				return next(c) // not through a door
			}
			serve, stay := p.pass(as)
			if !stay {
				c.Response().Header().Set("Connection", "close")
			}
			if !serve {
				return s.later(c)
			}
			return next(c)
		}
	}
}

type doorway struct {
	net.Listener
	door *Door
}

// Accept closes what finds no place.
func (l *doorway) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if p := l.door.enter(c); p != nil {
			return p, nil
		}
		c.Close()
	}
}

// Serve runs the HTTP side on ln.
func (s *Site) Serve(ln net.Listener, d *Door) error {
	srv := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 10 * time.Second, ReadTimeout: 20 * time.Second,
		WriteTimeout: 20 * time.Second, IdleTimeout: d.Idle, MaxHeaderBytes: 16 << 10,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, passerKey{}, c) }}
	return srv.Serve(&doorway{ln, d})
}
