package claim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// What operators ask first when a zone goes dark is what moved, what did not,
// and what the rest waits for. The trail is bounded and many tasks are lost at
// once, so that like events share a line.

// losses remembers, for the trail, tasks of a job that were lost and wait for a
// new place.
type losses struct {
	in   map[int]string // task -> zone it was lost in
	why  string         // of the last line about it
	zone string
	n    int
	text string
}

// noteGone tells in the trail that a task is proven not to be on its machine.
func (b *ClusterState) noteGone(p *Place, why string) {
	j, zone := p.Job, "an unknown zone"
	if m := b.roster.Machines[p.Machine]; m != nil && m.Zone != "" {
		zone = m.Zone
	}
	l := &j.lost
	if l.in == nil {
		l.in = map[int]string{}
	}
	l.in[p.Index] = zone
	if n := len(j.Rec.Trail); n > 0 && l.n > 0 && j.Rec.Trail[n-1].What == l.text && l.why == why && l.zone == zone {
		l.n++
		l.text = fmt.Sprintf("%d tasks gone in %s, task %d on %s the last: %s", l.n, zone, p.Index, p.Machine, why)
		j.Rec.Trail = j.Rec.Trail[:n-1]
	} else {
		l.why, l.zone, l.n = why, zone, 1
		l.text = fmt.Sprintf("task %d gone on %s in %s: %s", p.Index, p.Machine, zone, why)
	}
	b.note(j, "%s", l.text)
}

// noteMoved tells in the trail where tasks lost before were placed anew.
func (b *ClusterState) noteMoved(j *Job, placed []*Place) {
	to, from := map[string]int{}, map[string]int{}
	for _, p := range placed {
		if z, ok := j.lost.in[p.Index]; ok {
			delete(j.lost.in, p.Index)
			from[z]++
			if m := b.roster.Machines[p.Machine]; m != nil {
				to[m.Zone]++
			}
		}
	}
	if len(from) > 0 {
		b.note(j, "tasks lost in %s start again: %s", byZone(from), byZone(to))
	}
}

func byZone(n map[string]int) string {
	var out []string
	for z, k := range n {
		out = append(out, fmt.Sprintf("%s (%d)", z, k))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

// standing tells where a job's tasks are, by zone, and what those in a dark one
// wait for.
func (b *ClusterState) standing(j *Job, now time.Time) (out []string) {
	at, dark := map[string]int{}, map[string]int{}
	var latest time.Time
	for _, p := range j.places {
		m := b.roster.Machines[p.Machine]
		switch {
		case m == nil || m.Zone == "":
			at["an unknown zone"]++
		case b.dark[m.Zone] && (!m.Heard || m.Doubtful()):
			dark[m.Zone]++
			latest = worker.Later(latest, m.LapseAt)
		default:
			at[m.Zone]++
		}
	}
	if len(at) > 0 {
		out = append(out, "on machines in "+byZone(at))
	}
	if len(dark) > 0 {
		out = append(out, fmt.Sprintf("nothing is heard of %s: its tasks there may go on, and start elsewhere once their workers' leases have surely lapsed, in %.0fs at the latest, or the cloud has taken the machines back",
			byZone(dark), max(0, latest.Sub(now).Seconds())))
	}
	from := map[string]int{}
	for i, z := range j.lost.in {
		if !j.Rec.Finished.Has(i) {
			from[z]++
		}
	}
	if len(from) > 0 {
		out = append(out, fmt.Sprintf("lost in %s and not started again yet", byZone(from)))
	}
	return out
}
