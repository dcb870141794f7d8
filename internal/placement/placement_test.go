package placement

import (
	"testing"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

var small = &Type{Label: "small", Cores: 4, RAM: 16, PullGBPerS: 0.25, Price: 1, SpotPrice: 0.4, Zones: []string{"n", "s"}, BootS: 30}
var big = &Type{Label: "big", Cores: 64, Accels: 8, RAM: 256, PullGBPerS: 0.25, Price: 24, SpotPrice: 10, Zones: []string{"n"}, BootS: 30}

func TestBestFitKeepsAcceleratorsAndOrdinaryMachinesFree(t *testing.T) {
	ms := []Machine{{Name: "g", Type: big, Zone: "n", Free: big.Room()}, {Name: "o", Type: small, Zone: "n", Free: small.Room()},
		{Name: "s", Type: small, Zone: "n", Spot: true, Free: small.Room()}}
	best := func(a Ask) ids.Machine {
		var name ids.Machine
		least := 0.0
		for i := range ms {
			if m := &ms[i]; a.Allows(m.Type.Label, m.Zone, m.Spot) && m.Free.Holds(a.Need) {
				if s := Score(m, &a); name == "" || s < least {
					name, least = m.Name, s
				}
			}
		}
		return name
	}
	if at := best(Ask{Need: Room{Cores: 4, RAM: 4}, Spot: true}); at != "s" {
		t.Errorf("spot work went to %s", at)
	}
	if at := best(Ask{Need: Room{Cores: 4, RAM: 4}}); at != "o" {
		t.Errorf("ordinary work went to %s", at)
	}
	if at := best(Ask{Need: Room{Cores: 4, Accels: 1, RAM: 4}, Spot: true}); at != "g" {
		t.Errorf("accelerated work went to %s", at)
	}
}

func TestRentingCoversWhatIsMissingAtTheLowestPrice(t *testing.T) {
	any := func(string, string, bool) bool { return true }
	need := Ask{Need: Room{Cores: 2, RAM: 4}, Spot: true}
	ups := []Up{{Name: "m", Type: small, Zone: "n", Free: Room{Cores: 2, RAM: 8}}}
	hs, needed := Rent([]Demand{{Ask: need, Count: 5}}, ups, []*Type{small, big}, any)
	n := 0
	for _, h := range hs {
		if h.Type != "small" || !h.Spot {
			t.Fatalf("rents %+v", h)
		}
		n += h.Count
	}
	if n != 2 || !needed["m"] {
		t.Fatalf("rents %d, needed %v", n, needed)
	}
	// Refused spot falls back to ordinary; a machine on its way counts.
	hs, _ = Rent([]Demand{{Ask: need, Count: 4}}, []Up{{Name: "c", Type: small, Zone: "s", Coming: true, Free: small.Room()}},
		[]*Type{small}, func(_, _ string, spot bool) bool { return !spot })
	if len(hs) != 1 || hs[0].Spot || hs[0].Count != 1 {
		t.Fatalf("rents %+v", hs)
	}
	// Room kept for later holds an idle machine, and no second one.
	idle := []Up{{Name: "x", Type: small, Zone: "n", Free: small.Room(), Idle: true}, {Name: "y", Type: small, Zone: "n", Free: small.Room(), Idle: true}}
	hs, needed = Rent([]Demand{{Ask: Ask{Need: Room{Cores: 1, RAM: 1}}, Count: 1, Keep: true}}, idle, []*Type{small}, any)
	if len(hs) != 0 || len(needed) != 1 {
		t.Fatalf("rents %+v, needed %v", hs, needed)
	}
}

func TestDearMachinesAreNeededOnlyForWorkThatNeedsThem(t *testing.T) {
	any := func(string, string, bool) bool { return true }
	none := func(string, string, bool) bool { return false }
	cheap := Demand{Ask: Ask{Need: Room{Cores: 1, RAM: 1}}, Count: 8, TurnShare: 1}
	ups := func() []Up { return []Up{{Name: "g", Type: big, Zone: "n", Free: big.Room()}} }
	hs, needed := Rent([]Demand{cheap}, ups(), []*Type{small, big}, any)
	if needed["g"] || len(hs) == 0 || hs[0].Type != "small" {
		t.Fatalf("cheap work: hires %+v, needed %v", hs, needed)
	}
	// While nothing plainer is to be had, what is there stays, if it has much to
	// do.
	if _, needed = Rent([]Demand{cheap}, ups(), []*Type{small, big}, none); needed["g"] {
		t.Fatal("64 cores kept for 8 tasks of one")
	}
	cheap.Count = 40
	if _, needed = Rent([]Demand{cheap}, ups(), []*Type{small, big}, none); !needed["g"] {
		t.Fatal("returned although cheap work waits and nothing else is to be had")
	}
	hold := Demand{Ask: Ask{Need: Room{Accels: 8}}, Count: 2, Keep: true, Hold: true}
	if hs, needed = Rent([]Demand{hold}, ups(), []*Type{small, big}, any); len(hs) != 0 || !needed["g"] {
		t.Fatalf("holding only: hires %+v, needed %v", hs, needed)
	}
	// Work that waits for a dear machine uses one that frees up in time.
	gang := Demand{Ask: Ask{Need: Room{Accels: 8}}, Count: 1, Preempt: true, TurnShare: 1}
	busy := []Up{{Name: "g", Type: big, Zone: "n", Turn: big.Room()}}
	if hs, _ = Rent([]Demand{gang}, busy, []*Type{small, big}, any); len(hs) != 0 {
		t.Fatalf("hires %+v although a turn is free in time", hs)
	}
}

func TestRoomInTwoZonesDoesNotAddUpForWorkThatMustBeTogether(t *testing.T) {
	// Guards against a gang that waits for ever beside one free machine in each
	// of two zones.
	any := func(string, string, bool) bool { return true }
	two := &Type{Label: "big", Cores: 64, Accels: 8, RAM: 256, PullGBPerS: 0.25, Price: 24, SpotPrice: 10, Zones: []string{"n", "s"}, BootS: 30}
	gang := Demand{Ask: Ask{Need: Room{Accels: 8}}, Count: 2, Together: true, TurnShare: 1}
	free := func() []Up {
		return []Up{{Name: "a", Type: two, Zone: "n", Free: two.Room()}, {Name: "b", Type: two, Zone: "s", Free: two.Room()}}
	}
	hs, _ := Rent([]Demand{gang}, free(), []*Type{two}, any)
	if len(hs) != 1 || hs[0].Count != 1 {
		t.Fatalf("hires %+v", hs)
	}
	// Where none is to be had, the other zone is taken.
	hs, _ = Rent([]Demand{gang}, free(), []*Type{two}, func(_, z string, _ bool) bool { return z == "s" })
	if len(hs) != 1 || hs[0].Zone != "s" {
		t.Fatalf("hires %+v", hs)
	}
	both := append(free(), Up{Name: "c", Type: two, Zone: "s", Free: two.Room()})
	if hs, needed := Rent([]Demand{gang}, both, []*Type{two}, any); len(hs) != 0 || !needed["b"] || !needed["c"] {
		t.Fatalf("hires %+v, needed %v", hs, needed)
	}
}
