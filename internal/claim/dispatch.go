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
func (b *Book) batches(free int) []batch {
	starting := b.Starting()
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
			case !p.stopping && !p.sent && !starting:
				b.due[h] = true // looked at again soon
			case !p.stopping && !p.sent && p.Job.saved >= p.version && !b.mayStart(p, m):
			case !p.stopping && !p.sent && p.Job.saved >= p.version && p.Token == b.gen:
				p.sent = true
				m.Lates = append(m.Lates, worker.Late{Task: p.Task().String(), Attempt: p.Attempt, Token: b.gen, Session: m.Session})
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
func (b *Book) owe(p *Place) {
	if h := b.hosts[p.Machine]; h != nil {
		b.due[h] = true
	}
}

// answered settles what became of a batch.
func (b *Book) answered(ba batch, how worker.Outcome) {
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
	kept := m.Lates[:0]
	for _, l := range m.Lates {
		ours := l.Session == ba.session && l.Token == ba.token && ba.starts(l.Task, l.Attempt)
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
	// May tells whether this owner may still give commands.
	May   func() bool
	slots chan struct{}
	wake  chan struct{}
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
		case <-time.After(200 * time.Millisecond):
		}
		if d.May != nil && !d.May() {
			continue
		}
		d.probe(ctx)
		for _, ba := range d.Book.batches(cap(d.slots) - len(d.slots)) {
			d.slots <- struct{}{} // only this loop takes slots, so one is free
			go func() {
				how, rep := d.Commander.Send(ctx, ba.addr, ba.token, ba.session, ba.orders)
				<-d.slots
				d.Book.answered(ba, how)
				if rep != nil && rep.Machine == ba.machine {
					d.Book.Observe(rep, false, false)
				}
				d.Wake() // a slot is free, and more may be due there
			}()
		}
	}
}

// probe asks machines whose reports are overdue: one that hangs, is cut off or
// dead says nothing, while one that only lost its way here answers. After a
// takeover it asks all that are known, instead of waiting until their workers
// have found the new owner, and shows them its token.
func (d *Dispatcher) probe(ctx context.Context) {
	for _, pr := range d.Book.toProbe(time.Now(), cap(d.slots)) {
		go func() {
			var rep *worker.Report
			if pr.session > 0 {
				// No orders: only so that what older owners sent is turned
				// away from here on, and the answer tells what is there.
				ctx, cancel := context.WithTimeout(ctx, probeTimeout)
				_, rep = d.Commander.Send(ctx, pr.addr, pr.token, pr.session, nil)
				cancel()
			} else {
				rep = d.Commander.Show(ctx, pr.addr, probeTimeout)
			}
			if rep != nil && rep.Machine != pr.machine {
				rep = nil
			}
			if rep != nil && rep.Token < pr.token {
				if _, fenced := d.Commander.Send(ctx, pr.addr, pr.token, rep.Session, nil); fenced != nil && fenced.Machine == pr.machine {
					rep = fenced
				}
			}
			d.Book.probed(pr.machine, rep != nil)
			if rep != nil {
				d.Book.Observe(rep, false, false)
			}
		}()
	}
}

const probeTimeout = 800 * time.Millisecond

type probe struct {
	machine ids.Machine
	addr    string
	token   ids.Generation
	session ids.Session // believed, of a machine not heard yet
}

// toProbe picks whom to ask now, at most most at a time.
func (b *Book) toProbe(now time.Time, most int) (out []probe) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.probedAt) < 100*time.Millisecond {
		return nil
	}
	b.early = min(earlyAsks, b.early+earlyAsks*now.Sub(b.probedAt).Seconds())
	b.probedAt = now
	report := b.set.Params.Workers.ReportS.Duration()
	var ask, early []*worker.Machine
	for _, m := range b.roster.Machines {
		if m.Deleting || m.Probing || m.Addr == "" {
			continue
		}
		overdue := b.askAfter(m)
		again := overdue / 2
		if !m.Heard {
			again = time.Second
		}
		if m.Probes >= keenProbes {
			// Whoever left so many questions unanswered is judged already; its
			// worker reports by itself once it is back.
			again = max(again, b.set.Params.Workers.ReportS.Duration()/2)
		}
		if now.Sub(m.Asked) > again && (m.Heard && (m.Silent(now) > overdue || !m.Unreached.IsZero()) || !m.Heard && !m.Booting) {
			if m.Heard && m.Probes == 0 && m.Unreached.IsZero() && m.Silent(now) < report*5/4 && !b.stays(m) {
				early = append(early, m)
			} else {
				ask = append(ask, m)
			}
		}
	}
	// Of those not overdue yet, only the longest silent.
	slices.SortFunc(early, func(x, y *worker.Machine) int { return x.Seen.Compare(y.Seen) })
	early = early[:min(len(early), int(b.early))]
	b.early -= float64(len(early))
	ask = append(ask, early...)
	// Those with replicas first, then whoever waits longest: hundreds that are
	// silent take turns.
	slices.SortFunc(ask, func(x, y *worker.Machine) int {
		if sx, sy := b.stays(x), b.stays(y); sx != sy {
			if sx {
				return -1
			}
			return 1
		}
		return x.Asked.Compare(y.Asked)
	})
	for _, m := range ask[:max(0, min(len(ask), most-b.probing))] {
		m.Probing, m.Asked = true, now
		b.probing++
		if m.Probes == 0 {
			m.Doubted = now
		}
		pr := probe{machine: m.Name, addr: m.Addr, token: b.gen}
		if !m.Heard {
			pr.session = m.Hinted
		}
		out = append(out, pr)
	}
	return out
}

