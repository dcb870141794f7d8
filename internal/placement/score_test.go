package placement

import (
	"testing"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

var (
	small = &Type{Label: "small", Cores: 4, RAM: 16, PullGBPerS: 0.25, Price: 1, SpotPrice: 0.4, Zones: []string{"n", "s"}, BootS: 30}
	big   = &Type{Label: "big", Cores: 64, Accels: 8, RAM: 256, PullGBPerS: 0.25, Price: 24, SpotPrice: 10, Zones: []string{"n"}, BootS: 30}
)

// bestOf is the name of the candidate with the lowest score among those that the task fits.
func bestOf(candidates []Machine, request Ask) ids.Machine {
	var best ids.Machine
	bestScore := 0.0
	for i := range candidates {
		candidate := &candidates[i]
		if !request.Allows(candidate.Type.Label, candidate.Zone, candidate.Spot) || !candidate.Free.Holds(request.Need) {
			continue
		}
		if score := Score(candidate, &request); best == "" || score < bestScore {
			best, bestScore = candidate.Name, score
		}
	}
	return best
}

func TestBestFitKeepsAcceleratorsAndOnDemandInstancesFree(t *testing.T) {
	candidates := []Machine{
		{Name: "accelerated", Type: big, Zone: "n", Free: big.Room()},
		{Name: "on-demand", Type: small, Zone: "n", Free: small.Room()},
		{Name: "spot", Type: small, Zone: "n", Spot: true, Free: small.Room()},
	}
	if at := bestOf(candidates, Ask{Need: Room{Cores: 4, RAM: 4}, Spot: true}); at != "spot" {
		t.Errorf("a task that accepts spot instances went to %s", at)
	}
	if at := bestOf(candidates, Ask{Need: Room{Cores: 4, RAM: 4}}); at != "on-demand" {
		t.Errorf("a task that accepts no spot instances went to %s", at)
	}
	if at := bestOf(candidates, Ask{Need: Room{Cores: 4, Accels: 1, RAM: 4}, Spot: true}); at != "accelerated" {
		t.Errorf("a task with an accelerator went to %s", at)
	}
}

func TestScoreAddsUpTheDrawbacksOfACandidate(t *testing.T) {
	request := Ask{Need: small.Room(), Image: "img", ImageGB: 2} // fills the instance; a pull alone takes 8 s
	onBig := Ask{Need: Room{Cores: 64, RAM: 256}, ImageGB: 2}
	longOnBig := onBig
	longOnBig.Long = true
	spotAllowed := request
	spotAllowed.Spot = true
	cached := func(change func(*Machine)) Machine {
		machine := Machine{Type: small, Free: small.Room(), Warm: true, Holds: true}
		change(&machine)
		return machine
	}
	for _, c := range []struct {
		name    string
		machine Machine
		request Ask
		want    float64
	}{
		{"image cached and nothing left over", cached(func(*Machine) {}), request, 0},
		{"image being pulled", cached(func(m *Machine) { m.Holds = false }), request, 4},
		{"image not there", cached(func(m *Machine) { m.Holds, m.Warm = false, false }), request, 8},
		{"other pulls share the rate", cached(func(m *Machine) { m.Holds, m.Warm, m.Pulls = false, false, 2 }), request, 24},
		{"would slow a pull of higher priority", cached(func(m *Machine) { m.Holds, m.Warm, m.Hush = false, false, true }), request, 38},
		{"twice the capacity left over", cached(func(m *Machine) { m.Free = m.Free.Times(2) }), request, 4},
		{"on demand though spot is allowed", cached(func(*Machine) {}), spotAllowed, 2},
		{"spot and spot is allowed", cached(func(m *Machine) { m.Spot = true }), spotAllowed, 0},
		{"failed the task before", cached(func(m *Machine) { m.Avoid = true }), request, 1000},
		{"accelerators not used", cached(func(m *Machine) { m.Type, m.Free = big, big.Room() }), onBig, 3},
		{"accelerators not used by a service", cached(func(m *Machine) { m.Type, m.Free = big, big.Room() }), longOnBig, 63},
	} {
		if got := Score(&c.machine, &c.request); got != c.want {
			t.Errorf("%s: score %v, not %v", c.name, got, c.want)
		}
	}
}

func TestTasksAreCountedByTheirScarcestResource(t *testing.T) {
	for _, c := range []struct {
		name              string
		capacity, request Room
		limit, want       int
	}{
		{"cores", Room{Cores: 4, RAM: 16}, Room{Cores: 1.5, RAM: 1}, 10, 2},
		{"memory", Room{Cores: 4, RAM: 16}, Room{Cores: 1, RAM: 6}, 10, 2},
		{"accelerators", Room{Cores: 4, Accels: 1, RAM: 16}, Room{Cores: 1, Accels: 1}, 10, 1},
		{"the limit", Room{Cores: 4, RAM: 16}, Room{Cores: 1}, 3, 3},
		{"nothing requested", Room{}, Room{}, 3, 3},
		{"overcommitted", Room{Cores: -1}, Room{Cores: 1}, 3, 0},
		{"rounding", Room{Cores: 0.3}, Room{Cores: 0.1}, 10, 3},
	} {
		if got := c.capacity.Count(c.request, c.limit); got != c.want {
			t.Errorf("%s: %d tasks, not %d", c.name, got, c.want)
		}
		if fits := c.capacity.Holds(c.request); fits != (c.want > 0) {
			t.Errorf("%s: one fits: %v", c.name, fits)
		}
	}
}
