package claim

import (
	"log/slog"
	"math"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// Observe settles outcomes from a report and returns the orders its machine
// should get. answered tells that the worker gets a 200 for this report; beat
// tells a beat from the answer to direct commands.
func (b *ClusterState) Observe(rep *worker.Report, answered, beat bool) []worker.Order {
	starting, read := b.Starting()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	defer measure.Process.Took("report", now)
	if b.returned[rep.Machine] {
		return nil // held back on its way: the machine is gone
	}
	known := b.roster.Machines[rep.Machine] != nil
	m := b.roster.Ensure(rep.Machine, now, b.trustSilence)
	if !known {
		slog.Info("machine reports that nobody expected; adopted", "machine", rep.Machine, "type", rep.Type, "zone", rep.Zone)
	}
	firstHeard := !m.Heard
	hadNotice := !m.TakenAt.IsZero()
	moved := m.Type != rep.Type || m.Zone != rep.Zone || m.Spot != rep.Spot
	idle := m.Heard && !m.Usable(now, b.set.Params.Workers.ReportS)
	doubted, lost := m.Doubtful(), firstHeard || m.Silent(now) > 2*b.set.Params.Workers.ReportS.Duration()+time.Second
	booting := m.Booting
	v := b.roster.Note(m, rep, now, answered, b.gen)
	if !v.Fresh {
		// A command's answer may overtake a beat that was sent before it. The
		// beat's answer renews the lease all the same, so it must not come
		// without the stops.
		if rep.Session == m.Session {
			return b.ordersFor(m, beat, false, read, now)
		}
		return nil
	}
	if booting && firstHeard {
		b.booted(m, now)
	}
	h := b.hostOf(m.Name)
	if firstHeard || moved || v.Moved {
		b.shelve(h)
		b.hinted(m)
	}
	if !m.Unreached.IsZero() && lost {
		// It was silent for long and is heard again: that calls to it failed
		// meanwhile says nothing of now. It is asked anew before it is judged.
		m.Unreached, m.Failures, m.Doubted, m.Asked = now, 0, now, time.Time{}
	}
	if firstHeard || v.Moved || doubted {
		b.due[h] = true // what was held back or placed there before may go out now
	}
	if idle {
		poke(b.wakePlan)
	}
	if firstHeard {
		m.IdleSince = now
		poke(b.wakePlan)
	}
	if !hadNotice && !m.TakenAt.IsZero() {
		b.leaving[m.Name] = true
		slog.Info("spot notice", "machine", m.Name, "in", m.TakenAt.Sub(now))
		poke(b.wakePlan)
	}
	// Everything of an earlier session is gone, as the worker forgot it when
	// its lease lapsed.
	for p := range b.placesOn(m.Name) {
		switch {
		case p.Session >= rep.Session:
		case p.sent:
			b.vanish(p, "its worker's lease lapsed")
		default:
			// Only marked, for a session that is over: its start would never go
			// out, and nobody would ever report it.
			b.dropPlace(p)
			b.touch(p.Job)
		}
	}
	listed := make(map[taskAttempt]bool, len(rep.Pieces))
	var orders []worker.Order
	for i := range rep.Pieces {
		pc := &rep.Pieces[i]
		t, err := ids.ParseTask(pc.Task)
		if err != nil {
			continue
		}
		k := taskAttempt{t, pc.Attempt, m.Name}
		listed[k] = true
		j := b.jobs[t.Job]
		if j != nil {
			if b.ambiguous(j, rep, pc) {
				continue
			}
			// What is listed before a start went out is left from an earlier start
			// of the same attempt there, whose outcome is known.
			if p := j.places[t.Index]; p != nil && p.Machine == m.Name && p.Attempt == pc.Attempt && p.sent {
				if p.Session != rep.Session {
					continue // of an earlier session, and so of an earlier start
				}
				if pc.Status == worker.Ended {
					b.settle(p, pc, m)
				} else {
					b.saw(p, pc, m, now)
					continue
				}
			}
		}
		orders = append(orders, b.stray(j, k, pc, m)...)
	}
	for p := range b.placesOn(m.Name) {
		if listed[taskAttempt{p.Task(), p.Attempt, m.Name}] || !p.sent || p.Session != rep.Session {
			continue
		}
		switch {
		case p.seen:
			b.vanish(p, "its worker reports it no longer")
		case p.Token < rep.Token:
			// The worker has seen a higher token than the start carries, so
			// the start was never carried out and never will be.
			b.vanish(p, "its start was turned away")
		case p.stopping && beat && p.offeredOnlyByBeat(b) && rep.Tick > p.beatOffer:
			// Starts in beat answers are carried out at once or never.
			b.vanish(p, "its start was dropped")
		}
	}
	for p := range b.placesOn(m.Name) {
		if !p.sent {
			b.due[h] = true // its start may have waited for this report
			break
		}
	}
	orders = append(orders, b.ordersFor(m, beat, starting, read, now)...)
	// One line of an answer must stay below 64 KiB; the rest follows with the
	// next report.
	return orders[:min(len(orders), maxOrders)]
}

const maxOrders = 400

// ambiguous tells whether a report may be from before what the record tells of a
// gang. Until a worker shows this leader's token its report may be of any age, and of
// a gang the same task may have been started again, under the same attempt, on the
// machine where it had ended. Of other jobs every start has a number of its own; and
// what is done is done.
func (b *ClusterState) ambiguous(j *Job, rep *worker.Report, pc *worker.Piece) bool {
	return j.Rec.Spec.Shape == record.Gang && rep.Token < b.first && !(pc.Status == worker.Ended && pc.Cause == worker.CauseDone)
}

// ordersFor repeats, in a beat's answer, what the machine still has to do.
// Every command may be repeated; a start is named by task and attempt, so it
// takes effect once.
func (b *ClusterState) ordersFor(m *worker.Machine, beat, starting bool, read, now time.Time) []worker.Order {
	if !beat {
		return nil
	}
	var orders []worker.Order
	for p := range b.placesOn(m.Name) {
		j := p.Job
		switch {
		case p.Session != m.Session:
		case p.stopping:
			if p.seen && p.status != worker.Ended {
				orders = append(orders, worker.Stop(p.Task().String(), p.Attempt, p.leewayNow(now)))
			}
		case !starting || read.Before(j.reread):
		case !p.seen && p.Token == b.gen && j.saved >= p.version && !m.Deleting && (p.sent || b.mayStart(p, m)):
			p.sent, p.offered, p.beatOffer = true, true, m.Tick
			orders = append(orders, worker.Start(p.Task(), p.Attempt))
		}
	}
	return orders
}

// mustLapse tells whether a worker's lease must not be renewed: a direct start may
// still be on its way to it, of a task whose job was cancelled so long ago that the
// task could be there beyond cancel_s. A raised token turns the start away sooner,
// but to raise it takes the state service.
func (b *ClusterState) mustLapse(rep *worker.Report, grace time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.roster.Machines[rep.Machine]
	if m == nil || rep.Session != m.Session || len(m.LateStarts) == 0 {
		return false
	}
	for p := range b.placesOn(m.Name) {
		if p.stopping && !p.seen && p.Job.cancelled() && p.Session == rep.Session && b.current(p) &&
			time.Since(p.stopAt) > grace && m.MayRevive(p.Task().String(), p.Attempt) {
			return true
		}
	}
	return false
}

// leewayNow is what is left of a stop's leeway; a second stop with 0 ends a
// task that saves for too long.
func (p *Place) leewayNow(now time.Time) ids.Seconds {
	if p.leeway == 0 || now.Sub(p.stopAt) > 2*p.leeway.Duration()+3*time.Second {
		return 0
	}
	return p.leeway
}

// saw notes a task that is on its machine.
func (b *ClusterState) saw(p *Place, pc *worker.Piece, m *worker.Machine, now time.Time) {
	if !p.seen || p.status != pc.Status {
		slog.Debug("seen", "class", p.Job.Rec.Spec.Class, "job", p.Job.Rec.Spec.ID, "task", p.Index, "machine", m.Name, "status", pc.Status,
			"sincePlaced", now.Sub(p.since).Round(time.Millisecond))
	}
	p.seen, p.sent = true, true
	h := b.hostOf(m.Name)
	if pc.Status != worker.Pulling {
		b.arrived(h, p)
	}
	if p.stopping && p.stopSent.Before(p.stopAt) {
		b.due[h] = true
	}
	if p.status != pc.Status && pc.Status == worker.Running {
		p.ranSince = now
	}
	if p.status != pc.Status && p.Job.Rec.Spec.Shape == record.Gang {
		for _, o := range p.Job.places {
			if !o.sent {
				b.owe(o) // it waited for this one's image
			}
		}
	}
	if pc.Status == worker.Running && !p.ranSince.IsZero() {
		b.lasts(p, now)
	}
	if pc.Status != worker.Pulling && p.status != pc.Status {
		s := &p.Job.Rec.Spec
		cache := math.Inf(1)
		if t := b.types[m.Type]; t != nil {
			cache = t.CacheGB
		}
		b.holdsNow(h, m, s.Image, s.ImageGB, cache)
		b.hinted(m)
	}
	p.status = pc.Status
}

// settle takes in how an attempt ended.
func (b *ClusterState) settle(p *Place, pc *worker.Piece, m *worker.Machine) {
	j, i := p.Job, p.Index
	k := taskAttempt{p.Task(), p.Attempt, m.Name}
	b.dropPlace(p)
	if j.ended {
		return
	}
	now := time.Now()
	switch pc.Cause {
	case worker.CauseDone:
		m.Faults = 0
		delete(j.tries, i)
		j.Rec.Finished.Add(i)
		delete(j.failed.on, m.Name)
		b.cleared(j)
		if j.Rec.Spec.Shape == record.Gang {
			// A gang completes as one.
			for n := range j.Rec.Spec.Tasks {
				j.Rec.Finished.Add(n)
			}
		}
	case worker.CauseStopped:
		if !pc.Saved && !j.cancelled() {
			cause := "stopped for others"
			if !m.TakenAt.IsZero() {
				cause = "spot"
			}
			b.redo(p, cause, now)
		}
		b.note(j, "task %d stopped on %s: %s%s", i, m.Name, p.reason(), savedText(pc.Saved))
	case worker.CausePeers:
		b.redo(p, "gang lost a task", now)
		b.note(j, "task %d ended on %s: another task of the gang was gone", i, m.Name)
	case worker.CauseIncomplete:
		b.note(j, "task %d ended on %s: the gang was not complete in time", i, m.Name)
	case worker.CauseError, worker.CauseNoSuch:
		b.failedTask(p, pc.Cause, m, now)
	case worker.CauseNoRoom, worker.CauseBusy:
		b.note(j, "task %d refused by %s: %s", i, m.Name, pc.Cause)
		r := b.tryOf(j, i)
		r.at = now.Add(time.Second)
		r.avoid[m.Name] = true
	}
	b.touch(j)
	j.settled[k] = j.version
	b.finishIfOver(j)
	j.settled[k] = j.version
}

func savedText(saved bool) string {
	if saved {
		return " (progress saved)"
	}
	return ""
}

func (p *Place) reason() string {
	if p.why == "" {
		return "not asked for"
	}
	return p.why
}

// stray deals with a reported piece that no place accounts for.
func (b *ClusterState) stray(j *Job, k taskAttempt, pc *worker.Piece, m *worker.Machine) []worker.Order {
	if pc.Status == worker.Ended {
		if j != nil && !j.ended {
			if v, ok := j.settled[k]; ok && j.saved < v {
				return nil // its outcome must be stored before it is cleared
			}
			if pc.Cause == worker.CauseDone && !j.Rec.Finished.Has(k.task.Index) && k.task.Index < j.Rec.Spec.Tasks &&
				j.places[k.task.Index] == nil && !j.cancelled() && j.mayKeep() {
				// A result is kept wherever it comes from.
				j.Rec.Finished.Add(k.task.Index)
				b.touch(j)
				j.settled[k] = j.version
				b.finishIfOver(j)
				j.settled[k] = j.version
				return nil
			}
			delete(j.settled, k)
		}
		if m.MayRevive(pc.Task, pc.Attempt) {
			return nil // cleared, a late start would begin it anew
		}
		return []worker.Order{worker.Clear(pc.Task, pc.Attempt)}
	}
	if j != nil && j.places[k.task.Index] == nil && k.task.Index < j.Rec.Spec.Tasks {
		// It is there, whoever started it: until it is gone it must not be
		// started elsewhere and counts against its team.
		p := &Place{Job: j, Index: k.task.Index, Machine: m.Name, Session: m.Session, Attempt: k.attempt, Token: b.gen,
			sent: true, seen: true, status: pc.Status, since: time.Now()}
		j.Rec.Attempt = max(j.Rec.Attempt, k.attempt)
		b.putPlace(p)
		if j.cancelled() || j.Rec.Finished.Has(k.task.Index) || j.Rec.Spec.Shape == record.Gang {
			b.stop(p, 0, "not expected there")
		} else {
			b.note(j, "task %d found on %s and kept", p.Index, m.Name)
		}
		if !j.ended {
			b.touch(j)
			p.version = j.version
		}
		return nil
	}
	slog.Info("stray task stopped", "task", pc.Task, "attempt", pc.Attempt, "machine", m.Name)
	return []worker.Order{worker.Stop(pc.Task, pc.Attempt, 0)}
}
