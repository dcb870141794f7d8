// Package peer lets the controllers talk to one another, by gob over TCP. All
// of it only saves time: whatever must be true is in the state service.
package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/claim"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// Wrote tells of a job's record just written; Raw is empty when it went away.
type Wrote struct {
	Job   ids.Job
	Stamp ids.Revision
	Raw   []byte
}

// Asked is a question about one job.
type Asked struct{ Job ids.Job }

// Lines is a text answer.
type Lines struct{ Lines []string }

// Took announces a takeover.
type Took struct{ Generation ids.Generation }

// Confirmed answers it.
type Confirmed struct{ Stopped bool }

// Hello tells how a node fares; peers exchange it once a second.
type Hello struct {
	Node    ids.Node
	StateOK bool
	Owner   bool
	// Have is how far in the leader's hints this node is; the leader answers with
	// what came since and how far that goes.
	Have  claim.HintPosition
	Hints []claim.Hint
	// Want asks for changes of the state service that the other does not use,
	// per second; Lent answers.
	Want, Lent float64
	// Stranded are workers that come back from being sent to the leader.
	Stranded []claim.RedirectedWorker
}

// Empty is no answer.
type Empty struct{}

// Service is what a controller does for the others.
type Service struct{ link *Link }

// Learn takes in another controller's write.
func (s *Service) Learn(w *Wrote, _ *Empty) error {
	if len(w.Raw) == 0 {
		s.link.shards.ForJob(w.Job).HandleRecord(w.Job, w.Stamp, nil)
		return nil
	}
	rec, err := record.Decode(json.RawMessage(w.Raw))
	if err != nil {
		return err
	}
	s.link.shards.ForJob(w.Job).HandleRecord(w.Job, w.Stamp, rec)
	return nil
}

// Explain answers why a job's tasks wait, if this node owns the pool.
func (s *Service) Explain(a *Asked, out *Lines) error {
	lines, err := s.link.shards.ForJob(a.Job).Explain(a.Job)
	out.Lines = lines
	return err
}

// Stopped confirms that no heartbeats are answered under older generations.
func (s *Service) Stopped(t *Took, out *Confirmed) error {
	out.Stopped = s.link.shards.Pools()[0].Superseded(t.Generation)
	return nil
}

// Greet exchanges how the nodes fare.
func (s *Service) Greet(h *Hello, out *Hello) error {
	s.link.note(&ShardsHello{Hello: *h, Shards: []ShardHello{h.shard()}})
	answer := s.link.hello([]claim.HintPosition{h.Have})
	*out = answer.Hello
	out.Lent = s.link.state.Budget().Lend(h.Want)
	return nil
}

// Link is this node's connections to the others.
type Link struct {
	set    *config.Settings
	shards *claim.Shards
	state  *state.Client
	// Dial connects to another node.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	mu    sync.Mutex
	conns map[ids.Node]*rpc.Client
	seen  map[ids.Node]seen
	// What was last asked of each of the others, and when.
	want   float64
	wanted time.Time
}

type seen struct {
	at      time.Time
	stateOK bool
}

// NewLink makes the link; it serves once Serve is called.
func NewLink(set *config.Settings, shards *claim.Shards, st *state.Client) *Link {
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		d := net.Dialer{Timeout: callTimeout}
		return d.DialContext(ctx, "tcp", addr)
	}
	l := &Link{set: set, shards: shards, state: st, Dial: dial, conns: map[ids.Node]*rpc.Client{}, seen: map[ids.Node]seen{}}
	if st != nil {
		st.Budget().SetTransfers(l.requestTransfer)
	}
	return l
}

// Serve answers the others on l until it closes.
func (l *Link) Serve(ln net.Listener) {
	srv := rpc.NewServer()
	if err := srv.RegisterName("Peer", &Service{l}); err != nil {
		slog.Error("peer service", "err", err)
		return
	}
	slots := make(chan struct{}, 16*max(1, len(l.set.Others)))
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Error("peer listener", "err", err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			c.Close()
			continue
		}
		go func() {
			defer func() { <-slots }()
			srv.ServeConn(&idleConn{c})
		}()
	}
}

// idleConn gives up a connection on which nothing came for long: the other
// side greets every second, and a cut says nothing.
type idleConn struct{ net.Conn }

