package peer

import (
	"context"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

func TestAnIdleControllerGivesAnotherOneItsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		n, s, p := fake.NewNet(), fake.NewStore(), fake.NewPipes()
		n.Listen("state:1", s)
		_, la := node(ctx, "a", "b", n, p)
		time.Sleep(100 * time.Millisecond)
		before := p.Dials()
		if la.requestTransfer(ctx, 1) || p.Dials() > before {
			t.Error("a controller that was never heard was asked")
		}
		_, lb := node(ctx, "b", "a", n, p)
		time.Sleep(3 * time.Second)
		given := 0
		for la.requestTransfer(ctx, 5) && given < 1000 {
			given += 5
		}
		if given == 0 || given >= 1000 {
			t.Errorf("%d changes given", given)
		}
		if lb.state.Budget().TransferOut(5) {
			t.Error("what was given away is still there")
		}
		cancel()
		p.Close()
		time.Sleep(time.Minute) // idle connections are given up
	})
}

// before is the peer service of a controller of a version without transfers.
type before struct{}

func (before) Greet(_ *Hello, out *Hello) error {
	out.Node, out.StateOK = "b", true
	return nil
}

func TestAnOlderControllerGivesNothingAtOnce(t *testing.T) {
	// Guards against a user kept waiting, or a connection dropped, for a call that older
	// versions do not know.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		n, s, p := fake.NewNet(), fake.NewStore(), fake.NewPipes()
		n.Listen("state:1", s)
		srv := rpc.NewServer()
		if err := srv.RegisterName("Peer", before{}); err != nil {
			t.Fatal(err)
		}
		old := p.Listen("b")
		go func() {
			for {
				c, err := old.Accept()
				if err != nil {
					return
				}
				go srv.ServeConn(&idleConn{c})
			}
		}()
		_, l := node(ctx, "a", "b", n, p)
		time.Sleep(3 * time.Second)
		connection := func() *rpc.Client {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.conns["b"]
		}
		kept := connection()
		began := time.Now()
		if l.requestTransfer(ctx, 1) {
			t.Error("an older controller gave changes")
		}
		if took := time.Since(began); took > 50*time.Millisecond {
			t.Errorf("its answer took %v", took)
		}
		if kept == nil || connection() != kept {
			t.Error("its connection was given up")
		}
		cancel()
		p.Close()
		time.Sleep(time.Minute)
	})
}
