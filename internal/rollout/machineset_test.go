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
		t.Errorf("decoded set has %d machines, want %d", back.Len(), len(names))
	}
	for _, name := range names {
		if !back.Has(name) {
			t.Errorf("decoded set lacks machine %s", name)
		}
	}
	got := slices.Sorted(back.All())
	slices.Sort(names)
	if !slices.Equal(got, names) {
		t.Errorf("decoded set lists %v, want %v", got, names)
	}
	if !back.Remove("m1") || back.Has("m1") || !back.Has("m01") || back.Remove("m1") {
		t.Error("Remove did not remove exactly machine m1")
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
			t.Errorf("set %s was split into too many parts: %d", name, len(parts))
		}
		seen := 0
		for _, part := range parts {
			seen += part.Len()
			for round := range 8 {
				encoded, err := json.Marshal(part)
				if err != nil || len(encoded) > value {
					t.Fatalf("set %s: a part takes %d bytes after %d rounds of removal, error %v", name, len(encoded), round, err)
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
			t.Errorf("set %s: parts contain %d machines in total, want 6000", name, seen)
		}
	}
}

func TestMachineSetDecodeErrors(t *testing.T) {
	for _, raw := range []string{`{}`, `[{"p":"m","n":"?"}]`, `[{"p":"m","n":"AAAA"}]`, `[{"p":"m","n":"OjAAAAEAAAAAAAUAEAAAAAEA"}]`} {
		var set MachineSet
		if json.Unmarshal([]byte(raw), &set) == nil {
			t.Errorf("invalid set %s was decoded to %d machines, want an error", raw, set.Len())
		}
	}
}

func TestMachineSetOverlapNamesACommonMachine(t *testing.T) {
	a, b := NewMachineSet("m1", "m2", "host-007"), NewMachineSet("m3", "host-007")
	if name, both := a.Overlap(&b); !both || name != "host-007" {
		t.Errorf("Overlap returned %s, %v; want host-007, true", name, both)
	}
	b.Remove("host-007")
	if name, both := a.Overlap(&b); both {
		t.Errorf("Overlap returned machine %s for disjoint sets", name)
	}
}
