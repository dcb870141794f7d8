package claim

import (
	"fmt"
	"maps"
	"sort"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Explain tells a job's trail and why its tasks wait, as the leader sees it.
func (b *ClusterState) Explain(id ids.Job) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	j := b.jobs[id]
	if j == nil {
		return nil
	}
	var out []string
	now := time.Now()
	if j.waiting != "" {
		out = append(out, "waits: "+j.waiting)
		if j.pending() > 0 && !j.failing() {
			out = append(out, b.onTheWay(j, now)...)
		}
	}
	out = append(out, j.failureLines(now)...)
	out = append(out, b.standing(j, now)...)
	for _, i := range sortedTasks(j.places) {
		p := j.places[i]
		st := p.status
		switch {
		case p.stopping && !p.seen:
			st = "uncertain, to be stopped: " + p.why
		case p.stopping:
			st += ", stopping: " + p.why
		case p.evicted:
			st += ", to be moved by a rollout"
		case !p.sent:
			st = "marked"
		case !p.seen:
			st = "start not confirmed"
		}
		zone, heard := "?", "not heard by this leader"
		if m := b.roster.Machines[p.Machine]; m != nil && m.Heard {
			zone, heard = m.Zone, fmt.Sprintf("heard %.1fs ago", m.Silent(now).Seconds())
		}
		out = append(out, fmt.Sprintf("task %d attempt %d on %s (%s, %s): %s", i, p.Attempt, p.Machine, zone, heard, st))
		if len(out) > 200 {
			return append(out, "…")
		}
	}
	tries := make([]int, 0, len(j.tries))
	for i := range j.tries {
		tries = append(tries, i)
	}
	sort.Ints(tries)
	for _, i := range tries {
		if r := j.tries[i]; r.at.After(now) {
			out = append(out, fmt.Sprintf("task %d failed %d times, tried again in %.1fs", i, r.fails, r.at.Sub(now).Seconds()))
		}
	}
	return out
}

// Summary counts what the leader has, for operators.
func (b *ClusterState) Summary() map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	heard, draining, cordoned := 0, 0, 0
	for _, m := range b.roster.Machines {
		if m.Heard {
			heard++
		}
		if m.Cordoned {
			cordoned++
		}
		if m.Draining != "" || !m.TakenAt.IsZero() {
			draining++
		}
	}
	waiting := map[string]int{}
	places := 0
	for _, j := range b.jobs {
		places += len(j.places)
		if j.waiting != "" {
			waiting[j.waiting]++
		}
	}
	return map[string]any{"generation": b.gen, "jobs": len(b.jobs), "placed": places, "machines": len(b.roster.Machines),
		"heard": heard, "draining": draining, "cordoned": cordoned, "waiting": waiting,
		"spent": map[string]any{"boot": cents(b.costs.boot), "idle": cents(b.costs.idle), "free": cents(b.costs.free), "fetch": cents(b.costs.fetch),
			"wait": cents(b.costs.wait), "run": cents(b.costs.run), "againCoreSeconds": maps.Clone(b.costs.again)}}
}
