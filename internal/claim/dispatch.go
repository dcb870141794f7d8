package claim

import (
	"context"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// batch is what goes straight to one worker at once.
type batch struct {
	machine ids.Machine
	addr    string
	session ids.Session
	token   ids.Generation
	orders  []worker.Order
}

// starts tells whether the batch begins an attempt.
func (ba *batch) starts(task string, a ids.Attempt) bool {
	return slices.ContainsFunc(ba.orders, func(o worker.Order) bool {
		return o.Verb == "start" && o.Task == task && o.Attempt == a
	})
}

// batches takes what may go out now, for at most free machines: starts whose
// marker is stored, and stops. It notes each start as outstanding before it is
// sent. What finds no room stays due.
//
// A machine holds at most one send at a time, and one that leaves calls
// unanswered none at all: hundreds of silent machines must not keep living ones
// waiting. Its next beat, or its answer to a question, gets what it is owed.
func (b *ClusterState) batches(free int) []batch {
	starting, read := b.Starting()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lost {
		return nil
	}
	now := time.Now()
	var due []*host
	for h := range b.due {
		m := b.roster.Machines[h.name]
		switch {
		case m == nil || !m.Heard || m.Addr == "" || m.Deleting || m.Doubtful():
			delete(b.due, h) // due again once it is heard
		case !m.Sending: // else the answer under way looks again
			due = append(due, h)
		}
	}
	if free <= 0 {
		return nil
	}
	// Of a loss not noticed yet, the lost were heard longest ago.
	slices.SortFunc(due, func(x, y *host) int { return b.roster.Machines[y.name].Seen.Compare(b.roster.Machines[x.name].Seen) })
	var out []batch
	for _, h := range due {
		if len(out) >= free {
			break
		}
		delete(b.due, h)
		name := h.name
		m := b.roster.Machines[name]
		ba := batch{machine: name, addr: m.Addr, session: m.Session, token: b.gen}
		for p := range h.places {
			if p.Session != m.Session {
				continue
			}
			switch {
			case p.stopping && p.seen && p.stopSent.Before(p.stopAt):
				p.stopSent = now
				ba.orders = append(ba.orders, worker.Stop(p.Task().String(), p.Attempt, p.leeway))
			case !p.stopping && !p.sent && (!starting || read.Before(p.Job.reread)):
				b.due[h] = true // looked at again soon
			case !p.stopping && !p.sent && p.Job.saved >= p.version && !b.mayStart(p, m):
			case !p.stopping && !p.sent && p.Job.saved >= p.version && p.Token == b.gen:
				p.sent = true
				m.LateStarts = append(m.LateStarts, worker.LateStart{Task: p.Task().String(), Attempt: p.Attempt, Token: b.gen, Session: m.Session})
				ba.orders = append(ba.orders, worker.Start(p.Task(), p.Attempt))
			case !p.stopping && !p.sent && p.Job.saved >= p.version && p.version > 0:
				// The generation rose between marker and start: the marker
				// must carry the token that the start goes out with.
				p.Token = b.gen
				b.touch(p.Job)
				b.hurry(p.Job)
				p.version = p.Job.version
			}
		}
		if len(ba.orders) > 0 {
			m.Sending = true
			out = append(out, ba)
		}
	}
	return out
}

// owe notes that something is to be sent to a place's machine.
func (b *ClusterState) owe(p *Place) {
	if h := b.hosts[p.Machine]; h != nil {
		b.due[h] = true
	}
}

// answered settles what became of a batch.
func (b *ClusterState) answered(ba batch, how worker.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.roster.Machines[ba.machine]
	if m == nil {
		return
	}
	m.Sending = false
	if how == worker.NotSent {
		// Nothing of it can arrive later, so what it would have started is only
		// marked again.
		for p := range b.placesOn(ba.machine) {
			if p.sent && !p.seen && !p.offered && p.Session == ba.session && p.Token == ba.token && ba.starts(p.Task().String(), p.Attempt) {
				p.sent = false
				if p.stopping {
					// Asked to be stopped meanwhile: there is nothing to stop.
					b.dropPlace(p)
					b.touch(p.Job)
					b.finishIfOver(p.Job)
				}
			}
		}
	}
	b.reached(m, how == worker.Carried || how == worker.Refused)
	if how == worker.Uncertain {
		return // outstanding until shown, or turned away by session or token
	}
	kept := m.LateStarts[:0]
	for _, l := range m.LateStarts {
		ours := l.Session == ba.session && l.Token == ba.token && ba.starts(l.Task, l.Attempt)
		if !ours {
			kept = append(kept, l)
		}
	}
	m.LateStarts = kept
}

// Dispatcher sends batches straight to the workers.
type Dispatcher struct {
	Cluster   *ClusterState
	Commander *worker.Commander
	// May tells whether this leader may still give commands.
	May   func() bool
	slots chan struct{}
	wake  chan struct{}
}

// NewDispatcher bounds the sends under way, since each holds a socket.
func NewDispatcher(b *ClusterState, c *worker.Commander, slots int) *Dispatcher {
	return &Dispatcher{Cluster: b, Commander: c, slots: make(chan struct{}, slots), wake: make(chan struct{}, 1)}
}

// Wake asks for a look at what may go out.
func (d *Dispatcher) Wake() { poke(d.wake) }

// Run sends until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-time.After(200 * time.Millisecond):
		}
		if d.May != nil && !d.May() {
			continue
		}
		d.probe(ctx)
		for _, ba := range d.Cluster.batches(cap(d.slots) - len(d.slots)) {
			d.slots <- struct{}{} // only this loop takes slots, so one is free
			go func() {
				how, rep := d.Commander.Send(ctx, ba.addr, ba.token, ba.session, ba.orders)
				<-d.slots
				d.Cluster.answered(ba, how)
				if rep != nil && rep.Machine == ba.machine {
					d.Cluster.Observe(rep, false, false)
				}
				d.Wake() // a slot is free, and more may be due there
			}()
		}
	}
}
