package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// callTimeout limits the time to connect and, separately, the time to wait for a response.
const callTimeout = time.Second

// errCallTimeout is returned for a call that got no response within callTimeout.
var errCallTimeout = errors.New("no response from the other controller within the call timeout")

// dialFunc opens a connection to the address of another controller.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// connections caches one client connection per controller that was called.
type connections struct {
	settings *config.Settings
	dial     dialFunc

	// mu guards clients. It is not held while dialing, calling or closing, and no other lock is taken
	// under it.
	mu      sync.Mutex
	clients map[ids.Node]*rpc.Client
}

func newConnections(settings *config.Settings) *connections {
	return &connections{settings: settings, dial: dialTCP, clients: map[ids.Node]*rpc.Client{}}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: callTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// call invokes a method of another controller's Service. An error returned by that method is an
// rpc.ServerError and leaves the connection open, as does the end of the context. After any other error
// the connection is closed, and the next call opens a new one.
func (c *connections) call(ctx context.Context, node ids.Node, method string, request, reply any) error {
	client, err := c.client(ctx, node)
	if err != nil {
		return err
	}
	pending := client.Go(serviceName+"."+method, request, reply, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
		err = pending.Error
		var answered rpc.ServerError
		if err == nil || errors.As(err, &answered) {
			return err
		}
	case <-time.After(callTimeout):
		err = errCallTimeout
	case <-ctx.Done():
		return ctx.Err()
	}
	c.discard(node, client)
	return err
}

// client returns the cached connection to another controller, or opens one.
func (c *connections) client(ctx context.Context, node ids.Node) (*rpc.Client, error) {
	if client := c.cached(node); client != nil {
		return client, nil
	}
	address := c.address(node)
	if address == "" {
		return nil, errors.New("unknown node " + string(node))
	}
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return c.cache(node, rpc.NewClient(&timeoutConn{conn})), nil
}

// cached returns the cached connection to another controller, or nil if there is none.
func (c *connections) cached(node ids.Node) *rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clients[node]
}

// address returns the listen address of another controller, or "" if the settings do not list it.
func (c *connections) address(node ids.Node) (address string) {
	for _, other := range c.settings.Peers {
		if other.HostName == node {
			address = other.PeerAddr
		}
	}
	return address
}

// cache stores a new connection and returns it. If a concurrent call has cached a connection to the same
// controller meanwhile, cache closes the new one and returns the cached one.
func (c *connections) cache(node ids.Node, client *rpc.Client) *rpc.Client {
	c.mu.Lock()
	earlier := c.clients[node]
	if earlier == nil {
		c.clients[node] = client
	}
	c.mu.Unlock()
	if earlier == nil {
		return client
	}
	_ = client.Close() // the error does not matter: no call was made on this connection
	return earlier
}

// discard closes a failed connection and removes it from the cache; the next call opens a new one.
func (c *connections) discard(node ids.Node, client *rpc.Client) {
	c.mu.Lock()
	if c.clients[node] == client {
		delete(c.clients, node)
	}
	c.mu.Unlock()
	_ = client.Close() // the error does not matter: the connection has failed or is already closed
}
