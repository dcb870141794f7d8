package fleet

import "time"

// offer identifies the machines whose provisioning the cloud accepts or refuses together: those of one
// type in one zone, either spot or ordinary.
type offer struct {
	instanceType, zone string
	spot               bool
}

const (
	// refusalPeriod is the time for which an offer is not requested after the cloud had too few machines
	// of it.
	refusalPeriod = 15 * time.Second
	// malformedPeriod is the time for which an offer is not requested after the cloud rejected a request for
	// it as malformed.
	malformedPeriod = time.Minute
)

// markRefused excludes an offer from requests for a period.
func (p *Provisioner) markRefused(refused offer, period time.Duration) {
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
