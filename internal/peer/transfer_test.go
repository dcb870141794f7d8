package peer

import (
	"context"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"
)

func TestIdleControllerTransfersUnusedChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cluster := newTestCluster()
		_, asking := cluster.start(ctx, "a", "b")
		time.Sleep(100 * time.Millisecond)
		dialsBefore := cluster.pipes.Dials()
		if asking.requestTransfer(ctx, 1) || cluster.pipes.Dials() > dialsBefore {
			t.Error("a controller that never sent a health report was asked or transferred changes")
		}
		_, idle := cluster.start(ctx, "b", "a")
		time.Sleep(3 * time.Second)
		given := 0
		for asking.requestTransfer(ctx, 5) && given < 1000 {
			given += 5
		}
		if given == 0 || given >= 1000 {
			t.Errorf("%d changes transferred, want above 0 and below 1000", given)
		}
		if idle.store.Budget().GiveTokens(5) {
			t.Error("the other controller still has the changes that it transferred")
		}
		cancel()
		cluster.pipes.Close()
		time.Sleep(time.Minute) // lets idle connections reach their timeout
	})
}

// serviceWithoutTransfers is the peer service of an older version, which lacks the Transfer method.
type serviceWithoutTransfers struct{}

func (serviceWithoutTransfers) Greet(_ *Hello, out *Hello) error {
	out.Node, out.StateOK = "b", true
	return nil
}

func TestTransferRequestToOlderControllerFailsAtOnce(t *testing.T) {
	// Guards against a delayed user request or a closed connection because of a call that older versions
	// lack.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cluster := newTestCluster()
		server := rpc.NewServer()
		if err := server.RegisterName("Peer", serviceWithoutTransfers{}); err != nil {
			t.Fatal(err)
		}
		listener := cluster.pipes.Listen("b")
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go server.ServeConn(&timeoutConn{conn})
			}
		}()
		_, link := cluster.start(ctx, "a", "b")
		time.Sleep(3 * time.Second)
		connection := func() *rpc.Client {
			link.connections.mu.Lock()
			defer link.connections.mu.Unlock()
			return link.connections.clients["b"]
		}
		connectionBefore := connection()
		began := time.Now()
		if link.requestTransfer(ctx, 1) {
			t.Error("a controller without Transfer transferred changes")
		}
		if took := time.Since(began); took > 50*time.Millisecond {
			t.Errorf("the request to a controller without Transfer took %v", took)
		}
		if connectionBefore == nil || connection() != connectionBefore {
			t.Error("the connection to a controller without Transfer was closed")
		}
		cancel()
		cluster.pipes.Close()
		time.Sleep(time.Minute)
	})
}
