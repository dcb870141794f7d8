package rollout

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

func TestMachineSetRoundTripsNames(t *testing.T) {
	names := []ids.Machine{"host-000231", "host-231", "host-1000231", "host-0", "m1", "m01", "gateway", "gateway-", "7", "007", "x-12345678901234567890", "host-000000"}
	set := NewMachineSet(names...)
	encoded, err := json.Marshal(set)
	if err != nil {
		t.Fatal(err)
	}
	var decoded MachineSet
	if err := json.Unmarshal(encoded, &decoded); err != nil {
		t.Fatal(err)
	}
	if decoded.Len() != len(names) {
		t.Errorf("decoded set has %d machines, want %d", decoded.Len(), len(names))
	}
	for _, name := range names {
		if !decoded.Has(name) {
			t.Errorf("decoded set lacks machine %s", name)
		}
	}
	got := slices.Sorted(decoded.All())
	slices.Sort(names)
	if !slices.Equal(got, names) {
		t.Errorf("decoded set lists %v, want %v", got, names)
	}
	if !decoded.Remove("m1") || decoded.Has("m1") || !decoded.Has("m01") || decoded.Remove("m1") {
		t.Error("Remove did not remove exactly machine m1")
	}
}

func TestMachineSetPartsFitSmallValues(t *testing.T) {
	// Splits sets of 6,000 machines into values of 8 KiB: scattered numbers of up to a million, dense
	// numbers, and names that do not end in a number. The removal of machines must not make a part too
	// large.
	const machines, valueBytes = 6000, 8192
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
		set      MachineSet
		maxParts int
	}{"scattered": {scattered, 5}, "dense": {dense, 3}, "unnumbered": {unnumbered, 75}} {
		parts := test.set.Parts(valueBytes)
		if len(parts) > test.maxParts {
			t.Errorf("set %s was split into too many parts: %d", name, len(parts))
		}
		total := 0
		for _, part := range parts {
			total += part.Len()
			for round := range 8 {
				encoded, err := json.Marshal(part)
				if err != nil || len(encoded) > valueBytes {
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
		if total != machines {
			t.Errorf("set %s: parts contain %d machines in total, want 6000", name, total)
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
	if name, found := a.Overlap(&b); !found || name != "host-007" {
		t.Errorf("Overlap returned %s, %v; want host-007, true", name, found)
	}
	b.Remove("host-007")
	if name, found := a.Overlap(&b); found {
		t.Errorf("Overlap returned machine %s for disjoint sets", name)
	}
}
