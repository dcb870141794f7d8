package claim

import (
	"context"
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

// batches takes what may go out now: starts whose marker is stored, and stops.
// It notes each start as outstanding before it is sent.
func (b *Book) batches() []batch {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lost {
		return nil
	}
	now := time.Now()
	var out []batch
	for name, ps := range b.on {
		m := b.roster.Machines[name]
		if m == nil || !m.Heard || m.Addr == "" || m.Deleting {
			continue
		}
		ba := batch{machine: name, addr: m.Addr, session: m.Session, token: b.gen}
		for p := range ps {
			if p.Session != m.Session {
				continue
			}
			switch {
			case p.stopping && p.seen && p.stopSent.Before(p.stopAt):
				p.stopSent = now
				ba.orders = append(ba.orders, worker.Stop(p.Task().String(), p.Attempt, p.leeway))
			case !p.stopping && !p.sent && p.Job.saved >= p.version && p.Token == b.gen:
				p.sent = true
				m.Lates = append(m.Lates, worker.Late{Task: p.Task().String(), Attempt: p.Attempt, Token: b.gen, Session: m.Session})
				ba.orders = append(ba.orders, worker.Start(p.Task(), p.Attempt))
			case !p.stopping && !p.sent && p.Job.saved >= p.version:
				// The generation rose between marker and start: the marker
				// must carry the token that the start goes out with.
				p.Token = b.gen
				b.touch(p.Job)
				p.version = p.Job.version
			}
		}
		if len(ba.orders) > 0 {
			out = append(out, ba)
		}
	}
	return out
}

// answered settles what became of a batch.
func (b *Book) answered(ba batch, how worker.Outcome) {
	if how == worker.Uncertain {
		return // outstanding until shown, or turned away by session or token
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.roster.Machines[ba.machine]
	if m == nil {
		return
	}
	kept := m.Lates[:0]
	for _, l := range m.Lates {
		ours := l.Session == ba.session && l.Token == ba.token
		if ours {
			ours = false
			for _, o := range ba.orders {
				if o.Verb == "start" && o.Task == l.Task && o.Attempt == l.Attempt {
					ours = true
				}
			}
		}
		if !ours {
			kept = append(kept, l)
		}
	}
	m.Lates = kept
}

// Dispatcher sends batches straight to the workers.
type Dispatcher struct {
	Book      *Book
	Commander *worker.Commander
	slots     chan struct{}
	wake      chan struct{}
}

// NewDispatcher bounds the sends under way, since each holds a socket.
func NewDispatcher(b *Book, c *worker.Commander, slots int) *Dispatcher {
	return &Dispatcher{Book: b, Commander: c, slots: make(chan struct{}, slots), wake: make(chan struct{}, 1)}
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
		case <-time.After(500 * time.Millisecond):
		}
		d.probe(ctx)
		for _, ba := range d.Book.batches() {
			select {
			case <-ctx.Done():
				return
			case d.slots <- struct{}{}:
			}
			go func() {
				defer func() { <-d.slots }()
				how, rep := d.Commander.Send(ctx, ba.addr, ba.token, ba.session, ba.orders)
				d.Book.answered(ba, how)
				if rep != nil && rep.Machine == ba.machine {
					d.Book.Observe(rep, false, false)
				}
			}()
		}
	}
}

// probe asks machines whose reports are overdue: one that hangs, is cut off or
// dead says nothing, while one that only lost its way here answers.
func (d *Dispatcher) probe(ctx context.Context) {
	for _, pr := range d.Book.toProbe(time.Now()) {
		go func() {
			rep := d.Commander.Show(ctx, pr.addr, 1200*time.Millisecond)
			d.Book.probed(pr.machine, rep != nil)
			if rep != nil && rep.Machine == pr.machine {
				d.Book.Observe(rep, false, false)
			}
		}()
	}
}

type probe struct {
	machine ids.Machine
	addr    string
}

func (b *Book) toProbe(now time.Time) (out []probe) {
	b.mu.Lock()
	defer b.mu.Unlock()
	overdue := b.set.Params.Workers.ReportS.Duration()*3/2 + 300*time.Millisecond
	for _, m := range b.roster.Machines {
		if m.Heard && !m.Deleting && !m.Probing && m.Addr != "" && m.Silent(now) > overdue && len(out) < 16 {
			m.Probing = true
			out = append(out, probe{m.Name, m.Addr})
		}
	}
	return out
}

func (b *Book) probed(name ids.Machine, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m := b.roster.Machines[name]; m != nil {
		m.Probing = false
		if !answered {
			m.Probes++
		}
	}
}
