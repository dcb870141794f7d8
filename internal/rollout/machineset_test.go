package rollout

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

func TestMachineSetKeepsNames(t *testing.T) {
	names := []ids.Machine{"host-000231", "host-231", "host-1000231", "host-0", "m1", "m01", "gateway", "gateway-", "7", "007", "x-12345678901234567890", "host-000000"}
	set := NewMachineSet(names...)
	encoded, err := json.Marshal(set)
	if err != nil {
		t.Fatal(err)
	}
	var back MachineSet
	if err := json.Unmarshal(encoded, &back); err != nil {
		t.Fatal(err)
	}
	if back.Len() != len(names) {
		t.Errorf("%d machines of %d", back.Len(), len(names))
	}
	for _, name := range names {
		if !back.Has(name) {
			t.Errorf("%s is lost", name)
		}
	}
	got := slices.Sorted(back.All())
	slices.Sort(names)
	if !slices.Equal(got, names) {
		t.Errorf("listed as %v, not %v", got, names)
	}
	if !back.Remove("m1") || back.Has("m1") || !back.Has("m01") || back.Remove("m1") {
		t.Error("removing one machine is not removing that one")
	}
}

func TestMachineSetPartsFitSmallValues(t *testing.T) {
	// Splits sets of 6,000 machines into values of 8 KiB: scattered numbers of up to a million, dense
	// numbers, and names that do not end in a number. The removal of machines must not make a part too
	// large.
	const machines, value = 6000, 8192
	random := rand.New(rand.NewPCG(1, 2))
	var scattered, dense, unnumbered MachineSet
	for scattered.Len() < machines {
		scattered.Add(ids.Machine(fmt.Sprintf("host-%06d", random.IntN(1_000_000))))
	}
	for i := range machines {
		dense.Add(ids.Machine(fmt.Sprintf("host-%06d", i)))
		unnumbered.Add(ids.Machine(fmt.Sprintf("host-%d-spot", i)))
	}
	for name, test := range map[string]struct {
		set  MachineSet
		most int
	}{"scattered": {scattered, 5}, "dense": {dense, 3}, "unnumbered": {unnumbered, 75}} {
		parts := test.set.Parts(value)
		if len(parts) > test.most {
			t.Errorf("%s: %d parts", name, len(parts))
		}
		seen := 0
		for _, part := range parts {
			seen += part.Len()
			for round := range 8 {
				encoded, err := json.Marshal(part)
				if err != nil || len(encoded) > value {
					t.Fatalf("%s: a part takes %d bytes after %d rounds: %v", name, len(encoded), round, err)
				}
				copied := part.Clone()
				for machine := range copied.All() {
					if random.IntN(4) == 0 {
						part.Remove(machine)
					}
				}
			}
		}
		if seen != machines {
			t.Errorf("%s: %d machines in the parts", name, seen)
		}
	}
}

func TestMachineSetDecodeErrors(t *testing.T) {
	for _, raw := range []string{`{}`, `[{"p":"m","n":"?"}]`, `[{"p":"m","n":"AAAA"}]`, `[{"p":"m","n":"OjAAAAEAAAAAAAUAEAAAAAEA"}]`} {
		var set MachineSet
		if json.Unmarshal([]byte(raw), &set) == nil {
			t.Errorf("%s is taken for %d machines", raw, set.Len())
		}
	}
}

func TestMachineSetOverlapNamesACommonMachine(t *testing.T) {
	a, b := NewMachineSet("m1", "m2", "host-007"), NewMachineSet("m3", "host-007")
	if name, both := a.Overlap(&b); !both || name != "host-007" {
		t.Errorf("%s, %v", name, both)
	}
	b.Remove("host-007")
	if name, both := a.Overlap(&b); both {
		t.Errorf("%s is in both", name)
	}
}
