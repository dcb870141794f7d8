package fleet

import "time"

// offer is what the cloud may refuse: machines of a type in a zone, spot or ordinary ones.
type offer struct {
	instanceType, zone string
	spot               bool
}

const (
	// refusalPeriod is how long an offer is left alone after the cloud had too few of it.
	refusalPeriod = 15 * time.Second
	// malformedPeriod is the same after the cloud called a request malformed.
	malformedPeriod = time.Minute
)

// noteRefused has an offer left alone for a period.
func (p *Provisioner) noteRefused(refused offer, period time.Duration) {
	if p.refusedUntil == nil {
		p.refusedUntil = map[offer]time.Time{}
	}
	p.refusedUntil[refused] = time.Now().Add(period)
}

func (p *Provisioner) isRefused(wanted offer, now time.Time) bool {
	return p.refusedUntil[wanted].After(now)
}

func (p *Provisioner) anyRefused(now time.Time) bool {
	for _, until := range p.refusedUntil {
		if until.After(now) {
			return true
		}
	}
	return false
}
