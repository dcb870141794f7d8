package claim

import (
	"fmt"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// boots remembers how long machines of one type lately took to be heard. A type's
// nominal time says little on a bad night: if all boots take many times as long,
// giving machines up by it would rent for ever and never have one.
type boots struct {
	took   []time.Duration // the last few, newest last
	newest time.Time       // when the last rented of those heard was rented
}

// bootsKept is how many boots are looked back on.
const bootsKept = 8

func (bt *boots) add(d time.Duration) {
	if bt.took = append(bt.took, d); len(bt.took) > bootsKept {
		bt.took = bt.took[1:]
	}
}

// usual is what three quarters of the last boots stayed below.
func (bt *boots) usual() time.Duration {
	if bt == nil || len(bt.took) == 0 {
		return 0
	}
	v := slices.Sorted(slices.Values(bt.took))
	return v[(len(v)-1)*3/4]
}

// bootTime is how long a boot of the type takes now, its nominal time at least.
func (b *ClusterState) bootTime(t *placement.Type) time.Duration {
	return max(t.BootS.Duration(), b.boots[t.Label].usual())
}

// booted notes that a machine was heard for the first time since it was rented.
func (b *ClusterState) booted(m *worker.Machine, now time.Time) {
	bt := b.boots[m.Type]
	if bt == nil {
		bt = &boots{}
		b.boots[m.Type] = bt
	}
	bt.add(now.Sub(m.HeldSince))
	bt.newest = worker.Later(bt.newest, m.HeldSince)
}

// late tells whether a rented machine takes so long that another is rented in
// its place, and hopeless that it is not waited for in any case.
func (b *ClusterState) late(m *worker.Machine, now time.Time) (late, hopeless bool) {
	t := b.types[m.Type]
	if m.Heard || !m.Booting || t == nil {
		return false, false
	}
	due := time.Duration(b.set.Own.StuckBootFactor * float64(b.bootTime(t)))
	age := now.Sub(m.HeldSince)
	return age > due, age > 4*due
}

// latelyLate tells that a machine is late only since a moment ago: what is rented in
// its place is not on its way yet.
func (b *ClusterState) latelyLate(m *worker.Machine, now time.Time) bool {
	was, _ := b.late(m, now.Add(-10*time.Second))
	return !was
}

// overtaken tells whether a machine of its type that was rented with it or after it
// is up.
func (b *ClusterState) overtaken(m *worker.Machine) bool {
	bt := b.boots[m.Type]
	return bt != nil && bt.newest.After(m.HeldSince.Add(-2*time.Second))
}

// latecomers are the machines that others are rented in place of: those overtaken
// by others, and of the rest those longest on their way until they cost a small
// share of the fleet's price, one of a type at the least. What is left counts as
// coming: while all boots are slow, more would only be as slow. So a need is
// rented for twice at most, however many boots go wrong, until the first are given up.
func (b *ClusterState) latecomers(now time.Time) map[ids.Machine]bool {
	var late []*worker.Machine
	fleet := 0.0
	for _, m := range b.roster.Machines {
		if t := b.types[m.Type]; t != nil && !m.Failed && !m.Deleting {
			fleet += t.PriceOf(m.Spot)
		}
		if l, _ := b.late(m, now); l && !m.Deleting {
			late = append(late, m)
		}
	}
	if len(late) == 0 {
		return nil
	}
	slices.SortFunc(late, func(x, y *worker.Machine) int {
		if c := x.HeldSince.Compare(y.HeldSince); c != 0 {
			return c
		}
		return cmpString(string(x.Name), string(y.Name))
	})
	out, of, cost := map[ids.Machine]bool{}, map[string]int{}, 0.0
	for _, m := range late {
		if b.overtaken(m) {
			out[m.Name] = true
			continue
		}
		p := b.types[m.Type].PriceOf(m.Spot)
		if of[m.Type] > 0 && cost+p > b.set.Own.BurstCostShare*fleet {
			continue
		}
		out[m.Name], cost = true, cost+p
		of[m.Type]++
	}
	return out
}

// coming counts, by type, the machines on their way that cover a need, and all that
// are late.
func (b *ClusterState) coming(now time.Time) (on, late map[string]int) {
	on, late = map[string]int{}, map[string]int{}
	replaced := b.latecomers(now)
	for _, m := range b.roster.Machines {
		if m.Heard || !m.Booting || m.Deleting || m.Failed {
			continue
		}
		if l, _ := b.late(m, now); l {
			late[m.Type]++
		}
		if !replaced[m.Name] {
			on[m.Type]++
		}
	}
	return on, late
}

// whyNotAwaited tells why a rented machine that is not heard yet is given up; empty
// while it is waited for. One that is late is waited for as long as it is needed or
// what was rented in its place is itself on its way: whichever is up first is used.
func (b *ClusterState) whyNotAwaited(m *worker.Machine, needed bool, on map[string]int, now time.Time) string {
	switch late, hopeless := b.late(m, now); {
	case hopeless:
		return "it does not come up"
	case late && !needed && on[m.Type] == 0 && !b.latelyLate(m, now):
		return "it is late, and no longer needed"
	}
	return ""
}

// onTheWay tells of the machines on their way that a waiting job could use.
func (b *ClusterState) onTheWay(j *Job, now time.Time) []string {
	ask := j.Rec.Spec.Ask()
	n, lates, longest := 0, 0, time.Duration(0)
	for _, m := range b.roster.Machines {
		t := b.types[m.Type]
		if m.Heard || !m.Booting || m.Deleting || m.Failed || t == nil || !t.Room().Holds(ask.Need) || !ask.Allows(m.Type, m.Zone, m.Spot) {
			continue
		}
		n++
		if l, _ := b.late(m, now); l {
			lates++
			longest = max(longest, now.Sub(m.HeldSince))
		}
	}
	switch {
	case n == 0:
		return nil
	case lates == 0:
		return []string{fmt.Sprintf("%d machines it could use are booting", n)}
	}
	return []string{fmt.Sprintf("%d machines it could use are booting, %d of them late, the longest for %.0fs", n, lates, longest.Seconds())}
}
