package claim

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// Hear keeps a leader's hints for the case that this node comes next.
func (p *Pool) Hear(hs []Hint, to HintMark) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.term != nil || to.Gen < p.heardTo.Gen {
		return
	}
	if to.Whole || p.hints == nil {
		p.hints = map[ids.Machine]Hint{}
	}
	for _, h := range hs {
		h.since = time.Now().Add(-h.Held)
		p.hints[h.Name] = h
	}
	if to.Whole {
		to.At = time.Now()
	} else {
		to.At = p.heardTo.At
	}
	p.heardTo = to
}

// Heard is what to ask a leader's hints from; all of them now and then, since
// machines that went away are not named.
func (p *Pool) Heard() HintMark {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.heardTo.At) > 20*time.Second {
		return HintMark{}
	}
	return p.heardTo
}

// Hint is what a leader tells the others of a machine, so that the next leader
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
	// list lags, and a new leader that knows nothing of it would rent another.
	Coming bool
	Held   time.Duration

	since time.Time // the same by this node's clock, once it was heard
}

// HintMark is how far in a leader's hints somebody is.
type HintMark struct {
	Gen   ids.Generation
	Seq   uint64
	Whole bool // the hints that come with it are all there are
	At    time.Time
}

// hinted notes that what the others should know of a machine changed.
func (b *ClusterState) hinted(m *worker.Machine) {
	b.hintSeq++
	m.HintSeq = b.hintSeq
}

// Hints lists the machines heard of which something changed since a mark, or
// all if it is not this leader's.
func (b *ClusterState) Hints(since HintMark) (out []Hint, to HintMark) {
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

// Seed takes hints of an earlier leader.
func (b *ClusterState) Seed(hs map[ids.Machine]Hint, now time.Time) {
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