// earlyAsks is how many machines without replicas are asked in a second before their
// reports, which come up to a quarter later than their interval, are overdue: in a
// large fleet half of all machines are that silent at any time, and to ask each of
// them costs its owner as much as their reports do.
const earlyAsks = 30.0

// keenProbes is how many questions in a row are asked closely after another.
const keenProbes = 4

// stays tells whether replicas run on a machine.
func (b *Book) stays(m *worker.Machine) bool {
	h := b.hosts[m.Name]
	return h != nil && h.stay > 0
}

// askAfter is the silence after which a machine is asked how it is. Where
// replicas run, nobody waits long for a report: while a machine hangs, they are
// down, and reports may be far apart.
func (b *Book) askAfter(m *worker.Machine) time.Duration {
	after := b.set.Params.Workers.ReportS.Duration() / 2
	if b.stays(m) {
		after = min(after, believed*5/8)
	}
	return after
}

// reached takes in whether a machine answered a call. One that did gets what it
// is owed; one that did not loses what was only marked for it: no start of that
// went out, so it may go elsewhere at once.
func (b *Book) reached(m *worker.Machine, answered bool) {
	doubted := m.Doubtful()
	m.Reached(answered, time.Now())
	h := b.hosts[m.Name]
	if h == nil {
		return
	}
	if answered {
		if doubted {
			b.due[h] = true
		}
		return
	}
	for p := range h.places {
		if !p.sent && !p.stopping {
			b.dropPlace(p)
			b.touch(p.Job)
		}
	}
}

func (b *Book) probed(name ids.Machine, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing--
	if m := b.roster.Machines[name]; m != nil {
		m.Probing = false
		if !answered {
			m.Probes++
		}
		b.reached(m, answered)
	}
}

// Hint is what an owner tells the others of a machine, so that the next owner
// need not find it out again. Nothing rests on it but time.
type Hint struct {
	Name    ids.Machine
	Addr    string
	Type    string
	Zone    string
	Spot    bool
	Session ids.Session
	Images  worker.Images
	// Coming tells that it is rented and not up yet, since Held ago. The cloud's
	// list lags, and a new owner that knows nothing of it would rent another.
	Coming bool
	Held   time.Duration

	since time.Time // the same by this node's clock, once it was heard
}

// HintMark is how far in an owner's hints somebody is.
type HintMark struct {
	Gen   ids.Generation
	Seq   uint64
	Whole bool // the hints that come with it are all there are
	At    time.Time
}

// hinted notes that what the others should know of a machine changed.
func (b *Book) hinted(m *worker.Machine) {
	b.hintSeq++
	m.HintSeq = b.hintSeq
}

// Hints lists the machines heard of which something changed since a mark, or
// all if it is not this owner's.
func (b *Book) Hints(since HintMark) (out []Hint, to HintMark) {
	b.mu.Lock()
	defer b.mu.Unlock()
	to = HintMark{Gen: b.first, Seq: b.hintSeq, Whole: since.Gen != b.first}
	if to.Whole {
		since.Seq = 0
	}
	for _, m := range b.roster.Machines {
		if (m.Heard || m.Booting) && !m.Deleting && m.HintSeq > since.Seq {
			out = append(out, Hint{m.Name, m.Addr, m.Type, m.Zone, m.Spot, m.Session, m.Images.Copy(), !m.Heard, time.Since(m.HeldSince), time.Time{}})
		}
	}
	return out, to
}

// Seed takes hints of an earlier owner.
func (b *Book) Seed(hs map[ids.Machine]Hint, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range hs {
		m := b.roster.Ensure(h.Name, now, b.trustSilence)
		if !m.Heard {
			m.Addr, m.Type, m.Zone, m.Spot, m.Hinted = h.Addr, h.Type, h.Zone, h.Spot, h.Session
			m.Images = h.Images
			if h.Coming {
				m.Booting, m.HeldSince = true, h.since
			}
			for _, n := range h.Images.Names {
				b.holders(n)[b.hostOf(h.Name)] = true
			}
		}
	}
}
