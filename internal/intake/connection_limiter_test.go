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

// heartbeatStub accepts every heartbeat and returns no commands.
type heartbeatStub struct{}

func (heartbeatStub) Heartbeat(context.Context, *worker.Report) (*worker.CommandBatch, int, worker.Redirect) {
	return &worker.CommandBatch{FencingToken: 1, Commands: []worker.Command{}}, 200, worker.Redirect{}
}

// send sends a request and returns the response's HTTP status code, 0 if there was no response, and its
// Retry-After header.
func send(client *http.Client, method, path, body string) (code int, retryAfter string) {
	request, err := http.NewRequest(method, "http://a"+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	_, _ = io.Copy(io.Discard, response.Body) // the connection is reused only after the body was read
	_ = response.Body.Close()                 // only read from, so a failure loses nothing
	return response.StatusCode, response.Header.Get("Retry-After")
}

// sendHeartbeat sends a worker's heartbeat and returns the HTTP status code of the response.
func sendHeartbeat(client *http.Client) int {
	code, _ := send(client, "POST", "/agent/beat", `{"host":"m"}`)
	return code
}

func TestWorkersAndHealthChecksConnectWhenTheListenerIsFull(t *testing.T) {
	// Guards against workers that use all connections of the listener, which happens when the fleet grows by
	// half: users got no response, health checks failed, and workers that connected late lost their leases.
	synctest.Test(t, func(t *testing.T) {
		pipes := fake.NewPipeNetwork()
		_, _, service := newJobService()
		server := &Server{Jobs: service, Heartbeats: heartbeatStub{}, Ready: func() bool { return true }}
		const workerCount = 100
		limiter := &ConnectionLimiter{MaxConnections: 128, WorkerCount: func() int { return workerCount }, IdleTimeout: 20 * time.Second}
		listener := pipes.Listen("a")
		go func() { _ = server.Serve(listener, limiter) }() // returns when the listener is closed
		dialed := 0
		newClient := func() *http.Client {
			return &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
				dialed++
				return pipes.Dial(ctx, "a")
			}}}
		}
		// More users connect, before any worker, than their quota allows.
		served, refused := 0, 0
		var users []*http.Client
		for range 60 {
			client := newClient()
			users = append(users, client)
			switch code, after := send(client, "GET", "/v2/runs/job-1", ""); {
			case code == 404:
				served++
			case code == 503 && after != "":
				refused++
			default:
				t.Fatalf("a user got HTTP status %d, Retry-After %q", code, after)
			}
		}
		if served != limiter.MaxConnections-4-workerCount || refused != 60-served {
			t.Errorf("%d users were served and %d were asked to retry", served, refused)
		}
		// Every worker gets a connection and keeps it.
		var workers []*http.Client
		for range workerCount {
			workers = append(workers, newClient())
			if code := sendHeartbeat(workers[len(workers)-1]); code != 200 {
				t.Fatalf("the first heartbeat of a worker got HTTP status %d", code)
			}
		}
		dialedBefore := dialed
		for _, client := range workers {
			if code := sendHeartbeat(client); code != 200 {
				t.Fatalf("the second heartbeat of a worker got HTTP status %d", code)
			}
		}
		if dialed != dialedBefore {
			t.Errorf("%d workers had to open a new connection", dialed-dialedBefore)
		}
		// The listener is full now: health checks and late workers are still served, and users get a
		// response that asks them to retry.
		for range 5 {
			if code, _ := send(newClient(), "GET", "/up", ""); code != 200 {
				t.Errorf("a health check got HTTP status %d", code)
			}
			if code, after := send(newClient(), "GET", "/v2/runs/job-1", ""); code != 503 || after == "" {
				t.Errorf("a user got HTTP status %d, Retry-After %q", code, after)
			}
			if code := sendHeartbeat(newClient()); code != 200 {
				t.Errorf("a late worker got HTTP status %d", code)
			}
		}
		// Idle connections are closed, so that they no longer count.
		for range 4 {
			time.Sleep(15 * time.Second)
			for _, client := range workers[:20] {
				sendHeartbeat(client)
			}
		}
		limiter.mu.Lock()
		if limiter.open != 20 || limiter.workers != 20 || limiter.users != 0 {
			t.Errorf("%d connections are open: %d of workers, %d of users; want 20, all of workers", limiter.open, limiter.workers, limiter.users)
		}
		limiter.mu.Unlock()
		for _, client := range append(users, workers...) {
			client.CloseIdleConnections()
		}
		pipes.Close()
		time.Sleep(time.Minute)
	})
}

func TestUsersKeepTheirQuotaWhenWorkersExceedConnections(t *testing.T) {
	// Guards against workers that hold every connection of a leader with fewer sockets than machines: all
	// users were refused there, although the load balancer preferred this node because it had so few user
	// connections.
	const workers = 6000
	limiter := &ConnectionLimiter{MaxConnections: 3000, WorkerCount: func() int { return workers }}
	var open []*limitedConn
	for range workers {
		conn := limiter.admit(newConnection(t))
		if conn == nil {
			t.Fatalf("a worker's connection is refused while %d connections are open", limiter.open)
		}
		serve, keepOpen := conn.admitRequest(workerClient)
		if !serve {
			t.Fatal("a heartbeat was refused")
		}
		if !keepOpen {
			if err := conn.Close(); err != nil {
				t.Fatal(err)
			}
			continue
		}
		open = append(open, conn)
	}
	if len(open) < limiter.MaxConnections*9/10 {
		t.Errorf("only %d workers keep their connection open", len(open))
	}
	users := 0
	for range limiter.userQuota() {
		conn := limiter.admit(newConnection(t))
		if conn == nil {
			t.Fatal("a user's connection is refused")
		}
		if serve, _ := conn.admitRequest(userClient); serve {
			users++
		}
	}
	if users != limiter.userQuota() {
		t.Errorf("%d of %d users within the quota are served", users, limiter.userQuota())
	}
}

// newConnection returns one end of a connection; the other end is closed at the end of the test.
func newConnection(t *testing.T) net.Conn {
	t.Helper()
	local, remote := net.Pipe()
	t.Cleanup(func() { _ = remote.Close() }) // no data is sent on it
	return local
}
