package claim

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// A failed task tells either of its machine or of its job: one submitted with a
// mistake fails wherever it runs, until its user cancels it. It may take neither
// machines nor room nor anybody's turn, and no machine is to be blamed for it. A
// good job that meets a bad machine or two must still run soon.

// failures is what is known of a job's failed tasks since one last completed.
type failures struct {
	on     map[ids.Machine]int // how many failed there
	tasks  int
	rounds int       // tries of the whole job since it counts as failing
	at     time.Time // no try before, once it counts as failing
	ran    time.Duration
}

// Failures on so many machines with nothing completed make a job suspect, and then
// failing.
const (
	suspectAfter = 2
	failingAfter = 3
)

// suspect tells that the job rather than a machine may be at fault: nothing is
// stopped for it.
func (j *Job) suspect() bool {
	return j.Rec.Finished.Len() == 0 && max(len(j.failed.on), j.Rec.FailedOn) >= suspectAfter
}

// failing tells that the job fails wherever it runs: one task at a time is tried
// (of a gang, all), after a wait of the whole job's, and no machine is rented for it.
func (j *Job) failing() bool {
	return j.Rec.Finished.Len() == 0 && max(len(j.failed.on), j.Rec.FailedOn) >= failingAfter
}

// rests tells that a failing job is not to be tried now.
func (j *Job) rests(now time.Time) bool {
	return j.failing() && (now.Before(j.failed.at) || j.Rec.Spec.Shape != record.Gang && len(j.places) > 0)
}

// whyRests tells its user and operators so.
func (j *Job) whyRests() string {
	return fmt.Sprintf("its tasks fail wherever they run (%d failures on %d machines, none completed); tried again now and then, until it is cancelled",
		j.failed.tasks, max(len(j.failed.on), j.Rec.FailedOn))
}

// failedTask takes in that a task failed on a machine.
func (b *ClusterState) failedTask(p *Place, cause string, m *worker.Machine, now time.Time) {
	j, f := p.Job, &p.Job.failed
	if f.on == nil {
		f.on = map[ids.Machine]int{}
	}
	f.on[m.Name]++
	f.tasks++
	if !p.ranSince.IsZero() {
		f.ran = max(f.ran, now.Sub(p.ranSince))
	}
	r := b.backoff(j, p.Index, now)
	r.avoid[m.Name] = true
	b.note(j, "task %d failed on %s (%s); tried again elsewhere after %.0fs", p.Index, m.Name, cause, r.at.Sub(now).Seconds())
	if j.Rec.Finished.Len() > 0 {
		b.cleared(j)
		return
	}
	j.Rec.FailedOn = max(j.Rec.FailedOn, len(f.on))
	// Of a whole round's failures the first one counts.
	if j.failing() && !now.Before(f.at) {
		f.rounds++
		f.at = now.Add(b.waitAfter(f.rounds))
		b.note(j, "%s; next after %.0fs", j.whyRests(), f.at.Sub(now).Seconds())
	}
}

// cleared takes in that the job is good: one of its tasks completed, or runs for far
// longer than those that failed. Only now its failures tell of the machines. To
// blame one for jobs that may all be at fault themselves would cost good machines.
func (b *ClusterState) cleared(j *Job) {
	on := j.failed.on
	j.failed, j.Rec.FailedOn = failures{}, 0
	for name, n := range on {
		m := b.roster.Machines[name]
		if m == nil {
			continue
		}
		if m.Faults += n; m.Faults >= int(b.set.Own.FaultyAfter) && m.Draining == "" {
			m.Draining = "tasks keep failing there"
			b.leaving[m.Name] = true
			slog.Warn("machine drained", "machine", m.Name, "why", m.Draining)
		}
	}
}

// lasts takes in that a task of a job with failures goes on running.
func (b *ClusterState) lasts(p *Place, now time.Time) {
	if f := &p.Job.failed; (f.tasks > 0 || p.Job.Rec.FailedOn > 0) && now.Sub(p.ranSince) > 30*time.Second+2*f.ran {
		b.cleared(p.Job)
	}
}

// failureLines explains a job's failures.
func (j *Job) failureLines(now time.Time) (out []string) {
	if j.failing() {
		out = append(out, j.whyRests())
		if d := j.failed.at.Sub(now); d > 0 {
			out = append(out, fmt.Sprintf("next try in %.1fs", d.Seconds()))
		}
	} else if j.failed.tasks > 0 {
		out = append(out, fmt.Sprintf("%d of its tasks failed, on %d machines", j.failed.tasks, len(j.failed.on)))
	}
	return out
}

// backingOff counts the tasks that wait after a failure and need no room yet.
func (j *Job) backingOff(now time.Time) int {
	n := 0
	for i, r := range j.tries {
		if r.at.After(now) && j.places[i] == nil {
			n++
		}
	}
	return n
}
