package claim

import "time"

// cutOff tells whether this node has lost most machines while others reach
// them.
func (b *ClusterState) cutOff(stranded []Strand, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// Reports may be far apart, and after a takeover all come at once: only one that
	// is overdue tells anything. To go by less made leaders give way wrongly.
	overdue := b.set.Params.Workers.ReportS.Duration() * 5 / 4
	silent, heard := 0, 0
	for _, m := range b.roster.Machines {
		if m.Heard && m.Silent(now) < overdue {
			heard++
		}
	}
	for _, s := range stranded {
		if m := b.roster.Machines[s.Machine]; m != nil && m.Silent(now) >= overdue && m.Silent(now) > s.Ago+toldWithin {
			silent++
		}
	}
	return silent >= 2 && silent > heard
}

// toldWithin bounds how late a peer's word arrives: a worker sent on is often here
// within a millisecond, and must not count as missing because the word took longer.
const toldWithin = time.Second

// deaf tells whether next to no machine is heard or answers.
func (b *ClusterState) deaf(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	si := b.count()
	return si.storing && si.silent >= 2 && 4*si.silent >= 3*si.all && si.seen.after(now.Add(-2*time.Second)) == 0
}
