package intake

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// nods answers every report.
type nods struct{}

func (nods) Heartbeat(context.Context, *worker.Report) (*worker.Reply, int, worker.Redirect) {
	return &worker.Reply{Token: 1, Orders: []worker.Order{}}, 200, worker.Redirect{}
}

func TestMoreConnectionsThanPlaces(t *testing.T) {
	// Guards against workers alone filling the listener, as they would at half as
	// many machines again: users then met silence, health checks failed, and late
	// workers lost their leases.
	synctest.Test(t, func(t *testing.T) {
		pipes := fake.NewPipes()
		_, _, dk := jobService()
		s := &Site{Jobs: dk, Heartbeats: nods{}, Ready: func() bool { return true }}
		const workers = 100
		d := &ConnectionLimiter{MaxConnections: 128, WorkerCount: func() int { return workers }, IdleTimeout: 20 * time.Second}
		go s.Serve(pipes.Listen("a"), d)
		dialed := 0
		newClient := func() *http.Client {
			return &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
				dialed++
				return pipes.Dial(ctx, "a")
			}}}
		}
		ask := func(c *http.Client, method, path, body string) (int, string) {
			req, _ := http.NewRequest(method, "http://a"+path, strings.NewReader(body))
			res, err := c.Do(req)
			if err != nil {
				return 0, ""
			}
			defer res.Body.Close()
			io.Copy(io.Discard, res.Body)
			return res.StatusCode, res.Header.Get("Retry-After")
		}
		beat := func(c *http.Client) int {
			code, _ := ask(c, "POST", "/agent/beat", `{"host":"m"}`)
			return code
		}
		// Users come first, and more of them than the workers leave room for.
		served, refused := 0, 0
		var users []*http.Client
		for range 60 {
			c := newClient()
			users = append(users, c)
			switch code, after := ask(c, "GET", "/v2/runs/job-1", ""); {
			case code == 404:
				served++
			case code == 503 && after != "":
				refused++
			default:
				t.Fatalf("a user got %d, Retry-After %q", code, after)
			}
		}
		if served != d.MaxConnections-4-workers || refused != 60-served {
			t.Errorf("%d users served and %d told to come back", served, refused)
		}
		// Every worker finds a place, and keeps it.
		var ws []*http.Client
		for range workers {
			ws = append(ws, newClient())
			if code := beat(ws[len(ws)-1]); code != 200 {
				t.Fatalf("a worker got %d", code)
			}
		}
		before := dialed
		for _, c := range ws {
			if code := beat(c); code != 200 {
				t.Fatalf("a worker got %d the second time", code)
			}
		}
		if dialed != before {
			t.Errorf("%d workers had to connect again", dialed-before)
		}
		// Now it is full: health checks get through, as do users, who are told
		// to come back.
		for range 5 {
			if code, _ := ask(newClient(), "GET", "/up", ""); code != 200 {
				t.Errorf("a health check got %d", code)
			}
			if code, after := ask(newClient(), "GET", "/v2/runs/job-1", ""); code != 503 || after == "" {
				t.Errorf("a user got %d, Retry-After %q", code, after)
			}
			if code := beat(newClient()); code != 200 {
				t.Errorf("a late worker got %d", code)
			}
		}
		// Those that say nothing any more give their places back.
		for range 4 {
			time.Sleep(15 * time.Second)
			for _, c := range ws[:20] {
				beat(c)
			}
		}
		d.mu.Lock()
		if d.open != 20 || d.workers != 20 || d.users != 0 {
			t.Errorf("%d connections are held: %d of workers, %d of users", d.open, d.workers, d.users)
		}
		d.mu.Unlock()
		for _, c := range append(users, ws...) {
			c.CloseIdleConnections()
		}
		pipes.Close()
		time.Sleep(time.Minute)
	})
}

func TestMoreWorkersThanSocketsLeaveRoomForUsers(t *testing.T) {
	// Guards against workers that hold every connection of a leader with fewer sockets
	// than machines: its users were all refused, although its load balancer sent them
	// there because so few were connected.
	const workers = 6000
	limiter := &ConnectionLimiter{MaxConnections: 3000, WorkerCount: func() int { return workers }}
	var open []*limitedConn
	for range workers {
		here, there := net.Pipe()
		defer there.Close()
		conn := limiter.admit(here)
		if conn == nil {
			t.Fatalf("no place for a worker's report beside %d connections", limiter.open)
		}
		serve, keepOpen := conn.admitRequest(workerHeartbeat)
		if !serve {
			t.Fatal("a report was refused")
		}
		if !keepOpen {
			conn.Close()
			continue
		}
		open = append(open, conn)
	}
	if len(open) < limiter.MaxConnections*9/10 {
		t.Errorf("only %d workers keep their connection", len(open))
	}
	users := 0
	for range limiter.userQuota() {
		here, there := net.Pipe()
		defer there.Close()
		conn := limiter.admit(here)
		if conn == nil {
			t.Fatal("no place for a user")
		}
		if serve, _ := conn.admitRequest(user); serve {
			users++
		}
	}
	if users != limiter.userQuota() {
		t.Errorf("%d of %d users are served", users, limiter.userQuota())
	}
}
