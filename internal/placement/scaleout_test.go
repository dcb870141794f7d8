package placement

import "testing"

// allOffered and noneOffered are clouds that have, or refuse, every instance.
func allOffered(string, string, bool) bool  { return true }
func noneOffered(string, string, bool) bool { return false }

func TestScaleOutProvisionsUnmetDemandAtTheLowestPrice(t *testing.T) {
	request := Ask{Need: Room{Cores: 2, RAM: 4}, Spot: true}
	running := []Up{{Name: "m", Type: small, Zone: "n", Free: Room{Cores: 2, RAM: 8}}}
	requests, needed := Rent([]Demand{{Ask: request, Count: 5}}, running, []*Type{small, big}, allOffered)
	instances := 0
	for _, r := range requests {
		if r.Type != "small" || !r.Spot {
			t.Fatalf("requests %+v", r)
		}
		instances += r.Count
	}
	if instances != 2 || !needed["m"] {
		t.Fatalf("requests %d, needed %v", instances, needed)
	}
}

func TestRefusedSpotInstancesAreReplacedAndPendingOnesCount(t *testing.T) {
	request := Ask{Need: Room{Cores: 2, RAM: 4}, Spot: true}
	pending := []Up{{Name: "c", Type: small, Zone: "s", Coming: true, Free: small.Room()}}
	onDemandOnly := func(_, _ string, spot bool) bool { return !spot }
	requests, _ := Rent([]Demand{{Ask: request, Count: 4}}, pending, []*Type{small}, onDemandOnly)
	if len(requests) != 1 || requests[0].Spot || requests[0].Count != 1 {
		t.Fatalf("requests %+v", requests)
	}
}

func TestHeadroomKeepsOneIdleInstanceAndNoSecond(t *testing.T) {
	idle := []Up{
		{Name: "x", Type: small, Zone: "n", Free: small.Room(), Idle: true},
		{Name: "y", Type: small, Zone: "n", Free: small.Room(), Idle: true},
	}
	headroom := Demand{Ask: Ask{Need: Room{Cores: 1, RAM: 1}}, Count: 1, Keep: true}
	requests, needed := Rent([]Demand{headroom}, idle, []*Type{small}, allOffered)
	if len(requests) != 0 || len(needed) != 1 {
		t.Fatalf("requests %+v, needed %v", requests, needed)
	}
}

func TestAcceleratedInstancesAreNeededOnlyByTasksThatNeedThem(t *testing.T) {
	plain := Demand{Ask: Ask{Need: Room{Cores: 1, RAM: 1}}, Count: 8, TurnShare: 1}
	accelerated := func() []Up { return []Up{{Name: "g", Type: big, Zone: "n", Free: big.Room()}} }
	types := []*Type{small, big}
	requests, needed := Rent([]Demand{plain}, accelerated(), types, allOffered)
	if needed["g"] || len(requests) == 0 || requests[0].Type != "small" {
		t.Fatalf("plain tasks: requests %+v, needed %v", requests, needed)
	}
	// While no instance without accelerators is to be had, one that is there stays, if it has
	// much to do.
	if _, needed = Rent([]Demand{plain}, accelerated(), types, noneOffered); needed["g"] {
		t.Fatal("64 cores kept for 8 tasks of one")
	}
	plain.Count = 40
	if _, needed = Rent([]Demand{plain}, accelerated(), types, noneOffered); !needed["g"] {
		t.Fatal("terminated although plain tasks are queued and nothing else is to be had")
	}
	noScaleOut := Demand{Ask: Ask{Need: Room{Accels: 8}}, Count: 2, Keep: true, Hold: true}
	if requests, needed = Rent([]Demand{noScaleOut}, accelerated(), types, allOffered); len(requests) != 0 || !needed["g"] {
		t.Fatalf("no reason to scale out: requests %+v, needed %v", requests, needed)
	}
}

func TestAGangWaitsForAnAcceleratedInstanceThatIsFreeInTime(t *testing.T) {
	gang := Demand{Ask: Ask{Need: Room{Accels: 8}}, Count: 1, Preempt: true, TurnShare: 1}
	busy := []Up{{Name: "g", Type: big, Zone: "n", Turn: big.Room()}}
	if requests, _ := Rent([]Demand{gang}, busy, []*Type{small, big}, allOffered); len(requests) != 0 {
		t.Fatalf("requests %+v although an instance is free in time", requests)
	}
}

func TestCapacityInTwoZonesDoesNotAddUpForADemandInOneZone(t *testing.T) {
	// Guards against a gang that waits for ever beside one free instance in each of two zones.
	inBothZones := &Type{Label: "big", Cores: 64, Accels: 8, RAM: 256, PullGBPerS: 0.25, Price: 24, SpotPrice: 10, Zones: []string{"n", "s"}, BootS: 30}
	types := []*Type{inBothZones}
	gang := Demand{Ask: Ask{Need: Room{Accels: 8}}, Count: 2, Together: true, TurnShare: 1}
	oneInEach := func() []Up {
		return []Up{
			{Name: "a", Type: inBothZones, Zone: "n", Free: inBothZones.Room()},
			{Name: "b", Type: inBothZones, Zone: "s", Free: inBothZones.Room()},
		}
	}
	requests, _ := Rent([]Demand{gang}, oneInEach(), types, allOffered)
	if len(requests) != 1 || requests[0].Count != 1 {
		t.Fatalf("requests %+v", requests)
	}
	// Where none is to be had, the other zone is taken.
	requests, _ = Rent([]Demand{gang}, oneInEach(), types, func(_, zone string, _ bool) bool { return zone == "s" })
	if len(requests) != 1 || requests[0].Zone != "s" {
		t.Fatalf("requests %+v", requests)
	}
	twoInOne := append(oneInEach(), Up{Name: "c", Type: inBothZones, Zone: "s", Free: inBothZones.Room()})
	if requests, needed := Rent([]Demand{gang}, twoInOne, types, allOffered); len(requests) != 0 || !needed["b"] || !needed["c"] {
		t.Fatalf("requests %+v, needed %v", requests, needed)
	}
}
