package claim

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

func (b *ClusterState) putPlace(p *Place) {
	p.Job.places[p.Index] = p
	if p.Job.Rec.Finished.Has(p.Index) {
		p.Job.finishedMayHavePlace = true
	}
	b.put(b.hostOf(p.Machine), p)
	b.quota.Use(p.Job.Rec.Spec.Team, p.Job.Rec.Spec.Need)
}

// dropPlace takes a place off the books: its task is proven not to be there.
func (b *ClusterState) dropPlace(p *Place) {
	delete(p.Job.places, p.Index)
	p.Job.lasted = p.Job.lasted || time.Since(p.since) >= keptFor
	if len(p.Job.places) == 0 {
		p.Job.emptied = time.Now()
	}
	if h := b.hosts[p.Machine]; h != nil {
		b.drop(h, p)
		if m := b.roster.Machines[p.Machine]; m != nil && len(h.places) == 0 {
			m.IdleSince = time.Now()
		}
	}
	b.quota.Free(p.Job.Rec.Spec.Team, p.Job.Rec.Spec.Need)
	if p.Job.ended && len(p.Job.places) == 0 {
		b.unlist(p.Job)
	}
	poke(b.wakePlan)
}

// stop asks for a task to be stopped, or drops it if its start never went out.
func (b *ClusterState) stop(p *Place, leeway ids.Seconds, why string) {
	if !p.sent {
		b.dropPlace(p)
		b.touch(p.Job)
		return
	}
	if p.stopping && leeway >= p.leeway {
		return
	}
	p.stopping, p.leeway, p.why, p.stopAt = true, leeway, why, time.Now()
	b.owe(p)
	if !p.seen && !p.offeredOnlyByBeat(b) && b.current(p) {
		// A late start could yet begin it: raise the token so that the worker
		// turns that away once it hears.
		b.bump = true
		poke(b.wakeCommit)
	}
	poke(b.wakePlan)
}

// current tells whether the place's start went out under this generation.
func (b *ClusterState) current(p *Place) bool { return p.Token == b.gen }

// offeredOnlyByBeat tells that no direct start of the place is unaccounted for.
func (p *Place) offeredOnlyByBeat(b *ClusterState) bool {
	m := b.roster.Machines[p.Machine]
	return m != nil && b.current(p) && !m.MayRevive(p.Task().String(), p.Attempt)
}
