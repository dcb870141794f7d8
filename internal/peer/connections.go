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

// callTimeout bounds dialing and, apart from it, the wait for an answer.
const callTimeout = time.Second

// errNoAnswer reports a call that was not answered in time.
var errNoAnswer = errors.New("peer does not answer")

// dialFunc connects to the address of another controller.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// connections keeps a connection to each of the other controllers that was called.
type connections struct {
	settings *config.Settings
	dial     dialFunc

	// mu guards clients. It is a leaf lock: dialing, calls and closing happen outside of it.
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

// call has another controller carry out a method of its Service. An error that the method returned
// is an rpc.ServerError. After any other error but the context's the connection is closed, and the
// next call connects anew.
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
		err = errNoAnswer
	case <-ctx.Done():
		return ctx.Err()
	}
	c.drop(node, client)
	return err
}

// client returns the connection to another controller, and connects if there is none.
func (c *connections) client(ctx context.Context, node ids.Node) (*rpc.Client, error) {
	if client := c.connected(node); client != nil {
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
	return c.keep(node, rpc.NewClient(&idleConn{conn})), nil
}

// connected returns the connection to another controller; nil if there is none.
func (c *connections) connected(node ids.Node) *rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clients[node]
}

// address is where another controller listens; empty if it is not in the settings.
func (c *connections) address(node ids.Node) (address string) {
	for _, other := range c.settings.Peers {
		if other.HostName == node {
			address = other.PeerAddr
		}
	}
	return address
}

// keep keeps a new connection, unless another call has connected meanwhile: then the new one is
// closed. It returns the one to use.
func (c *connections) keep(node ids.Node, client *rpc.Client) *rpc.Client {
	c.mu.Lock()
	earlier := c.clients[node]
	if earlier == nil {
		c.clients[node] = client
	}
	c.mu.Unlock()
	if earlier == nil {
		return client
	}
	_ = client.Close() // no call was made on it
	return earlier
}

// drop closes a connection that failed; the next call connects anew.
func (c *connections) drop(node ids.Node, client *rpc.Client) {
	c.mu.Lock()
	if c.clients[node] == client {
		delete(c.clients, node)
	}
	c.mu.Unlock()
	_ = client.Close() // it failed already, or another call has closed it
}
