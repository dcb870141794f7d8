package claim

import (
	"log/slog"
	"math"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// costs counts what the machines cost this leader, by what they were doing, and
// the work that has to be done again. It answers an operator's question of
// where the money goes; nothing is decided by it.
type costs struct {
	boot, idle, free, fetch, wait, run float64            // money
	again                              map[string]float64 // core-seconds, by cause
	at, told                           time.Time
}

// account adds what the time since the last call cost.
func (b *ClusterState) account(now time.Time) {
	s := &b.costs
	if s.again == nil {
		s.again = map[string]float64{}
	}
	if s.at.IsZero() {
		s.at, s.told = now, now
	}
	dt := now.Sub(s.at).Seconds()
	s.at = now
	for name, m := range b.roster.Machines {
		t := b.types[m.Type]
		if t == nil || m.Failed {
			continue
		}
		cost := t.PriceOf(m.Spot) / 3600 * dt
		switch {
		case !m.Heard:
			s.boot += cost
			continue
		case len(b.placesOn(name)) == 0:
			s.idle += cost
			continue
		}
		left := 1.0
		for p := range b.placesOn(name) {
			need := p.Job.Rec.Spec.Need
			share := min(left, max(need.Cores/max(t.Cores, 1e-9), need.RAM/max(t.RAM, 1e-9), need.Accels/max(t.Accels, 1e-9)*b2f(t.Accels > 0)))
			left -= share
			switch {
			case p.status == worker.Running:
				s.run += cost * share
			case p.status == worker.Waiting || p.status == worker.Flushing:
				s.wait += cost * share
			default:
				s.fetch += cost * share
			}
		}
		s.free += cost * left
	}
	if now.Sub(s.told) >= time.Minute {
		s.told = now
		slog.Info("spent", "boot", cents(s.boot), "idle", cents(s.idle), "free", cents(s.free), "fetch", cents(s.fetch),
			"wait", cents(s.wait), "run", cents(s.run), "againCoreSeconds", s.again)
	}
}

func b2f(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func cents(v float64) float64 { return math.Round(v*1000) / 1000 }

// redo counts work lost with a task that was stopped or vanished.
func (b *ClusterState) redo(p *Place, cause string, now time.Time) {
	if p.ranSince.IsZero() || p.Job.Rec.Spec.Shape == record.Service || b.costs.again == nil {
		return
	}
	s := &p.Job.Rec.Spec
	ran := now.Sub(p.ranSince).Seconds()
	if s.Checkpoint > 0 {
		ran = math.Mod(ran, float64(s.Checkpoint))
	}
	b.costs.again[cause] = math.Round(b.costs.again[cause] + ran*s.Need.Cores)
}
