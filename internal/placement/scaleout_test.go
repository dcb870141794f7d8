package placement

import "testing"

// allOffered and noneOffered are the OfferFilters of clouds that provide or refuse all instances.
func allOffered(string, string, bool) bool  { return true }
func noneOffered(string, string, bool) bool { return false }

func TestScaleOutProvisionsUnmetDemandAtTheLowestPrice(t *testing.T) {
	request := Request{Resources: Resources{Cores: 2, RAM: 4}, AllowSpot: true}
	running := []Instance{{Name: "m", Type: small, Zone: "n", Free: Resources{Cores: 2, RAM: 8}}}
	requests, needed := PlanScaleOut([]Demand{{Request: request, Count: 5}}, running, []*InstanceType{small, big}, allOffered)
	instances := 0
	for _, r := range requests {
		if r.Type != "small" || !r.Spot {
			t.Fatalf("request %+v, want small spot instances only", r)
		}
		instances += r.Count
	}
	if instances != 2 || !needed["m"] {
		t.Fatalf("%d instances requested, needed %v; want 2 requested and m needed", instances, needed)
	}
}

func TestOnDemandReplacesRefusedSpotAndPendingInstancesCount(t *testing.T) {
	request := Request{Resources: Resources{Cores: 2, RAM: 4}, AllowSpot: true}
	pending := []Instance{{Name: "c", Type: small, Zone: "s", Pending: true, Free: small.Capacity()}}
	onDemandOnly := func(_, _ string, spot bool) bool { return !spot }
	requests, _ := PlanScaleOut([]Demand{{Request: request, Count: 4}}, pending, []*InstanceType{small}, onDemandOnly)
	if len(requests) != 1 || requests[0].Spot || requests[0].Count != 1 {
		t.Fatalf("requests %+v, want one on-demand instance", requests)
	}
}

func TestHeadroomKeepsOnlyOneIdleInstance(t *testing.T) {
	idle := []Instance{
		{Name: "x", Type: small, Zone: "n", Free: small.Capacity(), Idle: true},
		{Name: "y", Type: small, Zone: "n", Free: small.Capacity(), Idle: true},
	}
	headroom := Demand{Request: Request{Resources: Resources{Cores: 1, RAM: 1}}, Count: 1, Headroom: true}
	requests, needed := PlanScaleOut([]Demand{headroom}, idle, []*InstanceType{small}, allOffered)
	if len(requests) != 0 || len(needed) != 1 {
		t.Fatalf("requests %+v, needed %v; want no requests and one needed instance", requests, needed)
	}
}

func TestAcceleratedInstancesAreNeededOnlyByTasksThatNeedThem(t *testing.T) {
	plain := Demand{Request: Request{Resources: Resources{Cores: 1, RAM: 1}}, Count: 8, ReclaimableShare: 1}
	accelerated := func() []Instance { return []Instance{{Name: "g", Type: big, Zone: "n", Free: big.Capacity()}} }
	types := []*InstanceType{small, big}
	requests, needed := PlanScaleOut([]Demand{plain}, accelerated(), types, allOffered)
	if needed["g"] || len(requests) == 0 || requests[0].Type != "small" {
		t.Fatalf("tasks without accelerators: requests %+v, needed %v; want small instances and not g", requests, needed)
	}
	// While no instance without accelerators can be provisioned, an existing one with accelerators is
	// kept if the queued tasks fill at least half of it.
	if _, needed = PlanScaleOut([]Demand{plain}, accelerated(), types, noneOffered); needed["g"] {
		t.Fatal("an instance with 64 cores is kept for 8 tasks of one core")
	}
	plain.Count = 40
	if _, needed = PlanScaleOut([]Demand{plain}, accelerated(), types, noneOffered); !needed["g"] {
		t.Fatal("the instance is not kept although no other instance is available for the queued tasks")
	}
	noScaleOut := Demand{Request: Request{Resources: Resources{Accels: 8}}, Count: 2, Headroom: true, NoScaleOut: true}
	if requests, needed = PlanScaleOut([]Demand{noScaleOut}, accelerated(), types, allOffered); len(requests) != 0 || !needed["g"] {
		t.Fatalf("demand with NoScaleOut: requests %+v, needed %v; want no requests and g needed", requests, needed)
	}
}

func TestGangWaitsForAnAcceleratedInstanceThatIsFreeInTime(t *testing.T) {
	gang := Demand{Request: Request{Resources: Resources{Accels: 8}}, Count: 1, Preempt: true, ReclaimableShare: 1}
	busy := []Instance{{Name: "g", Type: big, Zone: "n", Reclaimable: big.Capacity()}}
	if requests, _ := PlanScaleOut([]Demand{gang}, busy, []*InstanceType{small, big}, allOffered); len(requests) != 0 {
		t.Fatalf("requests %+v although an existing instance will be free in time", requests)
	}
}

func TestCapacityInTwoZonesDoesNotAddUpForADemandInOneZone(t *testing.T) {
	// Guards against a fault in which a gang of two tasks waited forever: each of two zones had one free
	// instance, and the planner counted both although the gang needs two instances in one zone.
	inBothZones := &InstanceType{Label: "big", Cores: 64, Accels: 8, RAM: 256, PullGBPerS: 0.25, Price: 24, SpotPrice: 10, Zones: []string{"n", "s"}, BootS: 30}
	types := []*InstanceType{inBothZones}
	gang := Demand{Request: Request{Resources: Resources{Accels: 8}}, Count: 2, SameZone: true, ReclaimableShare: 1}
	oneInEach := func() []Instance {
		return []Instance{
			{Name: "a", Type: inBothZones, Zone: "n", Free: inBothZones.Capacity()},
			{Name: "b", Type: inBothZones, Zone: "s", Free: inBothZones.Capacity()},
		}
	}
	requests, _ := PlanScaleOut([]Demand{gang}, oneInEach(), types, allOffered)
	if len(requests) != 1 || requests[0].Count != 1 {
		t.Fatalf("requests %+v, want one instance", requests)
	}
	// If one zone offers no instances, the other zone is chosen.
	requests, _ = PlanScaleOut([]Demand{gang}, oneInEach(), types, func(_, zone string, _ bool) bool { return zone == "s" })
	if len(requests) != 1 || requests[0].Zone != "s" {
		t.Fatalf("requests %+v, want instances in zone s", requests)
	}
	twoInOne := append(oneInEach(), Instance{Name: "c", Type: inBothZones, Zone: "s", Free: inBothZones.Capacity()})
	if requests, needed := PlanScaleOut([]Demand{gang}, twoInOne, types, allOffered); len(requests) != 0 || !needed["b"] || !needed["c"] {
		t.Fatalf("requests %+v, needed %v; want no requests, and b and c needed", requests, needed)
	}
}