func (c *idleConn) Read(p []byte) (int, error) {
	c.SetReadDeadline(time.Now().Add(30 * time.Second))
	return c.Conn.Read(p)
}

func (c *idleConn) Write(p []byte) (int, error) {
	c.SetWriteDeadline(time.Now().Add(5 * time.Second))
	return c.Conn.Write(p)
}

const callTimeout = time.Second

// call asks one other node, on a kept connection; a call that takes too long
// drops the connection.
func (l *Link) call(ctx context.Context, to ids.Node, method string, in, out any) error {
	l.mu.Lock()
	c := l.conns[to]
	l.mu.Unlock()
	if c == nil {
		addr := ""
		for _, o := range l.set.Others {
			if o.HostName == to {
				addr = o.PeerAddr
			}
		}
		if addr == "" {
			return errors.New("unknown node " + string(to))
		}
		conn, err := l.Dial(ctx, addr)
		if err != nil {
			return err
		}
		c = rpc.NewClient(&idleConn{conn})
		l.mu.Lock()
		if old := l.conns[to]; old != nil {
			c.Close()
			c = old
		} else {
			l.conns[to] = c
		}
		l.mu.Unlock()
	}
	pending := c.Go("Peer."+method, in, out, make(chan *rpc.Call, 1))
	var err error
	select {
	case <-pending.Done:
		err = pending.Error
		var remote rpc.ServerError
		if err == nil || errors.As(err, &remote) {
			return err
		}
	case <-time.After(callTimeout):
		err = errors.New("peer does not answer")
	case <-ctx.Done():
		return ctx.Err()
	}
	l.mu.Lock()
	if l.conns[to] == c {
		delete(l.conns, to)
	}
	l.mu.Unlock()
	c.Close()
	return err
}

// NotifyLeader passes a write on to the leader, wherever it is; the channel closes once
// it knows, or can't be told.
func (l *Link) NotifyLeader(id ids.Job, stamp ids.Revision, rec *record.Record, raw json.RawMessage) <-chan struct{} {
	done := make(chan struct{})
	pool := l.shards.ForJob(id)
	if pool.Cluster() != nil {
		pool.HandleRecord(id, stamp, rec)
		close(done)
		return done
	}
	leader, ok := pool.Leader()
	if !ok {
		close(done)
		return done
	}
	go func() {
		defer close(done)
		if err := l.call(context.Background(), leader, "Learn", &Wrote{id, stamp, raw}, &Empty{}); err != nil {
			slog.Debug("leader not told", "job", id, "err", err)
		}
	}()
	return done
}

// Explain asks the leader why a job's tasks wait.
func (l *Link) Explain(ctx context.Context, id ids.Job) ([]string, ids.Node, error) {
	pool := l.shards.ForJob(id)
	if lines, err := pool.Explain(id); err == nil {
		return lines, l.set.HostName, nil
	}
	leader, ok := pool.Leader()
	if !ok {
		return nil, "", errors.New("no controller owns the machine pool now, as far as this one knows: nothing starts until one does")
	}
	var out Lines
	if err := l.call(ctx, leader, "Explain", &Asked{id}, &out); err != nil {
		return nil, leader, fmt.Errorf("the pool's leader, %s, could not be asked: %w", leader, err)
	}
	return out.Lines, leader, nil
}

// OthersServed tells whether some other controller has lately been served by
// the state service.
func (l *Link) OthersServed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.seen {
		if s.stateOK && time.Since(s.at) < heardWithin {
			return true
		}
	}
	return false
}

// Alone tells that there are other controllers, and none of them has been heard
// lately.
func (l *Link) Alone() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.seen {
		if time.Since(s.at) < heardWithin {
			return false
		}
	}
	return len(l.set.Others) > 0
}

// wants is what to ask of each of the others, looked at once a second.
func (l *Link) wants() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.wanted) > 900*time.Millisecond {
		l.wanted = time.Now()
		l.want = 2 * l.state.Budget().Wants() / float64(len(l.set.Others))
	}
	return l.want
}

// Run greets the others until the context ends.
func (l *Link) Run(ctx context.Context) {
	for _, o := range l.set.Others {
		go func() {
			for ctx.Err() == nil {
				l.greet(ctx, o.HostName)
				select {
				case <-ctx.Done():
				case <-time.After(time.Second):
				}
			}
		}()
	}
}
