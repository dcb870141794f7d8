package claim

import (
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// vanish requeues a task proven not to be on its machine any more.
func (b *ClusterState) vanish(p *Place, why string) {
	j := p.Job
	if m := b.roster.Machines[p.Machine]; m != nil {
		// By what evidence, should it turn out to be wrong.
		slog.Info("task gone", "task", p.Task(), "machine", p.Machine, "why", why, "attempt", p.Attempt, "token", p.Token, "session", p.Session,
			"seen", p.seen, "heard", m.Heard, "reportToken", m.Token, "reportSession", m.Session, "reportTick", m.Tick)
	}
	if !j.ended {
		b.noteGone(p, why)
	}
	b.dropPlace(p)
	if j.ended {
		return
	}
	if !j.cancelled() {
		b.redo(p, "machine lost", time.Now())
	}
	b.touch(j)
	// The evidence may be the cloud's word to this process alone: stored late,
	// a successor would have to wait for it anew before it starts the task.
	b.hurry(j)
	b.finishIfOver(j)
}

// Lapses requeues what was on machines whose workers' leases have surely run
// out, and returns whether anything did.
func (b *ClusterState) Lapses(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.lapsed) < 200*time.Millisecond {
		return
	}
	b.lapsed = now
	b.size.Store(int64(len(b.roster.Machines)))
	for name, h := range b.hosts {
		if len(h.places) == 0 {
			continue
		}
		m := b.roster.Ensure(name, now, b.trustSilence)
		if now.Before(m.LapseAt) {
			continue
		}
		for p := range h.places {
			// A start sent after the last answer belongs to the same lapsed
			// session, which turns it away from here on.
			b.vanish(p, "silent until its worker's lease had surely lapsed")
		}
	}
}

// MachineGone requeues everything on a machine that the cloud has confirmed
// deleted, and forgets it.
func (b *ClusterState) MachineGone(name ids.Machine) {
	b.mu.Lock()
	defer b.mu.Unlock()
	why := "its machine was returned to the cloud"
	if m := b.roster.Machines[name]; m != nil && m.ReturnWhy != "" {
		why += ": " + m.ReturnWhy
		if b.keptByRollout(name) {
			b.disruption.lost[name] = m.ReturnWhy
		}
	}
	for p := range b.placesOn(name) {
		b.vanish(p, why)
	}
	b.cast(name)
	if len(b.returned) > 20000 {
		clear(b.returned) // late news of machines that old is not expected
	}
	b.returned[name] = true
	delete(b.reserved, name)
	poke(b.wakePlan)
}
