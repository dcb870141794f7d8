package placement

import (
	"testing"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

var (
	small = &InstanceType{Label: "small", Cores: 4, RAM: 16, PullGBPerS: 0.25, Price: 1, SpotPrice: 0.4, Zones: []string{"n", "s"}, BootS: 30}
	big   = &InstanceType{Label: "big", Cores: 64, Accels: 8, RAM: 256, PullGBPerS: 0.25, Price: 24, SpotPrice: 10, Zones: []string{"n"}, BootS: 30}
)

// bestCandidate returns the name of the candidate with the lowest score among those that the request allows
// and that have room for it.
func bestCandidate(candidates []Candidate, request Request) ids.Machine {
	var best ids.Machine
	bestScore := 0.0
	for i := range candidates {
		candidate := &candidates[i]
		if !request.Allows(candidate.Type.Label, candidate.Zone, candidate.Spot) || !candidate.Free.Holds(request.Resources) {
			continue
		}
		if score := Score(candidate, &request); best == "" || score < bestScore {
			best, bestScore = candidate.Name, score
		}
	}
	return best
}

func TestBestFitKeepsAcceleratorsAndOnDemandInstancesFree(t *testing.T) {
	candidates := []Candidate{
		{Name: "accelerated", Type: big, Zone: "n", Free: big.Capacity()},
		{Name: "on-demand", Type: small, Zone: "n", Free: small.Capacity()},
		{Name: "spot", Type: small, Zone: "n", Spot: true, Free: small.Capacity()},
	}
	if got := bestCandidate(candidates, Request{Resources: Resources{Cores: 4, RAM: 4}, AllowSpot: true}); got != "spot" {
		t.Errorf("a task that accepts spot instances was placed on %s", got)
	}
	if got := bestCandidate(candidates, Request{Resources: Resources{Cores: 4, RAM: 4}}); got != "on-demand" {
		t.Errorf("a task that does not accept spot instances was placed on %s", got)
	}
	if got := bestCandidate(candidates, Request{Resources: Resources{Cores: 4, Accels: 1, RAM: 4}, AllowSpot: true}); got != "accelerated" {
		t.Errorf("a task that needs an accelerator was placed on %s", got)
	}
}

func TestScoreAddsUpTheDrawbacksOfACandidate(t *testing.T) {
	request := Request{Resources: small.Capacity(), Image: "img", ImageGB: 2} // fills the instance; a pull without concurrent pulls takes 8 s
	onBig := Request{Resources: Resources{Cores: 64, RAM: 256}, ImageGB: 2}
	longOnBig := onBig
	longOnBig.LongRunning = true
	spotAllowed := request
	spotAllowed.AllowSpot = true
	cached := func(change func(*Candidate)) Candidate {
		machine := Candidate{Type: small, Free: small.Capacity(), ImageExpected: true, ImageCached: true}
		change(&machine)
		return machine
	}
	for _, c := range []struct {
		name    string
		machine Candidate
		request Request
		want    float64
	}{
		{"image cached and nothing left over", cached(func(*Candidate) {}), request, 0},
		{"image being pulled", cached(func(m *Candidate) { m.ImageCached = false }), request, 4},
		{"image not there", cached(func(m *Candidate) { m.ImageCached, m.ImageExpected = false, false }), request, 8},
		{"other pulls share the rate", cached(func(m *Candidate) { m.ImageCached, m.ImageExpected, m.OtherPulls = false, false, 2 }), request, 24},
		{"would slow a pull of higher priority", cached(func(m *Candidate) { m.ImageCached, m.ImageExpected, m.PullsForHigherPriority = false, false, true }), request, 38},
		{"twice the capacity left over", cached(func(m *Candidate) { m.Free = m.Free.Times(2) }), request, 4},
		{"on demand though spot is allowed", cached(func(*Candidate) {}), spotAllowed, 2},
		{"spot and spot is allowed", cached(func(m *Candidate) { m.Spot = true }), spotAllowed, 0},
		{"failed the task before", cached(func(m *Candidate) { m.FailedBefore = true }), request, 1000},
		{"accelerators not used", cached(func(m *Candidate) { m.Type, m.Free = big, big.Capacity() }), onBig, 3},
		{"accelerators not used by a service", cached(func(m *Candidate) { m.Type, m.Free = big, big.Capacity() }), longOnBig, 63},
	} {
		if got := Score(&c.machine, &c.request); got != c.want {
			t.Errorf("%s: score %v, want %v", c.name, got, c.want)
		}
	}
}

func TestTasksAreCountedByTheirScarcestResource(t *testing.T) {
	for _, c := range []struct {
		name              string
		capacity, request Resources
		limit, want       int
	}{
		{"cores", Resources{Cores: 4, RAM: 16}, Resources{Cores: 1.5, RAM: 1}, 10, 2},
		{"memory", Resources{Cores: 4, RAM: 16}, Resources{Cores: 1, RAM: 6}, 10, 2},
		{"accelerators", Resources{Cores: 4, Accels: 1, RAM: 16}, Resources{Cores: 1, Accels: 1}, 10, 1},
		{"the limit", Resources{Cores: 4, RAM: 16}, Resources{Cores: 1}, 3, 3},
		{"nothing requested", Resources{}, Resources{}, 3, 3},
		{"overcommitted", Resources{Cores: -1}, Resources{Cores: 1}, 3, 0},
		{"rounding", Resources{Cores: 0.3}, Resources{Cores: 0.1}, 10, 3},
	} {
		if got := c.capacity.CountFitting(c.request, c.limit); got != c.want {
			t.Errorf("%s: %d tasks fit, want %d", c.name, got, c.want)
		}
		if fits := c.capacity.Holds(c.request); fits != (c.want > 0) {
			t.Errorf("%s: Holds returned %v, which contradicts CountFitting", c.name, fits)
		}
	}
}
