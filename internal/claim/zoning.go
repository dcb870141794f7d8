package claim

import "github.com/pebbletrail/pebbletrail/internal/record"

// zoning counts a job's tasks by zone, for the rules on where one more may go.
type zoning struct {
	s       *record.Spec
	count   map[string]int
	unknown int
}

// zones is nil when the job sets no rule on zones.
func (b *ClusterState) zones(j *Job) *zoning {
	s := &j.Rec.Spec
	if !s.OneZone && !s.Spread {
		return nil
	}
	z := &zoning{s: s, count: map[string]int{}}
	for _, p := range j.places {
		if m := b.roster.Machines[p.Machine]; m != nil && m.Zone != "" {
			z.count[m.Zone]++
		} else {
			z.unknown++
		}
	}
	return z
}

// may is how many more tasks, at most n, may go to a zone.
func (z *zoning) may(zone string, n int) int {
	if z == nil {
		return n
	}
	if z.s.OneZone && (z.unknown > 0 || len(z.count) > 1 || len(z.count) == 1 && z.count[zone] == 0) {
		return 0
	}
	if z.s.Spread {
		n = min(n, (z.s.Tasks+1)/2-z.unknown-z.count[zone])
	}
	return max(n, 0)
}

func (z *zoning) add(zone string) {
	if z != nil {
		z.count[zone]++
	}
}
